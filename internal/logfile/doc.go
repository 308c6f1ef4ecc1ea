// Package logfile writes JSON log lines without ever blocking the caller.
//
// Lines are kept in a bounded buffer until one goroutine writes them. If the
// output is slow, or one event is logged too often, lines are dropped and
// counted; the event "lines dropped" reports their number.
package logfile
