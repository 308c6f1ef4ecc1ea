package command

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestExplainMergesLogsOfRequest checks the lines of a request, one of which another router logged under the run ID only. The
// log of one router ends in a line that was cut off.
func TestExplainMergesLogsOfRequest(t *testing.T) {
	dir := t.TempDir()
	first, second := filepath.Join(dir, "vm-1.log"), filepath.Join(dir, "vm-2.log")
	require.NoError(t, os.WriteFile(first, []byte(`
{"Time":"2026-12-04T00:00:01.000Z","Event":"store lost","Feed":"members"}
{"Time":"2026-12-04T00:00:03.000Z","Event":"request","Request":"r1","Run":"vm-1-7","Outcome":"BudgetUnavailable"}
{"Time":"2026-12-04T00:00:02.000Z","Event":"tokens not reserved","Request":"r1","Run":"vm-1-7"}
{"Time":"2026-12-04T00:00:02.000Z","Event":"request","Request":"r2","Run":"vm-1-8"}
{"Time":"2026-12-04T00:00:09.000Z","Event":"store regained","Feed":"members"}
{"Time":"2026-12-04T00:00:09.100Z","Event":"requ`), 0o600))
	require.NoError(t, os.WriteFile(second, []byte(`{"Time":"2026-12-04T00:00:02.500Z","Event":"loan not settled","Run":"vm-1-7"}
{"Time":"2026-12-04T00:00:02.600Z","Event":"billed","Request":"vm-1-7/2"}
`), 0o600))
	var out, errOut bytes.Buffer
	app := Foxtaillanding(&out, &errOut, nil)
	require.NoError(t, app.Run(context.Background(), []string{"foxtaillanding", "explain", "r1", first, second}))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 5)
	for i, part := range []string{"store lost", "tokens not reserved", "vm-2.log", "billed", "BudgetUnavailable"} {
		require.Contains(t, lines[i], part)
	}
	err := app.Run(context.Background(), []string{"foxtaillanding", "explain", "r9", first})
	require.ErrorContains(t, err, `"r9"`)
	err = app.Run(context.Background(), []string{"foxtaillanding", "explain", "r1", filepath.Join(dir, "none")})
	require.ErrorContains(t, err, "none")
}
