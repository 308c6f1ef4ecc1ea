package endpoint

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

var coldCases = []coldCase{
	{name: "one endpoint returns, all want it", routers: 87, endpoints: 1, failing: 1, perSecond: 200, event: "restart", downFor: 4 * time.Second},
	{name: "the same at once", routers: 87, endpoints: 1, failing: 1, perSecond: 200, event: "restart", downFor: 300 * time.Millisecond},
	{name: "one endpoint returns, no router has the store", routers: 87, endpoints: 1, failing: 1, perSecond: 200, event: "restart", downFor: 4 * time.Second, cutOff: 87},
	{name: "one data centre returns", routers: 87, endpoints: 140, failing: 46, perSecond: 910, event: "restart", downFor: 6 * time.Second},
	{name: "one data centre returns, halves", routers: 87, endpoints: 140, failing: 46, perSecond: 910, event: "restart", downFor: 6 * time.Second, cutOff: 43},
	{name: "one data centre returns, routers restart", routers: 87, endpoints: 140, failing: 46, perSecond: 910, event: "restart", downFor: 6 * time.Second, restarting: true},
	{name: "an evacuation ends", routers: 87, endpoints: 140, failing: 46, perSecond: 910, event: "evacuation", downFor: 6 * time.Second},
	{name: "endpoints become cold again", routers: 87, endpoints: 140, failing: 46, perSecond: 910, event: "cold again"},
	{name: "six routers, one data centre returns", routers: 6, endpoints: 9, failing: 3, perSecond: 80, event: "restart", downFor: 6 * time.Second},
}

// TestColdEndpointsGetFewRequests guards against routers that together send a cold endpoint more than it bears within a second.
func TestColdEndpointsGetFewRequests(t *testing.T) {
	const bound = coldRate*coldExcess + coldSlack
	exceeded := 0
	for _, c := range coldCases {
		f := newColdFleet(c)
		f.run()
		most, mean := f.most()
		c.unbounded = true
		baseline := newColdFleet(c)
		baseline.run()
		mostWithout, meanWithout := baseline.most()
		t.Logf("%-46s most in a second %3d (mean while cold %5.1f), served %5d of %5d, refused %5d | without the bound: %4d (%6.1f), served %5d, refused %5d",
			c.name, most, mean, f.served, f.offered, f.refused, mostWithout, meanWithout, baseline.served, baseline.refused)
		require.LessOrEqual(t, float64(most), bound, c.name)
		if float64(mostWithout) > bound {
			exceeded++
		}
		if c.endpoints == c.failing {
			require.Greater(t, mean, 10.0, "%s: what the bound allows is used", c.name)
		}
	}
	require.GreaterOrEqual(t, exceeded, 4, "the cases are hard enough to exceed the bound without the rule")
}

// coldPool returns the pool of one router before a cold endpoint, with as many registered routers in all.
func coldPool(t *testing.T, routers int, endpoints ...string) *Pool {
	p := &Pool{Policy: Policy{ColdExcess: coldExcess, ColdSlack: coldSlack}}
	var names []string
	for n := range routers {
		names = append(names, fmt.Sprintf("vm-%03d", n))
	}
	p.Handle(start, RoutersRegistered{Self: names[0], Routers: names})
	var list []Endpoint
	for _, name := range endpoints {
		list = append(list, Endpoint{Name: name, Serves: []string{"m"}, Slots: 8, ColdRate: coldRate, ColdFor: coldTime, ColdLeft: coldTime})
	}
	p.Handle(start, Configured{list})
	require.Len(t, p.backends, len(endpoints))
	return p
}

// TestRouterOfASmallFleetSendsAColdEndpointOneRequestASecond guards against a second request of a router within a second, by
// whichever way it is sent, and against a bucket that is full at the start of a process.
func TestRouterOfASmallFleetSendsAColdEndpointOneRequestASecond(t *testing.T) {
	p := coldPool(t, 2, "a")
	ready, ok := p.coldReadyAt(p.backends["a"])
	require.True(t, ok)
	require.GreaterOrEqual(t, ready.Sub(start), minColdGap, "the bucket begins empty")
	require.Empty(t, p.Handle(start, Submitted{streamRequest(start, "1")}), "it waits")
	require.Contains(t, p.Handle(ready, Tick{}), Send{ID: "1", Endpoint: "a", Attempt: 1})
	p.Handle(ready, Ended{ID: "1", Outcome: Incomplete})
	require.Empty(t, p.Handle(ready.Add(minColdGap-1), Retried{"1"}), "a retry counts")
	require.Equal(t, []Action{Send{ID: "1", Endpoint: "a", Attempt: 2}}, p.Handle(ready.Add(minColdGap), Tick{}))
}

// TestMoveToAColdEndpointCounts guards against a place at a cold endpoint that is reserved for a request in flight and not counted.
func TestMoveToAColdEndpointCounts(t *testing.T) {
	p := moving(t, Policy{}, streamRequest(start, "1"))
	list := []Endpoint{}
	for _, name := range []string{"a", "b"} {
		e := p.backends[name].Endpoint
		if name == "b" {
			e.ColdRate, e.ColdFor, e.ColdLeft = 1, 20*time.Second, 20*time.Second
		}
		list = append(list, e)
	}
	p.Handle(start, Configured{list})
	require.Equal(t, MoveDenied{"1", NoPlace}, p.Handle(start, MoveRequested{"1"})[0])
	now := start.Add(5 * time.Second)
	require.IsType(t, Reserved{}, p.Handle(now, MoveRequested{"1"})[0])
	moved := now.Add(300 * time.Millisecond)
	p.Handle(moved, Moved{"1", Silent})
	at, _ := p.coldReadyAt(p.backends["b"])
	require.GreaterOrEqual(t, at.Sub(moved), minColdGap, "the gap begins when it is sent")
}

