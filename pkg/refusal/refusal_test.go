package refusal

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEveryKindHasAnAnswer(t *testing.T) {
	names := map[string]bool{}
	for _, k := range Kinds() {
		answer := k.Answer()
		require.NotEmpty(t, answer.Name, "kind %d", k)
		require.False(t, names[answer.Name], "duplicate name %s", answer.Name)
		names[answer.Name] = true
		require.GreaterOrEqual(t, answer.Status, 400, answer.Name)
		require.NotEmpty(t, answer.Message, answer.Name)
		parsed, ok := ParseKind(answer.Name)
		require.True(t, ok)
		require.Equal(t, k, parsed)
	}
}

func TestUncertainKindsDoNotClaimNotRun(t *testing.T) {
	for _, k := range []Kind{Internal, OrderRunning, OrderUnknown, AnswerBroken, DeadlineExceeded, PeerLost, kindCount + 3} {
		require.Equal(t, RanUnknown, k.Answer().Ran, k.String())
	}
	require.Equal(t, RanUnknown, Kind(0).Answer().Ran, "zero value of Kind")
}

func TestJSONRoundTrip(t *testing.T) {
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
