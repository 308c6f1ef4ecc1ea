// Package burn measures compliance with service-level objectives and the burn rates of their error budgets.
//
// A Recorder keeps a ring buffer of one-minute buckets for each team, service and
// level. Its Rows are merged over all routers into a Report. The burn rate of a
// window is the share of bad events divided by the share that the target allows:
// at a rate of 1 the error budget is used up exactly at the end of its period.
package burn
