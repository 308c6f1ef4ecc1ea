// Package gateway implements the daemon that runs on every entry VM of the users' platform.
//
// It watches the configuration, the entries of the endpoints and the
// registrations of the other routers in the platform's store, and passes
// callers' requests to request.Forwarder. A Dialect translates the messages of
// callers, endpoints and operators, so the package contains no header names and
// no body formats.
//
// Invariants:
//
//   - The configuration in force is never replaced by one with a lower version.
//   - While the store is unreachable, the last known state remains in use.
//   - An endpoint whose entry is missing or marked as leaving gets no new requests, except that
//     an entry that may have expired during an outage of the store has time to be rewritten.
//
// Each request is served by the goroutine of its connection. Each feed of the
// store and the registration have their own goroutines; background calls to the
// store and to peers run on a pool of workers.
package gateway
