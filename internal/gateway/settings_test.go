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
		strings.Replace(valid, "1.2.3.4:1", ":1", 1):    "Listen.Front",
		strings.Replace(valid, "1.2.3.4", "0.0.0.0", 2): "Listen.Peer",
		strings.Replace(valid, "[Store]", "[Store", 1):  "f:5",
		strings.Replace(valid, "\"v\"", "\"\"", 1):      "VM",
		valid + "[Retry]\nRatio = -1.0\n":               "Retry",
		valid + "[Capacity]\nCoreShare = -0.1\n":        "Capacity",
		valid + "[Memory]\nLimitMegabytes = \"much\"\n": "LimitMegabytes",
	} {
		_, err := ReadSettings("f", []byte(text))
		require.ErrorContains(t, err, place, text)
	}
}

func TestSizeFollowsTheScarcestResource(t *testing.T) {
	require.EqualValues(t, defaultSize, CapacitySettings{}.size())
	require.EqualValues(t, requestsPerCore*0.5, CapacitySettings{CoreShare: 0.5, LinkMegabits: 1000}.size())
	require.EqualValues(t, requestsPerCore, CapacitySettings{CoreShare: 0.5, CoreSpeed: 2}.size())
	require.EqualValues(t, requestsPerMegabit*10, CapacitySettings{CoreShare: 0.8, LinkMegabits: 10}.size())
}
