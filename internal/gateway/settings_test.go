package gateway

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestReadSettingsNamesTheInvalidField(t *testing.T) {
	const valid = "VM = \"v\"\n[Listen]\nFront = \"1.2.3.4:1\"\nPeer = \"1.2.3.4:2\"\n[Store]\nAddress = \"1.2.3.4:3\"\n"
	_, err := ReadSettings("f", []byte(valid))
	require.NoError(t, err)
	for text, place := range map[string]string{
		strings.Replace(valid, "VM", "Vm2", 1):          "Vm2",
		strings.Replace(valid, "1.2.3.4:2", "here", 1):  "Listen.Peer",
		strings.Replace(valid, "[Store]", "[Store", 1):  "f:5",
		strings.Replace(valid, "\"v\"", "\"\"", 1):      "VM",
		valid + "[Retry]\nRatio = -1.0\n":               "Retry",
		valid + "[Memory]\nLimitMegabytes = \"much\"\n": "LimitMegabytes",
	} {
		_, err := ReadSettings("f", []byte(text))
		require.ErrorContains(t, err, place, text)
	}
}
