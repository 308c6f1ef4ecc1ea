package endpoint

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestBrittleEndpointsDoNotFall offers bursts above the capacity of brittle endpoints.
//
// Routers that send each of them what they think it has room for, and retry elsewhere, bring them down one after the other.
func TestBrittleEndpointsDoNotFall(t *testing.T) {
	for _, c := range brittleCases {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			f := newBrittleFleet(c)
			f.run()
			t.Logf("%d falls, %d rejections; served %d of %d offered, refused %d; capacity %.0f",
				f.falls(), f.rejected, f.served, f.offered, f.refused, f.capacity()*f.length.Seconds())
			require.LessOrEqual(t, f.falls(), 2+c.endpoints/10)
			if slots := c.endpoints * c.slots; !c.silent && (2*c.routers <= slots || c.routers < 10) {
				require.GreaterOrEqual(t, float64(f.served), minServed*float64(f.offered))
			}
		})
	}
}

// minServed is the least share of the offered requests that is served, although a third of them arrives in bursts of one and
// a half times the capacity.
const minServed = 0.75

// oneBrittle returns a pool with two endpoints, one of which is known to bear a number of rejections.
func oneBrittle(routers, tolerated int) *Pool {
	p := &Pool{}
	var names []string
	for n := range routers {
		names = append(names, fmt.Sprintf("vm-%03d", n))
	}
	p.Handle(start, Configured{[]Endpoint{{Name: "a", Serves: []string{"m"}, Slots: 8}, {Name: "b", Serves: []string{"other"}, Slots: 8}}})
	p.Handle(start, RoutersCounted{Routers: routers})
	p.Handle(start, RoutersListed{Self: names[0], Routers: names})
	p.Handle(start, BrittleReported{Endpoint: "a", Tolerated: tolerated, At: start})
	return p
}

// TestQuotasOfAllRoutersAreWhatABrittleEndpointBears guards against routers that each risk what all may.
func TestQuotasOfAllRoutersAreWhatABrittleEndpointBears(t *testing.T) {
	for _, routers := range []int{1, 6, 73, 295} {
		for _, tolerated := range []int{1, 2, 7, 100, 1000} {
			f := newBrittleFleet(brittleCase{routers: routers, endpoints: 2, slots: 64, service: time.Second})
			sum := 0
			for _, p := range f.pools {
				p.Handle(start, BrittleReported{Endpoint: "e-000", Tolerated: tolerated, At: start})
				sum += p.backends["e-000"].brittle.quota
			}
			require.LessOrEqual(t, sum, tolerated, "%d routers", routers)
			require.Greater(t, 2*sum, tolerated-2, "%d routers", routers)
		}
	}
}

// TestRejectedRouterSendsNothingMoreThanTheEndpointBears lets a brittle endpoint reject everything at once.
func TestRejectedRouterSendsNothingMoreThanTheEndpointBears(t *testing.T) {
	for _, routers := range []int{1, 6, 295} {
		const tolerated = 2
		f := newBrittleFleet(brittleCase{routers: routers, endpoints: 1, slots: 64, service: time.Second})
		var rejections []time.Time
		for at := time.Duration(0); at < 10*time.Second; at += 50 * time.Millisecond {
			now := start.Add(at)
			for n, p := range f.pools {
				p.Handle(now, BrittleReported{Endpoint: "e-000", Tolerated: tolerated, At: now})
				id := fmt.Sprint(n, at)
				for _, action := range p.Handle(now, Submitted{Request{ID: id, Service: "m", OutputTokens: 1, Deadline: now.Add(20 * time.Millisecond), Repeatable: true}}) {
					if _, ok := action.(Send); !ok {
						continue
					}
					rejections = append(rejections, now)
					p.Handle(now, CapacityRejected{Endpoint: "e-000"})
					p.Handle(now, LoadReported{Endpoint: "e-000", Load: Load{Running: 64}})
					p.Handle(now, Ended{ID: id, Outcome: Rejected})
				}
				p.Handle(now, Withdrawn{id})
			}
		}
		slices.SortFunc(rejections, time.Time.Compare)
		broken := 0
		for i, at := range rejections {
			if i >= tolerated && at.Sub(rejections[i-tolerated]) < time.Second {
				broken++
			}
		}
		require.LessOrEqual(t, broken, 2, "%d routers: %v", routers, rejections)
		require.NotEmpty(t, rejections, "%d routers", routers)
	}
}

