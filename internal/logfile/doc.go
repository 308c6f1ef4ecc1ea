// Package logfile writes JSON log lines without ever blocking the caller.
//
// Lines wait in a bounded buffer for one writer. When the reader of the output
// is slow, or one event comes too often, lines are dropped and counted; a line
// "lines dropped" tells how many.
package logfile
