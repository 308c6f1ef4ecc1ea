package endpoint

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAllRoutersTogetherKeepToTheRetryBudget lets every attempt at six routers fail for ten seconds.
func TestAllRoutersTogetherKeepToTheRetryBudget(t *testing.T) {
	const routers, ratio, slack = 6, 0.2, 50.0
	requests, repeats := 0, 0
	for n := range routers {
		p := Pool{Policy: Policy{Seed: uint64(n + 1), RetryRatio: ratio, FleetReserve: slack, DownFor: time.Millisecond, MaxDownFor: time.Millisecond}}
		p.Handle(start, Configured{engines(3)})
		p.Handle(start, RoutersCounted{routers})
		for i := range 200 {
			now := start.Add(time.Duration(i) * 50 * time.Millisecond)
			id := fmt.Sprint(i)
			p.Handle(now, Tick{})
			requests++
			p.Handle(now, Submitted{Request{ID: id, Serves: "m", OutputTokens: 1, Fingerprint: uint64(i + 1), Deadline: now.Add(time.Second), Repeatable: true}})
			p.Handle(now, Ended{id, Incomplete, 0})
			for _, action := range p.Handle(now, Retried{id}) {
				if _, ok := action.(Send); ok {
					repeats++
				}
			}
			p.Handle(now, Ended{id, Incomplete, 0})
			p.Handle(now, Withdrawn{id})
		}
	}
	require.LessOrEqual(t, float64(repeats), ratio*float64(requests)+slack)
	require.Positive(t, repeats)
}
