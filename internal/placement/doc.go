// Package placement executes the decisions of the endpoint pool of one router.
//
// One mutex guards the pool; it is never held while a decision is delivered.
// The goroutine of a request opens its channel in Endpoints.Decisions before it
// submits the request. If nobody waits for a Send any more, the attempt is
// ended as abandoned. The package also keeps the address of each endpoint of
// the pool.
package placement
