// Package command implements the command lines of the programs foxtaillanding,
// standin and soak.
//
// Each command reads its arguments and calls the packages that do the work. Main
// prints an error to standard error and returns a nonzero exit code.
package command
