// Package router implements the daemon that serves the project's own HTTP API: model requests, service calls and orders.
//
// It translates callers' messages into requests for request.Forwarder, and the
// replies back. Settings and operators' calls have their own packages; budgets,
// endpoints and members are shared with the gateway. Only this daemon
// deduplicates keyed requests (bill.Ledger) and claims orders in the store
// (order.Coordinator). Each of these two state machines is guarded by a mutex
// that is never held during a call.
//
// An order is a call of a plain service that must not run twice. The home of
// an Idempotency-Key is the router that deduplicates the requests with that key.
//
// Each request is run by one worker of an ants pool, which owns the state of the
// request; store and peer calls run on a second pool. The state machines never
// read the clock: this package passes the time to them.
package router
