// Package burn counts how well the service levels are met and how fast their error budgets burn.
//
// A Recorder keeps one ring of minute buckets for each team, service and level.
// Its Rows are merged over all routers into a Report. The burn rate of a window
// is the share of bad events divided by the share that the target allows: at 1
// the error budget is used up exactly at the end of its period.
package burn
