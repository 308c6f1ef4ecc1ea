package endpoint

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// limitFleet is a fleet of routers before one endpoint that names a limit and one that does not.
type limitFleet struct {
	pools  []*Pool
	names  []string
	sent   []time.Time // To the endpoint with the limit, by routers that know of it.
	random *rand.Rand
	next   int
}

const limitedEndpoint = "limited"

func newLimitFleet(routers int, seed uint64) *limitFleet {
	f := &limitFleet{random: rand.New(rand.NewPCG(seed, seed))}
	for n := range routers {
		f.names = append(f.names, fmt.Sprintf("vm-%03d", n))
	}
	for n := range routers {
		f.pools = append(f.pools, f.newRouter(n, f.names))
	}
	return f
}

func (f *limitFleet) newRouter(n int, known []string) *Pool {
	p := &Pool{Policy: Policy{Seed: uint64(n + 1)}}
	p.Handle(start, Configured{[]Endpoint{{Name: limitedEndpoint, Serves: []string{"m"}, Slots: 64}, {Name: "other", Serves: []string{"m"}, Slots: 1000}}})
	p.Handle(start, RoutersListed{Self: f.names[n], Routers: slices.Clone(known)})
	return p
}

// request sends one request through a router and lets it be answered at once, or be rejected and sent again.
func (f *limitFleet) request(now time.Time, p *Pool, rate float64) {
	f.next++
	id := fmt.Sprint(f.next)
	actions := p.Handle(now, Submitted{Request{ID: id, Service: "m", OutputTokens: 1, Deadline: now.Add(time.Second), Repeatable: true}})
	for range 3 {
		if len(actions) == 0 {
			break
		}
		send, ok := actions[len(actions)-1].(Send)
		if !ok {
			break
		}
		if send.Endpoint == limitedEndpoint {
			if p.backends[limitedEndpoint].limit.active() {
				f.sent = append(f.sent, now)
			}
			p.Handle(now, LimitReported{Endpoint: limitedEndpoint, Rate: rate, At: now})
		}
		outcome := Finished
		if f.random.Float64() < 0.2 {
			outcome = Incomplete
		}
		p.Handle(now, Ended{id, outcome, 1})
		if outcome == Finished {
			break
		}
		actions = p.Handle(now, Retried{id})
	}
	p.Handle(now, Withdrawn{id})
}

// most returns the largest number of requests to the endpoint with the limit within a window.
func (f *limitFleet) most(window time.Duration) int {
	slices.SortFunc(f.sent, time.Time.Compare)
	most := 0
	for i, at := range f.sent {
		end, _ := slices.BinarySearchFunc(f.sent, at.Add(window+1), time.Time.Compare)
		most = max(most, end-i)
	}
	return most
}

// TestLimitIsSharedAmongRouters guards against routers that each keep to the limit of the whole fleet, and against
// small shares that become one request of each router.
func TestLimitIsSharedAmongRouters(t *testing.T) {
	const window = 4 * time.Second
	for _, routers := range []int{1, 3, 6, 43, 295} {
		for _, rate := range []float64{0.2, 1, 1.9, 10} {
			f := newLimitFleet(routers, 1)
			const step, perStep = 20 * time.Millisecond, 16 // Requests of the fleet.
			for at := time.Duration(0); at < 20*time.Second; at += step {
				for range max(1, perStep/routers) {
					for _, p := range f.pools {
						if f.random.IntN(routers) < perStep {
							f.request(start.Add(at+time.Duration(f.random.Int64N(int64(step)))), p, rate)
						}
					}
				}
			}
			allowed := 1.5*rate*window.Seconds() + 5
			require.LessOrEqual(t, float64(f.most(window)), allowed, "%d routers, limit %g", routers, rate)
			if rate >= 1 {
				require.Greater(t, float64(len(f.sent)), 0.4*rate*20, "%d routers, limit %g: what it allows is used", routers, rate)
			}
		}
	}
}

// TestLimitHoldsWhileRoutersComeAndGo lets routers die and start again, which the others learn seconds apart.
func TestLimitHoldsWhileRoutersComeAndGo(t *testing.T) {
	const routers, rate, window = 6, 1.0, 4 * time.Second
	f := newLimitFleet(routers, 2)
	alive := slices.Clone(f.names)
	for at := time.Duration(0); at < 60*time.Second; at += 20 * time.Millisecond {
		now := start.Add(at)
		if at%(7*time.Second) == 0 && at > 0 {
			victim := int(at/(7*time.Second)) % routers
			alive = slices.DeleteFunc(slices.Clone(f.names), func(vm string) bool { return vm == f.names[victim] })
			f.pools[victim] = f.newRouter(victim, f.names)
			f.pools[victim].Handle(now, LimitReported{Endpoint: limitedEndpoint, Rate: rate, At: now})
		}
		if at%(7*time.Second) == 3*time.Second {
			alive = f.names
		}
		for n, p := range f.pools {
			if f.random.IntN(100) < 2 { // A router learns of a change after half a second or more.
				p.Handle(now, RoutersListed{Self: f.names[n], Routers: alive})
			}
			f.request(now, p, rate)
		}
	}
	require.LessOrEqual(t, float64(f.most(window)), 1.5*rate*window.Seconds()+5)
}

