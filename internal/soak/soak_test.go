package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// seeds are run on each machine; one that ever failed stays, with its cause.
var seeds = map[uint64]string{
	1:   "a request that many callers sent was refused as suspect once two endpoints had broken off",
	210: "a router that had just started condemned a request that all others served",
}

// TestSeeds makes a short run of each seed with the programs of this module.
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
