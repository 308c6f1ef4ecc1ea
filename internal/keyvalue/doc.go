// Package keyvalue defines the interfaces to the platform's key-value store and reads the platform's VM list.
//
// Store is deliberately narrow: each action of a state machine is one call, and
// every call counts against the rate limits of the store. A conditional write
// has one of the three outcomes of budget.Outcome. Only the state machines may
// retry it: a layer below them that repeated a write which had taken effect
// would get a conflict and report the success as a failure.
//
// Memory is a Store within one process. The platform's adapter is a client of
// the platform's store. GuardedStore wraps another Store with rate limits and a
// circuit breaker.
package keyvalue
