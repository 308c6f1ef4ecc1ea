// Package gateway implements the daemon that runs on every entry VM of the users' platform.
//
// It watches the configuration, the entries of the endpoints and the
// registrations of the other routers in the platform's store, and passes
// callers' requests to request.Forwarder. A Dialect translates the messages of
// callers, endpoints and operators, so the package does not contain the header
// names and body formats of the platform.
//
// Invariants:
//
//   - The configuration in force is never replaced by one with a lower version.
//   - While the store is unreachable, the last known state remains in use.
//   - An endpoint whose entry is missing or marked as leaving gets no new requests. An exception
//     is an entry that may have expired during an outage of the store: its endpoint stays in use
//     for the time that it needs to rewrite the entry.
//
// Each request is served by the goroutine of its connection. Each feed of the
// store and the registration have their own goroutines; background calls to the
// store and to peers run on a pool of workers.
package gateway
