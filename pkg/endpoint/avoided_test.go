package endpoint

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRequestWaitsForAnAvoidedEndpoint lets the only endpoint that can take a request die or fall silent, beside one whose
// limit leaves no room.
func TestRequestWaitsForAnAvoidedEndpoint(t *testing.T) {
	routers := []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8"}
	for _, outcome := range []Outcome{Died, Silent} {
		t.Run(outcome.String(), func(t *testing.T) {
			var p Pool
			p.Handle(start, twoEndpoints)
			p.Handle(start, LimitReported{"b", 0.001, start})
			for _, self := range routers {
				p.Handle(start, RoutersListed{self, routers})
				if p.backends["b"].limit.share == 0 {
					break
				}
			}
			require.Zero(t, p.backends["b"].limit.share)
			require.Equal(t, "a", submitTo(&p, start, "1")[0].(Send).Endpoint)
			p.Handle(start, Ended{ID: "1", Outcome: outcome})
			require.Empty(t, p.Handle(start, Retried{"1"}), "the request waits until a may be used again")
			sent := p.Handle(start.Add(DefaultBaseEjectionTime), Tick{})
			require.Len(t, sent, 1)
			require.Equal(t, "a", sent[0].(Send).Endpoint)
		})
	}
}
