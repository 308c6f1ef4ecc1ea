package proof

import (
	"flag"
	"os"
	"runtime"
	"testing"
)

// defaultFlags holds the values of the rapid flags that are not set on the command line.
var defaultFlags = map[string]string{
	"rapid.seed":       "20261204",
	"rapid.checks":     "3000",
	"rapid.shrinktime": "5s",
	"rapid.nofailfile": "true",
}

// ReportBytesPerItem reports the heap bytes of each of the n items that build returns as a benchmark metric.
func ReportBytesPerItem(b *testing.B, n int, build func() any) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	items := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/each")
	runtime.KeepAlive(items)
}

// Main runs the tests of a package with the default flags of rapid, so that its property tests are reproducible.
func Main(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range defaultFlags {
		if given[name] || flag.Lookup(name) == nil {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
