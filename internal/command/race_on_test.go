//go:build race

package command

// buildFlags make the processes under test report data races when the tests do.
var buildFlags = []string{"-race"}
