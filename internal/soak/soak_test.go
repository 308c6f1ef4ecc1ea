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

// pauseSeeds is like seeds, for runs with pauses and two servers.
var pauseSeeds = map[uint64]string{
	9202: "a rejection that was sent twice was taken for the answer to the next attempt of an order, which was refused as not run",
}

// TestSeeds carries out a short run of each seed with the programs of this module.
func TestSeeds(t *testing.T) {
	binaries := buildPrograms(t)
	for seed, cause := range seeds {
		runSeed(t, cause, Config{Binaries: binaries, Seed: seed, Cycles: 1, Routers: 3, Servers: 2, Callers: 4})
	}
}

// TestPauseSeeds carries out a short run with pauses of each seed.
func TestPauseSeeds(t *testing.T) {
	binaries := buildPrograms(t)
	for seed, cause := range pauseSeeds {
		runSeed(t, cause, Config{Binaries: binaries, Seed: seed, Cycles: 1, Routers: 3, Servers: 2, Callers: 8, Pauses: true})
	}
}

// buildPrograms builds the programs that a run starts and returns their directory.
func buildPrograms(t *testing.T) string {
	binaries := t.TempDir()
	build := exec.Command("go", "build", "-o", binaries, "../../cmd/foxtaillanding", "../../cmd/standin")
	out, err := build.CombinedOutput()
	require.NoError(t, err, string(out))
	return binaries
}

// runSeed carries out a run and requires that it finds no problem; cause says what its seed has found before.
func runSeed(t *testing.T, cause string, cfg Config) {
	cfg.Dir = t.TempDir()
	log, err := os.Create(filepath.Join(cfg.Dir, "soak.log"))
	require.NoError(t, err)
	cfg.Log = log
	report, err := Run(t.Context(), cfg)
	require.NoError(t, err)
	require.NoError(t, log.Close())
	text, err := os.ReadFile(log.Name())
	require.NoError(t, err)
	require.Empty(t, report.Problems, "seed %d (%s)\n%s", cfg.Seed, cause, text)
	require.Greater(t, report.Served, 100)
}