// TestEndpointThatFailedIsPresumedCold guards against full load for an endpoint that has restarted before its entry says so, and
// against one that is presumed cold for ever.
func TestEndpointThatFailedIsPresumedCold(t *testing.T) {
	now := start.Add(10 * time.Second)
	for _, failure := range []Event{Ended{ID: "1", Outcome: Died}, Ended{ID: "1", Outcome: Silent}, Ended{ID: "1", Outcome: Rejected}, ConnectionRefused{"a"}, MoveRequested{"1"}} {
		p := coldPool(t, 2, "a")
		require.Equal(t, Send{ID: "1", Endpoint: "a", Attempt: 1}, p.Handle(now, Submitted{streamRequest(now, "1")})[0])
		b := p.backends["a"]
		require.False(t, b.isCold(now))
		p.Handle(now, failure)
		require.True(t, b.isCold(now.Add(time.Hour)), "%#v: until it answers", failure)
		later := now.Add(20 * time.Second)
		p.Handle(later, Withdrawn{"1"})
		require.Equal(t, Send{ID: "2", Endpoint: "a", Attempt: 1}, p.Handle(later, Submitted{streamRequest(later, "2")})[0], "%#v", failure)
		p.Handle(later, Answered{"2"})
		require.True(t, b.isCold(later.Add(coldTime-1)), "%#v: for its time after the first contact", failure)
		require.False(t, b.isCold(later.Add(coldTime)), "%#v", failure)
	}
}

// TestAnswerOfADeadProcessIsNoContact guards against taking an answer that was read after the death of an endpoint as a sign that
// it runs again.
func TestAnswerOfADeadProcessIsNoContact(t *testing.T) {
	now := start.Add(10 * time.Second)
	p := coldPool(t, 2, "a")
	p.Handle(now, Submitted{streamRequest(now, "1")})
	p.Handle(now, Submitted{streamRequest(now, "2")})
	p.Handle(now.Add(time.Second), Ended{ID: "1", Outcome: Died})
	p.Handle(now.Add(time.Second), Answered{"2"})
	require.True(t, p.backends["a"].isCold(now.Add(time.Hour)))
}

// TestLongestColdTimeCounts guards against late, repeated or absurd reports that shorten the time or never let it end, and
// against reports about endpoints without a rate.
func TestLongestColdTimeCounts(t *testing.T) {
	p := coldPool(t, 2, "a")
	b := p.backends["a"]
	p.Handle(start, ColdReported{"a", time.Second})
	require.True(t, b.isCold(start.Add(coldTime-1)))
	p.Handle(start.Add(2*time.Second), ColdReported{"a", coldTime})
	require.True(t, b.isCold(start.Add(5*time.Second-1)))
	p.Handle(start, ColdReported{"a", time.Hour})
	require.False(t, b.isCold(start.Add(maxColdTime)))
	p.Handle(start, ColdReported{"unknown", time.Second})
	p.Handle(start, Configured{[]Endpoint{{Name: "b", Serves: []string{"m"}, Slots: 1}}})
	p.Handle(start, ColdReported{"b", time.Second})
	require.False(t, p.backends["b"].isCold(start), "its service has no rate")
}

// TestRouterThatKnowsNoOtherWaitsForTheList guards against routers that all start at once and each take themselves for the only
// one, because they have read entries before registrations.
func TestRouterThatKnowsNoOtherWaitsForTheList(t *testing.T) {
	p := coldPool(t, 1, "a")
	at, ok := p.coldReadyAt(p.backends["a"])
	require.True(t, ok)
	require.Equal(t, loneRouterDelay, at.Sub(start))
	var names []string
	for n := range 87 {
		names = append(names, fmt.Sprintf("vm-%03d", n))
	}
	sending := 0
	for _, name := range names {
		p.Handle(start, RoutersRegistered{Self: name, Routers: names})
		if _, ok := p.coldReadyAt(p.backends["a"]); ok {
			sending++
		}
	}
	require.Equal(t, 13, sending, "three quarters of the bound")
}

// TestRequestsBeyondAColdServiceAreRefusedAtOnce guards against requests that wait for cold endpoints until their deadline.
func TestRequestsBeyondAColdServiceAreRefusedAtOnce(t *testing.T) {
	p := coldPool(t, 2, "a")
	submit := func(id string, wait time.Duration) []Action {
		return p.Handle(start, Submitted{Request{ID: id, Service: "m", OutputTokens: 1, Deadline: start.Add(wait), Repeatable: true}})
	}
	ready, _ := p.coldReadyAt(p.backends["a"])
	refused := submit("1", time.Second/2)[0].(Refuse)
	require.Equal(t, refusal.DeadlineUnreachable, refused.Kind)
	require.Equal(t, ready.Sub(start).Round(time.Millisecond), refused.RetryAfter.Round(time.Millisecond))
	require.Empty(t, submit("2", 2*time.Second), "it can wait")
	require.IsType(t, Refuse{}, submit("3", 2*time.Second)[0], "request 2 waits ahead of it")
	require.Empty(t, submit("4", coldTime+time.Second), "the endpoint is warm then")
}

// TestColdChangesAreTold guards against a state that no log line or metric shows.
func TestColdChangesAreTold(t *testing.T) {
	p := coldPool(t, 2, "a")
	told := p.Handle(start, Tick{})[0].(ColdChanged)
	require.Equal(t, ColdChanged{Endpoint: "a", Cold: true, For: coldTime, Interval: minColdGap}, told)
	require.True(t, p.Views(start)[0].Cold)
	require.Empty(t, p.Handle(start.Add(time.Second), Tick{}))
	require.False(t, p.Handle(start.Add(coldTime), Tick{})[0].(ColdChanged).Cold)
}
