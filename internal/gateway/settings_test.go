package gateway

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

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

// TestFiguresMayBeFractionsOrTruthValues guards against review/8 (fault): a bound that became a fraction kept every router from
// starting.
func TestFiguresMayBeFractionsOrTruthValues(t *testing.T) {
	const addresses = "VM = \"v\"\n[Listen]\nFront = \"1.2.3.4:1\"\nPeer = \"1.2.3.4:2\"\n"
	for _, f := range (&Settings{}).figures() {
		section, field, _ := strings.Cut(f.name, ".")
		for value, want := range map[string]Figure{"8": 8, "7.5": 7.5, "0.25": 0.25, "1e3": 1000, "true": 0, "false": 0} {
			text := addresses + "[" + section + "]\n" + field + " = " + value + "\n"
			if section != "Store" {
				text += "[Store]\n"
			}
			s, err := ReadSettings("f", []byte(text+"Address = \"1.2.3.4:3\"\n"))
			require.NoError(t, err, "%s = %s", f.name, value)
			for _, got := range s.figures() {
				if got.name == f.name {
					require.Equal(t, want, *got.figure, "%s = %s", f.name, value)
				}
			}
		}
	}
	written, err := json.Marshal(RetrySettings{Ratio: 0.25, Slack: 52})
	require.NoError(t, err)
	var read RetrySettings
	require.NoError(t, json.Unmarshal(written, &read), "settings are passed to processes of tests as JSON")
	require.Equal(t, RetrySettings{Ratio: 0.25, Slack: 52}, read)
	s := Settings{Drain: DrainSettings{GraceSeconds: 7.5}}
	require.Equal(t, 7500*time.Millisecond, s.grace())
	s = Settings{Drain: DrainSettings{GraceMilliseconds: 300.5}}
	require.Equal(t, 300500*time.Microsecond, s.grace())
}

// TestUnusableSettingsDoNotPreventAStart guards against the class of review/8: settings of which one part is not usable stay in
// the file, so that a process that does not start with them never starts again.
func TestUnusableSettingsDoNotPreventAStart(t *testing.T) {
	const valid = "VM = \"v\"\n[Listen]\nFront = \"1.2.3.4:1\"\nPeer = \"1.2.3.4:2\"\n[Store]\nAddress = \"1.2.3.4:3\"\n"
	for _, line := range []string{"Ratio = \"much\"", "Ratio = -1", "Ratio = 1e300", "Ratio = nan", "Share = 3"} {
		text := []byte(valid + "[Retry]\nSlack = 52.5\n" + line + "\n")
		_, err := ReadSettings("f", text)
		require.Error(t, err, line)
		s, problems, err := ReadStartSettings("f", text)
		require.NoError(t, err, line)
		require.Len(t, problems, 1, line)
		require.Equal(t, RetrySettings{Slack: 52.5}, s.Retry, line)
	}
	_, _, err := ReadStartSettings("f", []byte("VM = \"v\"\n"))
	require.ErrorContains(t, err, "Listen.Front")
}

func TestSizeFollowsTheScarcestResource(t *testing.T) {
	require.EqualValues(t, defaultSize, CapacitySettings{}.size())
	require.EqualValues(t, requestsPerCore*0.5, CapacitySettings{CoreShare: 0.5, LinkMegabits: 1000}.size())
	require.EqualValues(t, requestsPerCore, CapacitySettings{CoreShare: 0.5, CoreSpeed: 2}.size())
	require.EqualValues(t, requestsPerMegabit*10, CapacitySettings{CoreShare: 0.8, LinkMegabits: 10}.size())
}
