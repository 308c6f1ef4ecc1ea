package endpoint

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRoutersTogetherKeepToTheRetryBudget lets every attempt of six routers fail for ten seconds.
func TestRoutersTogetherKeepToTheRetryBudget(t *testing.T) {
	const routers, ratio, reserve = 6, 0.2, 50.0
	requests, retries := 0, 0
	for n := range routers {
		p := Pool{Policy: Policy{Seed: uint64(n + 1), RetryRatio: ratio, FleetRetryReserve: reserve, BaseEjectionTime: time.Millisecond, MaxEjectionTime: time.Millisecond}}
		p.Handle(start, Configured{engines(3)})
		p.Handle(start, RoutersCounted{routers})
		for i := range 200 {
			now := start.Add(time.Duration(i) * 50 * time.Millisecond)
			id := fmt.Sprint(i)
			p.Handle(now, Tick{})
			requests++
			p.Handle(now, Submitted{Request{ID: id, Service: "m", OutputTokens: 1, Fingerprint: uint64(i + 1), Deadline: now.Add(time.Second), Repeatable: true}})
			p.Handle(now, Ended{id, Incomplete, 0})
			for _, action := range p.Handle(now, Retried{id}) {
				if _, ok := action.(Send); ok {
					retries++
				}
			}
			p.Handle(now, Ended{id, Incomplete, 0})
			p.Handle(now, Withdrawn{id})
		}
	}
	require.LessOrEqual(t, float64(retries), ratio*float64(requests)+reserve)
	require.Positive(t, retries)
}

// TestRoutersThatWereNeverReachedShareTheRetryBudget starts a router that is in contact with none of five others.
func TestRoutersThatWereNeverReachedShareTheRetryBudget(t *testing.T) {
	p := Pool{Policy: Policy{FleetRetryReserve: 60}}
	p.Handle(start, RoutersCounted{1})
	p.Handle(start, RoutersExpected{6})
	later := start.Add(time.Minute)
	require.InDelta(t, 10, p.RetryBudget(later, "m").Allowed, 0.01)
	p.Handle(start, RoutersCounted{6})
	p.Handle(start, RoutersExpected{1})
	require.InDelta(t, 10, p.RetryBudget(later, "m").Allowed, 0.01, "they may still send")
}

// TestRequestThatArrivedBeforeTakesARetry submits requests that have arrived at endpoints through another router.
func TestRequestThatArrivedBeforeTakesARetry(t *testing.T) {
	p := Pool{Policy: Policy{RetryReserve: 1}}
	p.Handle(start, Configured{engines(3)})
	submit := func(id string, runs int) Action {
		return p.Handle(start, Submitted{Request{ID: id, Service: "m", OutputTokens: 1, Deadline: start.Add(time.Minute), Repeatable: true, MaxAttempts: 2, Arrived: true, Runs: runs}})[0]
	}
	require.IsType(t, Refuse{}, submit("no attempt left", 2))
	require.IsType(t, Send{}, submit("first", 1))
	require.Equal(t, RetryBudget{Allowed: 1, Pending: 1}, p.RetryBudget(start, "m"), "it earns nothing here")
	require.IsType(t, Refuse{}, submit("second", 0))
}
