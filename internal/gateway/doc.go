// Package gateway is the daemon that runs on every entry VM of the users' platform.
//
// It follows the configuration, the endpoints' entries and the other routers in
// the platform's store, and hands callers' requests to request.Forwarder. A
// Dialect translates what callers, endpoints and operators say, so that the
// package knows no header's name and no body's format.
//
// Invariants:
//
//   - The configuration in force never goes back to a lower version.
//   - While the store is away, the last state stands.
//   - An endpoint whose entry is gone or says that it leaves gets no new requests; an entry that
//     lapsed while the store was away has the time to be written again.
//
// Each request is served by the goroutine of its connection. Store and peer
// calls run on a pool of workers.
package gateway
