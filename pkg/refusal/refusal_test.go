package refusal

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEveryKindHasARow(t *testing.T) {
	names := map[string]bool{}
	for _, k := range Kinds() {
		row := k.Answer()
		require.NotEmpty(t, row.Name, "kind %d", k)
		require.False(t, names[row.Name], "name %s stands twice", row.Name)
		names[row.Name] = true
		require.GreaterOrEqual(t, row.Status, 400, row.Name)
		require.NotEmpty(t, row.Message, row.Name)
		back, ok := ParseKind(row.Name)
		require.True(t, ok)
		require.Equal(t, k, back)
	}
}

func TestUnknownIsNeverToldAsNotRun(t *testing.T) {
	for _, k := range []Kind{Internal, OrderRunning, OrderUnknown, AnswerBroken, DeadlineExceeded, PeerLost, kindCount + 3} {
		require.Equal(t, RanUnknown, k.Answer().Ran, k.String())
	}
	require.Equal(t, RanUnknown, Kind(0).Answer().Ran, "the zero kind")
}

func TestBodySurvivesTheWire(t *testing.T) {
	for _, k := range Kinds() {
		sent := New(k, "Teams/polish")
		got := Parse(sent.JSON())
		require.Equal(t, k, got.Kind)
		require.Equal(t, "Teams/polish", got.Detail)
		require.Equal(t, Seconds(sent.RetryAfter()), Seconds(got.RetryAfter()))
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"Error":{"Kind":"Overloaded","Ran":"NotRun","RetryAfterSeconds":3}}`))
	f.Add([]byte(`{"Error":[]}`))
	f.Add([]byte(``))
	f.Fuzz(func(t *testing.T, body []byte) {
		require.NotEmpty(t, Parse(body).Error())
	})
}
