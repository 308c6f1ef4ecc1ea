//go:build !race

package command

// buildFlags is empty because these tests run without the race detector.
var buildFlags []string
