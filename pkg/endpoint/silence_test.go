package endpoint

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fleetOf returns a pool with n endpoints of 8 slots, named a, b and so on.
func fleetOf(n int) *Pool {
	p := &Pool{}
	var all []Endpoint
	for i := range n {
		all = append(all, Endpoint{Name: string(rune('a' + i)), Serves: []string{"m"}, Slots: 8})
	}
	p.Handle(start, Configured{all})
	return p
}

// silence lets an attempt at an endpoint end because the endpoint is silent.
func silence(t *testing.T, p *Pool, now time.Time, name string) {
	id := occupy(t, p, now, name)
	p.Handle(now, Ended{ID: id, Outcome: Silent})
	p.Handle(now, Withdrawn{id})
}

// occupy sends a request to an endpoint and returns its ID.
func occupy(t *testing.T, p *Pool, now time.Time, name string) string {
	var others []string
	for _, v := range p.Views(now) {
		if v.Name != name {
			others = append(others, v.Name)
			p.Handle(now, LeavingUpdated{v.Name, true})
		}
	}
	id := fmt.Sprint("at-", name, now.UnixNano(), len(p.jobs))
	require.Equal(t, name, submitTo(p, now, id)[0].(Send).Endpoint)
	for _, other := range others {
		p.Handle(now, LeavingUpdated{other, false})
	}
	return id
}

// sendMany submits n requests and returns how many of them each endpoint gets at once.
func sendMany(p *Pool, now time.Time, n int) map[string]int {
	sent := map[string]int{}
	for i := range n {
		for _, action := range submitTo(p, now, fmt.Sprint("new-", now.UnixNano(), "-", i)) {
			if send, ok := action.(Send); ok {
				sent[send.Endpoint]++
			}
		}
	}
	return sent
}

// TestSilenceOfAllEndpointsStopsNothing guards against a pause of all endpoints after which requests wait or are refused.
func TestSilenceOfAllEndpointsStopsNothing(t *testing.T) {
	p := fleetOf(3)
	for _, name := range []string{"a", "b", "c"} {
		silence(t, p, start, name)
	}
	sent := sendMany(p, start, 18)
	require.Equal(t, 18, sent["a"]+sent["b"]+sent["c"])
	require.Zero(t, p.Waiting())
}

// TestAtMostHalfOfTheEndpointsAreAvoidedForSilence lets one of four endpoints fall silent after the other.
func TestAtMostHalfOfTheEndpointsAreAvoidedForSilence(t *testing.T) {
	p := fleetOf(4)
	silence(t, p, start, "a")
	silence(t, p, start, "b")
	require.Zero(t, sendMany(p, start, 8)["a"])
	p = fleetOf(4)
	for _, name := range []string{"a", "b", "c"} {
		silence(t, p, start, name)
	}
	sent := sendMany(p, start, 8)
	require.Equal(t, map[string]int{"d": 8}, sent, "the one that speaks is preferred")
	sent = sendMany(p, start.Add(time.Millisecond), 12)
	require.Equal(t, 12, sent["a"]+sent["b"]+sent["c"], "what it has no room for goes to the silent ones")
}

// TestEndpointThatSpeaksAgainIsUsedAsBefore lets an endpoint speak in each way after a silence.
func TestEndpointThatSpeaksAgainIsUsedAsBefore(t *testing.T) {
	for name, word := range map[string]func(id string) Event{
		"event":       func(id string) Event { return Responded{id} },
		"first event": func(id string) Event { return FirstToken{id} },
		"answer":      func(id string) Event { return Ended{ID: id, Outcome: Finished, Tokens: 1} },
	} {
		t.Run(name, func(t *testing.T) {
			p := fleetOf(2)
			p.Handle(start, CacheUpdated{Endpoint: "a", Prefix: 7})
			id := occupy(t, p, start, "a")
			p.Handle(start, Withdrawn{occupy(t, p, start, "b")})
			silence(t, p, start, "a")
			require.Zero(t, sendMany(p, start, 8)["a"])
			p.Handle(start, word(id))
			require.Equal(t, 6, sendMany(p, start.Add(time.Millisecond), 6)["a"], "not one at a time")
			require.True(t, p.backends["a"].prefixes.Contains(7), "its cache has stayed")
		})
	}
}

// TestEndpointThatStaysSilentGetsOneRequestAtATime lets an endpoint hang for good.
func TestEndpointThatStaysSilentGetsOneRequestAtATime(t *testing.T) {
	p := fleetOf(2)
	now := start
	for i := range 4 {
		silence(t, p, now, "a")
		avoided := DefaultBaseEjectionTime << i
		require.Zero(t, sendMany(p, now.Add(avoided-time.Millisecond), 4)["a"])
		now = now.Add(avoided)
		require.LessOrEqual(t, sendMany(p, now, 4)["a"], 1)
		for id := range p.jobs {
			p.Handle(now, Withdrawn{id})
		}
	}
}

// TestSilentEndpointIsAvoidedWhileItsRequestStays asks for a place that there is not; the endpoint gets nothing new meanwhile.
func TestSilentEndpointIsAvoidedWhileItsRequestStays(t *testing.T) {
	p := fleetOf(2)
	p.Policy.RetryReserve = 0.5
	id := occupy(t, p, start, "a")
	require.Equal(t, []Action{MoveDenied{id, RetryBudgetEmpty}}, p.Handle(start, MoveRequested{id}))
	require.Zero(t, sendMany(p, start, 6)["a"])
	p.Handle(start, Responded{id})
	require.NotZero(t, sendMany(p, start.Add(time.Millisecond), 8)["a"])
}

// TestOneRequestMovesToAnEndpointThatWasSilent asks for places at an endpoint that has not spoken since a silence.
func TestOneRequestMovesToAnEndpointThatWasSilent(t *testing.T) {
	p := fleetOf(2)
	first, second := occupy(t, p, start, "a"), occupy(t, p, start, "a")
	silence(t, p, start, "b")
	require.Equal(t, []Action{MoveDenied{first, NoPlace}}, p.Handle(start.Add(DefaultBaseEjectionTime-1), MoveRequested{first}))
	later := start.Add(DefaultBaseEjectionTime)
	require.IsType(t, Reserved{}, p.Handle(later, MoveRequested{first})[0])
	require.Equal(t, []Action{MoveDenied{second, NoPlace}}, p.Handle(later, MoveRequested{second}))
}
