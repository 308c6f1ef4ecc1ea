// Package router is the daemon that runs on every entry VM.
//
// It only translates: HTTP calls, timers and store answers become events of the
// deciders under pkg, and the deciders' actions become store calls, peer calls
// and answers. Each slice (budgets, orders, endpoints, bills, settings,
// members) holds its decider behind one mutex, applies an event under it, and
// carries the actions out after releasing it. No slice calls another one while
// it holds its mutex.
//
// A request is run by one worker of an ants pool, which owns the request's
// state; store and peer calls run on a second pool. The time is read here and
// handed to the deciders.
package router
