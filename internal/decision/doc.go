// Package decision connects deciders with the goroutines that execute their decisions.
//
// A decider is a state machine without I/O: it turns an event into actions.
// Apply applies an event to a decider under its mutex. Waiters delivers the
// decisions about a request to the goroutine that serves the request. Every
// calls a function periodically, which passes the time to the deciders.
package decision
