package endpoint

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// replayServiceCalls sends a call every 20 ms to three endpoints of a service and returns the number of calls to each.
// The function attempt returns the duration and the outcome of call i at the named endpoint.
func replayServiceCalls(t *testing.T, attempt func(name string, i int) (time.Duration, Outcome)) map[string]int {
	var p Pool
	p.Handle(start, Configured{[]Endpoint{
		{Name: "a", Serves: []string{"app"}, Slots: 6}, {Name: "b", Serves: []string{"app"}, Slots: 6}, {Name: "c", Serves: []string{"app"}, Slots: 6},
	}})
	type pendingEnd struct {
		at      time.Time
		id      string
		outcome Outcome
	}
	var inFlight []pendingEnd
	sent := map[string]int{}
	for i := range 500 {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		remaining := inFlight[:0]
		for _, e := range inFlight {
			if e.at.After(now) {
				remaining = append(remaining, e)
				continue
			}
			p.Handle(e.at, Ended{e.id, e.outcome, 0})
			p.Handle(e.at, Withdrawn{e.id})
		}
		inFlight = remaining
		id := fmt.Sprint(i)
		name := sentTo(t, p.Handle(now, Submitted{Request{
			ID: id, Service: "app", OutputTokens: 1, Fingerprint: uint64(i + 1), Deadline: now.Add(time.Second), Repeatable: true,
		}}))
		sent[name]++
		d, outcome := attempt(name, i)
		inFlight = append(inFlight, pendingEnd{now.Add(d), id, outcome})
	}
	return sent
}

func TestSlowServiceEndpointGetsFewerCalls(t *testing.T) {
	sent := replayServiceCalls(t, func(name string, _ int) (time.Duration, Outcome) {
		if name == "b" {
			return 480 * time.Millisecond, Finished
		}
		return 60 * time.Millisecond, Finished
	})
	require.Less(t, sent["b"], 500/10)
}

func TestFailingServiceEndpointGetsFewerCalls(t *testing.T) {
	sent := replayServiceCalls(t, func(name string, i int) (time.Duration, Outcome) {
		if name == "c" && i%2 == 0 {
			return 60 * time.Millisecond, Incomplete
		}
		return 60 * time.Millisecond, Finished
	})
	require.Less(t, sent["c"], 500/5)
}

func TestEqualServiceEndpointsShareCalls(t *testing.T) {
	sent := replayServiceCalls(t, func(string, int) (time.Duration, Outcome) { return 60 * time.Millisecond, Finished })
	for name, n := range sent {
		require.InDelta(t, 500/3, n, 60, name)
	}
}
