package endpoint

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

var versionedEndpoints = Configured{[]Endpoint{
	{Name: "a", Serves: []string{"m"}, Version: "v1", Slots: 8},
	{Name: "b", Serves: []string{"m"}, Version: "v2", Slots: 8},
	{Name: "c", Serves: []string{"m"}, Version: "v1", Slots: 8},
	{Name: "d", Serves: []string{"m"}, Version: "v2", Slots: 8},
}}

func streamRequest(now time.Time, id string) Request {
	return Request{ID: id, Service: "m", OutputTokens: 1, Deadline: now.Add(time.Minute), Repeatable: true, MaxAttempts: 4}
}

// TestBrokenStreamGoesOnAtItsVersion lets endpoints die after the first event of a stream, until none of its version is left.
func TestBrokenStreamGoesOnAtItsVersion(t *testing.T) {
	for seed := range uint64(20) {
		p := Pool{Policy: Policy{Seed: seed, RetryReserve: 100}}
		p.Handle(start, versionedEndpoints)
		first := p.Handle(start, Submitted{streamRequest(start, "1")})[0].(Send)
		p.Handle(start, FirstToken{"1"})
		p.Handle(start, Ended{ID: "1", Outcome: Died})
		second := p.Handle(start, Retried{"1"})[0].(Send)
		require.Equal(t, first.Version, second.Version)
		require.NotEqual(t, first.Endpoint, second.Endpoint)
		p.Handle(start, LeavingUpdated{first.Endpoint, true})
		p.Handle(start, LeavingUpdated{second.Endpoint, true})
		p.Handle(start, Ended{ID: "1", Outcome: Incomplete})
		require.Equal(t, []Action{Refuse{"1", refusal.AnswerBroken, 0}}, p.Handle(start, Retried{"1"}))
	}
}

// TestRequestWithoutEventsIsFreeOfVersions lets an endpoint die before the first event.
func TestRequestWithoutEventsIsFreeOfVersions(t *testing.T) {
	var p Pool
	p.Handle(start, Configured{versionedEndpoints.Endpoints[:2]})
	first := p.Handle(start, Submitted{streamRequest(start, "1")})[0].(Send)
	p.Handle(start, Ended{ID: "1", Outcome: Died})
	second := p.Handle(start, Retried{"1"})[0].(Send)
	require.NotEqual(t, first.Version, second.Version)
}

// TestEndpointThatWasDownGoesOnWithNothingAtFirst guards against an endpoint that starts again under its name with another
// version, which its entry does not tell yet.
func TestEndpointThatWasDownGoesOnWithNothingAtFirst(t *testing.T) {
	var p Pool
	p.Handle(start, Configured{versionedEndpoints.Endpoints[:1]})
	p.Handle(start, Submitted{streamRequest(start, "1")})
	p.Handle(start, FirstToken{"1"})
	p.Handle(start, Ended{ID: "1", Outcome: Died})
	p.Handle(start, ConnectionRefused{"a"})
	require.Empty(t, p.Handle(start, Retried{"1"}))
	later := start.Add(2 * time.Second)
	require.Equal(t, "2", p.Handle(later, Submitted{streamRequest(later, "2")})[0].(Send).ID, "a new stream may begin there")
	p.Handle(later, Withdrawn{"2"})
	sent := p.Handle(start.Add(versionSettleTime), Tick{})
	require.Equal(t, "1", sent[0].(Send).ID)
}

// TestBoundRequestIsRefusedWithoutItsVersion submits a stream that a caller takes up.
func TestBoundRequestIsRefusedWithoutItsVersion(t *testing.T) {
	var p Pool
	p.Handle(start, versionedEndpoints)
	r := streamRequest(start, "1")
	r.VersionBound = true
	r.Version = "v3"
	require.Equal(t, []Action{Refuse{"1", refusal.NoEndpoint, 0}}, p.Handle(start, Submitted{r}))
	require.True(t, p.HasSeveralVersions("m"))
	require.False(t, p.HasSeveralVersions("other"))
}

// TestStreamDoesNotBeginAtAnUnrecordedVersion submits requests while the version of one endpoint is not recorded.
func TestStreamDoesNotBeginAtAnUnrecordedVersion(t *testing.T) {
	var p Pool
	unrecorded := Endpoint{Name: "b", Serves: []string{"m"}, Version: "v2", Slots: 8, Unrecorded: true}
	p.Handle(start, Configured{[]Endpoint{unrecorded}})
	r := streamRequest(start, "1")
	r.BeginsStream = true
	require.Empty(t, p.Handle(start, Submitted{r}), "waits")
	other := streamRequest(start, "2")
	require.Equal(t, "b", p.Handle(start, Submitted{other})[0].(Send).Endpoint)
	bound := streamRequest(start, "3")
	bound.BeginsStream = true
	bound.VersionBound = true
	bound.Version = "v2"
	require.Equal(t, "b", p.Handle(start, Submitted{bound})[0].(Send).Endpoint, "the stream has begun")
	recorded := unrecorded
	recorded.Unrecorded = false
	sent := p.Handle(start, Configured{[]Endpoint{recorded}})
	require.Equal(t, "1", sent[0].(Send).ID)
}
