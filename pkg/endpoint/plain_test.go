package endpoint

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// replayPlain sends one call each 20 ms to three plain endpoints and returns how many each one got.
func replayPlain(t *testing.T, took func(name string, i int) (time.Duration, Outcome)) map[string]int {
	var p Pool
	p.Handle(start, Configured{[]Endpoint{
		{Name: "a", Serves: []string{"app"}, Slots: 6}, {Name: "b", Serves: []string{"app"}, Slots: 6}, {Name: "c", Serves: []string{"app"}, Slots: 6},
	}})
	type ending struct {
		at      time.Time
		id      string
		outcome Outcome
	}
	var open []ending
	sent := map[string]int{}
	for i := range 500 {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		left := open[:0]
		for _, e := range open {
			if e.at.After(now) {
				left = append(left, e)
				continue
			}
			p.Handle(e.at, Ended{e.id, e.outcome, 0})
			p.Handle(e.at, Withdrawn{e.id})
		}
		open = left
		id := fmt.Sprint(i)
		name := sentTo(t, p.Handle(now, Submitted{Request{
			ID: id, Serves: "app", OutputTokens: 1, Fingerprint: uint64(i + 1), Deadline: now.Add(time.Second), Repeatable: true,
		}}))
		sent[name]++
		d, outcome := took(name, i)
		open = append(open, ending{now.Add(d), id, outcome})
	}
	return sent
}

func TestASlowPlainEndpointGetsLess(t *testing.T) {
	sent := replayPlain(t, func(name string, _ int) (time.Duration, Outcome) {
		if name == "b" {
			return 480 * time.Millisecond, Finished
		}
		return 60 * time.Millisecond, Finished
	})
	require.Less(t, sent["b"], 500/10)
}

func TestAnEndpointThatFailsOftenGetsLess(t *testing.T) {
	sent := replayPlain(t, func(name string, i int) (time.Duration, Outcome) {
		if name == "c" && i%2 == 0 {
			return 60 * time.Millisecond, Incomplete
		}
		return 60 * time.Millisecond, Finished
	})
	require.Less(t, sent["c"], 500/5)
}

func TestEqualPlainEndpointsShareTheLoad(t *testing.T) {
	sent := replayPlain(t, func(string, int) (time.Duration, Outcome) { return 60 * time.Millisecond, Finished })
	for name, n := range sent {
		require.InDelta(t, 500/3, n, 60, name)
	}
}
