package endpoint

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

func submitTo(p *Pool, now time.Time, id string) []Action {
	return p.Handle(now, Submitted{Request{ID: id, Service: "m", OutputTokens: 1, Deadline: now.Add(time.Minute), Repeatable: true}})
}

// TestRestingEndpointGetsNothingAndThenOneRequest turns requests away at one of two endpoints, then at both.
func TestRestingEndpointGetsNothingAndThenOneRequest(t *testing.T) {
	var p Pool
	now := start
	p.Handle(now, Configured{[]Endpoint{{Name: "a", Serves: []string{"m"}, Slots: 8}, {Name: "b", Serves: []string{"m"}, Slots: 8}}})
	p.Handle(now, RestRequested{"a", 2 * time.Second})
	for _, id := range []string{"1", "2", "3", "4"} {
		require.Equal(t, "b", submitTo(&p, now, id)[0].(Send).Endpoint)
	}
	p.Handle(now, RestRequested{"b", 500 * time.Millisecond})
	refused := submitTo(&p, now, "5")[0].(Refuse)
	require.Equal(t, refusal.Overloaded, refused.Kind)
	require.GreaterOrEqual(t, refused.RetryAfter, 500*time.Millisecond)
	require.Less(t, refused.RetryAfter, time.Second, "the earliest return, spread")
	for _, id := range []string{"1", "2", "3", "4"} {
		p.Handle(now, Withdrawn{id})
	}
	now = now.Add(3 * time.Second)
	first := submitTo(&p, now, "6")[0].(Send)
	second := submitTo(&p, now, "7")[0].(Send)
	require.NotEqual(t, first.Endpoint, second.Endpoint)
	require.Empty(t, submitTo(&p, now, "8"), "each endpoint has its one request")
	sent := p.Handle(now, Ended{ID: "6", Outcome: Finished, Tokens: 1})
	require.Equal(t, "8", sent[0].(Send).ID)
}

// TestAbsurdRestIsBounded guards against an endpoint that is lost for good by one answer.
func TestAbsurdRestIsBounded(t *testing.T) {
	var p Pool
	p.Handle(start, Configured{[]Endpoint{{Name: "a", Serves: []string{"m"}, Slots: 8}}})
	p.Handle(start, RestRequested{"a", 1000 * time.Hour})
	require.IsType(t, Refuse{}, submitTo(&p, start, "1")[0])
	require.IsType(t, Send{}, submitTo(&p, start.Add(maxRest), "2")[0])
}

// TestEndpointThatAnnouncesItsLeaveGetsNothing also lets a load report and the settings call the endpoint ready again.
func TestEndpointThatAnnouncesItsLeaveGetsNothing(t *testing.T) {
	var p Pool
	now := start
	configured := Configured{[]Endpoint{{Name: "a", Serves: []string{"m"}, Slots: 1}}}
	p.Handle(now, configured)
	submitTo(&p, now, "1")
	submitTo(&p, now, "2")
	p.Handle(now, LeavingAnnounced{"a"})
	p.Handle(now, LoadReported{Endpoint: "a"})
	p.Handle(now, LeavingUpdated{Endpoint: "a"})
	require.Empty(t, p.Handle(now, Ended{ID: "1", Outcome: Finished, Tokens: 1}), "what waits is not sent there")
	p.Handle(now, Withdrawn{"2"})
	require.IsType(t, Refuse{}, submitTo(&p, now, "3")[0])
	p.Handle(now, Configured{})
	p.Handle(now, configured)
	require.IsType(t, Send{}, submitTo(&p, now, "4")[0], "another incarnation")
}
