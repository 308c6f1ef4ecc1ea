//go:build !race

package command

// buildFlags is empty because these tests run without the race detector.
var buildFlags []string

// raceMemoryFactor is 1, since processes without the race detector need no more memory.
const raceMemoryFactor = 1