// TestRequestsBeyondTheLimitsAreRefusedAtOnce lets the only endpoint name a limit.
func TestRequestsBeyondTheLimitsAreRefusedAtOnce(t *testing.T) {
	var p Pool
	p.Handle(start, Configured{[]Endpoint{{Name: "a", Serves: []string{"m"}, Slots: 8}}})
	p.Handle(start, LimitReported{Endpoint: "a", Rate: 0.5, At: start})
	submit := func(now time.Time, id string, wait time.Duration) []Action {
		return p.Handle(now, Submitted{Request{ID: id, Service: "m", OutputTokens: 1, Deadline: now.Add(wait), Repeatable: true}})
	}
	refused := submit(start, "1", time.Second)[0].(Refuse)
	require.Equal(t, refusal.NotRun, refused.Kind.Answer().Ran)
	require.Equal(t, 2*time.Second, refused.RetryAfter, "the limit has room then")
	require.Empty(t, submit(start, "2", 3*time.Second), "it can wait")
	refused = submit(start, "3", 3*time.Second)[0].(Refuse)
	require.Equal(t, 4*time.Second, refused.RetryAfter, "request 2 waits ahead of it")
	sent := p.Handle(start.Add(2*time.Second), Tick{})
	require.Equal(t, []Action{Send{ID: "2", Endpoint: "a", Attempt: 1}}, sent)
}

// TestRequestThatALimitLeavesNoTimeToServeIsRefusedAtOnce submits requests whose deadline is shortly after the time at which
// the limit has room. One of them waited until its deadline and was then refused.
func TestRequestThatALimitLeavesNoTimeToServeIsRefusedAtOnce(t *testing.T) {
	const room = 2 * time.Second // The time until the limit has room.
	for _, c := range []struct {
		left   time.Duration // After that.
		prompt int64
		refuse bool
	}{
		{time.Millisecond, 0, true},
		{40 * time.Millisecond, 0, true},
		{100 * time.Millisecond, 0, false},
		{100 * time.Millisecond, 1000, true}, // It takes half a second to read.
		{time.Second, 1000, false},
	} {
		var p Pool
		p.Handle(start, Configured{[]Endpoint{{Name: "a", Serves: []string{"m"}, Slots: 8}}})
		p.Handle(start, LimitReported{Endpoint: "a", Rate: 0.5, At: start})
		r := Request{ID: "1", Service: "m", OutputTokens: 1, PromptTokens: c.prompt, Deadline: start.Add(room + c.left), Repeatable: true}
		actions := p.Handle(start, Submitted{r})
		if !c.refuse {
			require.Empty(t, actions, c)
			require.IsType(t, Send{}, p.Handle(start.Add(room), Tick{})[0], c)
			continue
		}
		require.Len(t, actions, 1, c)
		require.Equal(t, Refuse{"1", refusal.DeadlineUnreachable, room}, actions[0], c)
	}
}

// TestLimitEndsWithTheAnswerThatNamesNone also lets other routers tell so, and an earlier answer arrive late.
func TestLimitEndsWithTheAnswerThatNamesNone(t *testing.T) {
	var p Pool
	p.Handle(start, Configured{[]Endpoint{{Name: "a", Serves: []string{"m"}, Slots: 8}}})
	p.Handle(start, LimitReported{Endpoint: "a", Rate: 0.5, At: start})
	require.Len(t, p.LimitReports(start), 1)
	later := start.Add(time.Second)
	require.NotEmpty(t, p.Handle(later, LimitReported{Endpoint: "a", At: later}))
	require.Empty(t, p.Handle(later, LimitReported{Endpoint: "a", Rate: 0.5, At: start}), "older than what is known")
	require.Equal(t, "a", submitTo(&p, later, "1")[0].(Send).Endpoint)
	require.Equal(t, []LimitReported{{Endpoint: "a", At: later}}, p.LimitReports(later), "other routers are told that it has ended")
	require.Empty(t, p.LimitReports(later.Add(limitRetention+1)))
}

// TestLimitThatNobodyConfirmsIsTriedWithOneRequest lets a router without a share stay without news.
func TestLimitThatNobodyConfirmsIsTriedWithOneRequest(t *testing.T) {
	f := newLimitFleet(295, 3)
	for _, p := range f.pools {
		p.Handle(start, LimitReported{Endpoint: limitedEndpoint, Rate: 1, At: start})
		if p.backends[limitedEndpoint].limit.share > 0 {
			continue
		}
		p.Handle(start, Configured{[]Endpoint{{Name: limitedEndpoint, Serves: []string{"m"}, Slots: 64}}})
		require.IsType(t, Refuse{}, submitTo(p, start.Add(limitTTL/2), "1")[0])
		now := start.Add(limitTTL + 1)
		require.IsType(t, Send{}, submitTo(p, now, "2")[0])
		require.NotContains(t, submitTo(p, now, "3"), Send{ID: "3", Endpoint: limitedEndpoint, Attempt: 1})
	}
}

// TestPlaceGivenBackReturnsItsShareOfALimit reserves a place at an endpoint with a limit and gives it back unused.
func TestPlaceGivenBackReturnsItsShareOfALimit(t *testing.T) {
	p := moving(t, Policy{}, streamRequest(start, "1"))
	p.Handle(start, LimitReported{"b", 0.1, start})
	now := start.Add(20 * time.Second)
	require.IsType(t, Reserved{}, p.Handle(now, MoveRequested{"1"})[0])
	p.Handle(now, MoveCancelled{ID: "1", Attempt: 2})
	require.IsType(t, Reserved{}, p.Handle(now, MoveRequested{"1"})[0])
}
