package command

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/internal/standin"
)

// TestChangedSettingsAreReloadedWithoutSignal rewrites the settings file of a running gateway, first with invalid settings,
// which must not keep it from loading the valid ones that follow.
func TestChangedSettingsAreReloadedWithoutSignal(t *testing.T) {
	store := startProcess(t, "standin", "store")
	file := filepath.Join(t.TempDir(), "gateway.toml")
	ready := standin.FreeAddress()
	text := "VM = \"vm-1\"\n[Listen]\nFront = \"" + standin.FreeAddress() + "\"\nReady = \"" + ready + "\"\nPeer = \"" + standin.FreeAddress() +
		"\"\n[Store]\nAddress = \"" + store.address + "\"\n[Memory]\nLimitMegabytes = 100\n"
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	log := startGateway(t, file)
	require.Eventually(t, func() bool {
		resp, err := http.Get("http://" + ready + "/")
		if err == nil {
			_ = resp.Body.Close()
		}
		return err == nil
	}, waitTimeout, 10*time.Millisecond)
	for _, step := range []struct{ text, event string }{
		{"VM = 7", "settings not reloaded"},
		{strings.Replace(text, "100", "200", 1), "settings reloaded"},
	} {
		require.NoError(t, os.WriteFile(file, []byte(step.text), 0o600))
		require.Eventually(t, func() bool {
			written, err := os.ReadFile(log)
			return err == nil && strings.Contains(string(written), step.event)
		}, waitTimeout, 50*time.Millisecond, step.event)
	}
}
