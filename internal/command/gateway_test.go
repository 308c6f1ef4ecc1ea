package command

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/internal/gateway"
	"github.com/foxtaillanding/foxtaillanding/internal/standin"
)

// TestHalfWrittenSettingsAreNotTakenOver reads settings while they are written in parts, as after a second SIGHUP. The first
// part was valid and was taken over: it lacked the limit of the memory and the grace period.
func TestHalfWrittenSettingsAreNotTakenOver(t *testing.T) {
	whole := "VM = \"vm-1\"\n[Listen]\nFront = \"127.0.0.1:1\"\nPeer = \"127.0.0.1:2\"\n[Store]\nAddress = \"127.0.0.1:3\"\n" +
		"[Memory]\nLimitMegabytes = 100\n[Drain]\nGraceMilliseconds = 3000\n"
	half, _, _ := strings.Cut(whole, "[Memory]")
	_, err := gateway.ReadSettings("gateway.toml", []byte(half))
	require.NoError(t, err, "the first part is valid by itself")
	reads := 0
	parts := []string{"", half, whole[:len(whole)-5], whole}
	text, err := readSettled(func() ([]byte, error) {
		reads++
		if reads == 3 {
			return nil, os.ErrNotExist // The file is replaced.
		}
		return []byte(parts[min(reads, len(parts))-1]), nil
	}, func() {})
	require.NoError(t, err)
	require.Equal(t, whole, string(text))

	reads = 0
	_, err = readSettled(func() ([]byte, error) {
		reads++
		return []byte{byte(reads)}, nil
	}, func() {})
	require.NoError(t, err)
	require.Equal(t, 1+settleReads, reads, "a file that changes all the time is read in the end")
}

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

// TestGatewayStartsWithAnUnusableFigure guards against the class of review/8 (fault) with a process: a figure that cannot be used
// stays in the settings file, so that a gateway that does not start with it never starts again.
func TestGatewayStartsWithAnUnusableFigure(t *testing.T) {
	f := newGatewayFixture(t, "1")
	text, err := os.ReadFile(f.settings)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(f.settings, append(text, "[Drain]\nGraceSeconds = 7.5\n[Retry]\nRatio = \"much\"\n"...), 0o600))
	cmd := f.command()
	ended := f.start(t, cmd)
	f.awaitReady(t, ended)
}
