// Package command holds the command lines of foxtaillanding and standin.
//
// Each command reads its arguments, calls the packages that do the work, and
// turns errors into one line on standard error and an exit code that is not 0.
package command
