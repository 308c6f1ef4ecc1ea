package gateway

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSettingsNameTheFault(t *testing.T) {
	const good = "VM = \"v\"\n[Listen]\nFront = \"1.2.3.4:1\"\nPeer = \"1.2.3.4:2\"\n[Store]\nAddress = \"1.2.3.4:3\"\n"
	_, err := ReadSettings("f", []byte(good))
	require.NoError(t, err)
	for text, place := range map[string]string{
		strings.Replace(good, "VM", "Vm2", 1):          "Vm2",
		strings.Replace(good, "1.2.3.4:2", "here", 1):  "Listen.Peer",
		strings.Replace(good, "[Store]", "[Store", 1):  "f:5",
		strings.Replace(good, "\"v\"", "\"\"", 1):      "VM",
		good + "[Retry]\nRatio = -1.0\n":               "Retry",
		good + "[Memory]\nLimitMegabytes = \"much\"\n": "LimitMegabytes",
	} {
		_, err := ReadSettings("f", []byte(text))
		require.ErrorContains(t, err, place, text)
	}
}
