package proof

import (
	"flag"
	"os"
	"testing"
)

// defaults are the values of the flags of rapid that are not given on the command line.
var defaults = map[string]string{
	"rapid.seed":       "20261204",
	"rapid.checks":     "1000",
	"rapid.shrinktime": "5s",
	"rapid.nofailfile": "true",
}

// Main runs the tests of a package with one fixed seed, so that every run gives the same verdict.
func Main(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range defaults {
		if given[name] || flag.Lookup(name) == nil {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
