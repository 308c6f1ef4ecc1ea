//go:build !race

package command

// buildFlags are empty when the tests do not look for data races.
var buildFlags []string