// TestBrittlenessEnds lets an answer say so, lets other routers tell so, lets no answer confirm it, and restarts the endpoint.
func TestBrittlenessEnds(t *testing.T) {
	later := start.Add(time.Second)
	p := oneBrittle(6, 12)
	require.Equal(t, []BrittleReported{{Endpoint: "a", Tolerated: 12, At: start}}, p.BrittleReports(start))
	ended := p.Handle(later, BrittleReported{Endpoint: "a", At: later})
	require.Equal(t, []Action{BrittleChanged{Endpoint: "a", Before: 12, Age: time.Second}}, ended)
	require.Empty(t, p.Handle(later, BrittleReported{Endpoint: "a", Tolerated: 12, At: start}), "older than what is known")
	require.Len(t, p.BrittleReports(later), 1, "other routers are told that it has ended")
	require.Empty(t, p.BrittleReports(later.Add(brittleRetention+1)))

	p = oneBrittle(6, 12)
	require.Empty(t, p.Handle(start.Add(brittleTTL), Tick{}))
	require.Len(t, p.Handle(start.Add(brittleTTL+1), Tick{}), 1)

	p = oneBrittle(6, 12)
	p.Handle(later, Configured{[]Endpoint{{Name: "b", Serves: []string{"other"}, Slots: 8}}})
	p.Handle(later, Configured{[]Endpoint{{Name: "a", Serves: []string{"m"}, Slots: 8}, {Name: "b", Serves: []string{"other"}, Slots: 8}}})
	require.Empty(t, p.Handle(later, BrittleReported{Endpoint: "a", Tolerated: 12, At: start}), "of the process before")
	require.False(t, p.backends["a"].brittle.active())
	require.Len(t, p.Handle(later, BrittleReported{Endpoint: "a", Tolerated: 12, At: later}), 1)
}

// TestEndpointsOfABrittleServiceArePresumedBrittle until an answer says what they are, also one that starts later.
func TestEndpointsOfABrittleServiceArePresumedBrittle(t *testing.T) {
	var p Pool
	endpoints := []Endpoint{{Name: "a", Serves: []string{"m"}, Slots: 8}, {Name: "b", Serves: []string{"m"}, Slots: 8}, {Name: "c", Serves: []string{"other"}, Slots: 8}}
	p.Handle(start, Configured{endpoints})
	changes := p.Handle(start, BrittleReported{Endpoint: "a", Tolerated: 3, At: start})
	require.Equal(t, []Action{BrittleChanged{Endpoint: "a", Now: 3, Share: 3}, BrittleChanged{Endpoint: "b", Now: 3, Share: 3, Presumed: true}}, changes)
	require.Len(t, p.BrittleReports(start), 1, "what is presumed is not told")
	require.Len(t, p.Handle(start, BrittleReported{Endpoint: "b", At: start}), 1, "an answer ends it")
	later := start.Add(time.Second)
	require.Empty(t, p.Handle(later, BrittleReported{Endpoint: "a", Tolerated: 3, At: later}), "once")
	p.Handle(later, Configured{append(endpoints, Endpoint{Name: "d", Serves: []string{"m"}, Slots: 8})})
	require.True(t, p.backends["d"].brittle.presumed)
	p.Handle(later, BrittleReported{Endpoint: "d", Tolerated: 0, At: later})
	require.False(t, p.backends["d"].brittle.active())
}

// TestRequestsWithoutRoomAtBrittleEndpointsAreRefusedAtOnce when this router has no turn before their deadline.
func TestRequestsWithoutRoomAtBrittleEndpointsAreRefusedAtOnce(t *testing.T) {
	p := oneBrittle(295, 1)
	require.Zero(t, p.backends["a"].brittle.quota)
	p.Handle(start, CapacityRejected{Endpoint: "a"})
	now := start.Add(time.Second)
	r := Request{ID: "1", Service: "m", OutputTokens: 1, Deadline: now.Add(time.Second), Repeatable: true}
	refused := p.Handle(now, Submitted{r})[0].(Refuse)
	require.Greater(t, refused.RetryAfter, 20*time.Second, "the router rests")
	require.LessOrEqual(t, refused.RetryAfter, maxBrittleRest)
}

// TestOverloadAccusesNobody lets a brittle endpoint die after it had rejected requests, and without that.
func TestOverloadAccusesNobody(t *testing.T) {
	for name, c := range map[string]struct {
		tolerated int
		turned    BrittleReported
		accused   bool
	}{
		"after a rejection here":           {3, BrittleReported{RejectedAt: start}, false},
		"after a rejection long ago":       {3, BrittleReported{RejectedAt: start.Add(-time.Minute)}, true},
		"without rejections":               {3, BrittleReported{}, true},
		"sound endpoint after a rejection": {0, BrittleReported{RejectedAt: start}, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := oneBrittle(6, c.tolerated)
			parts := []Part{{ID: 1, Tokens: 1}, {ID: 2, Tokens: 1}}
			p.Handle(start, BrittleReported{Endpoint: "a", Tolerated: c.tolerated, At: start, RejectedAt: c.turned.RejectedAt})
			p.jobs["1"] = &job{Request: Request{ID: "1", Service: "m", Fingerprint: 9, Parts: parts, Repeatable: true}, prefixHashes: prefixHashesOf(parts)}
			p.send(start, p.jobs["1"], p.backends["a"])
			now := start.Add(time.Second)
			p.Handle(now, Ended{ID: "1", Outcome: Died})
			p.Handle(now, Crashed{Endpoint: "a", Parts: parts})
			if c.accused {
				require.Len(t, p.Suspicions(), 2)
			} else {
				require.Empty(t, p.Suspicions())
			}
		})
	}
}
