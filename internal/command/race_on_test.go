//go:build race

package command

// buildFlags enables the race detector in the processes under test, as in the tests themselves.
var buildFlags = []string{"-race"}

// raceMemoryFactor is the factor by which the race detector multiplies the memory of a process.
const raceMemoryFactor = 3
