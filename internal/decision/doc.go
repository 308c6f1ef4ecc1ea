// Package decision connects deciders, which are pure, with the goroutines that carry their decisions out.
//
// A decider is applied under its mutex by Locked. The goroutine that serves a
// request waits in Waiters for what was decided about it. Every lets time pass.
package decision
