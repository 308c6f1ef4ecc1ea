package endpoint

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSlowdownCountsForAShortTime guards against taking the slowdown of a moment for a lasting speed, and against a report without
// one that changes an estimate.
func TestSlowdownCountsForAShortTime(t *testing.T) {
	b := newBackend(Endpoint{Name: "a", Slots: 8, PromptTokensPerSecond: 1000})
	j := &job{Request: Request{PromptTokens: 1000}}
	for _, c := range []struct {
		slowdown float64
		age      time.Duration
		want     float64
	}{
		{0, 0, 1}, {1, 0, 1}, {1.2, 0, 1}, {0.85, 0, 1}, {3.25, 0, 3}, {3.25, 150 * time.Millisecond, 2}, {3.25, 299 * time.Millisecond, 1.01},
		{3.25, 300 * time.Millisecond, 1}, {3.25, time.Hour, 1}, {0.3, 0, 0.5},
	} {
		b.report = Load{Slowdown: c.slowdown}
		b.reportAt = start
		require.InDelta(t, c.want, b.firstTokenSeconds(start.Add(c.age), j, false, 0, Policy{}.withDefaults()), 0.01, c)
	}
}

// TestChoiceFollowsNoNoise guards against requests that all go to the endpoint whose last figure happens to be the lowest, although
// the figures fluctuate around the usual one, and against a slow moment that is ignored.
func TestChoiceFollowsNoNoise(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	p := &Pool{Policy: Policy{ReportLag: time.Millisecond}}
	p.Handle(start, Configured{[]Endpoint{{Name: "a", Serves: []string{"m"}, Slots: 50, PromptTokensPerSecond: 1000}, {Name: "b", Serves: []string{"m"}, Slots: 50, PromptTokensPerSecond: 1000}}})
	lower, toSlow := 0, 0
	const requests = 400
	for n := range requests {
		now := start.Add(time.Duration(n) * 10 * time.Millisecond)
		figures := map[string]float64{"a": 0.82 + 0.4*random.Float64(), "b": 0.82 + 0.4*random.Float64()}
		for name, s := range figures {
			p.Handle(now, LoadReported{name, Load{Slowdown: s}})
		}
		id := fmt.Sprint(n)
		send := p.Handle(now, Submitted{Request{ID: id, Service: "m", PromptTokens: 100, OutputTokens: 1, Deadline: now.Add(time.Minute)}})[0].(Send)
		if figures[send.Endpoint] == min(figures["a"], figures["b"]) {
			lower++
		}
		p.Handle(now, Withdrawn{id})
		p.Handle(now, LoadReported{"a", Load{Slowdown: 4}})
		p.Handle(now, LoadReported{"b", Load{Slowdown: 1}})
		if p.Handle(now, Submitted{Request{ID: id, Service: "m", PromptTokens: 100, OutputTokens: 1, Deadline: now.Add(time.Minute)}})[0].(Send).Endpoint == "a" {
			toSlow++
		}
		p.Handle(now, Withdrawn{id})
	}
	require.InDelta(t, requests/2, lower, requests/8)
	require.Zero(t, toSlow)
}
