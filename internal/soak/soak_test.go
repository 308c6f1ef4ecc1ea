package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// seeds maps the seeds of the test runs to the faults that they have found; a seed that has found a fault is never removed.
var seeds = map[uint64]string{
	1:   "a request that many callers sent was refused as suspect after connections to two endpoints had broken",
	210: "a router that had just started refused a request as suspect although all others served it",
}

// TestSeeds carries out a short run of each seed with the programs of this module.
func TestSeeds(t *testing.T) {
	binaries := t.TempDir()
	build := exec.Command("go", "build", "-o", binaries, "../../cmd/foxtaillanding", "../../cmd/standin")
	out, err := build.CombinedOutput()
	require.NoError(t, err, string(out))
	for seed, cause := range seeds {
		dir := t.TempDir()
		log, err := os.Create(filepath.Join(dir, "soak.log"))
		require.NoError(t, err)
		report, err := Run(t.Context(), Config{Binaries: binaries, Dir: dir, Seed: seed, Cycles: 1, Routers: 3, Servers: 2, Callers: 4, Log: log})
		require.NoError(t, err)
		require.NoError(t, log.Close())
		text, err := os.ReadFile(log.Name())
		require.NoError(t, err)
		require.Empty(t, report.Problems, "seed %d (%s)\n%s", seed, cause, text)
		require.Greater(t, report.Served, 100)
	}
}
