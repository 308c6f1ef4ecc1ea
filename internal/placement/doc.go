// Package placement carries out what the endpoint pool of one router decides.
//
// Endpoints guards the pool by one mutex, which is never held while a decision
// is handed on. Each request that is submitted opens its decisions first; a
// decision that nobody waits for any more is taken back. The package also knows
// where each endpoint listens, for as long as the pool knows the endpoint.
package placement
