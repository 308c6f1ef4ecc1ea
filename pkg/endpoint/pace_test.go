package endpoint

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPaceOfAnEndpointThatReturns guards against 71 routers that overload 12 slots at once, and against leaving them idle too long.
func TestPaceOfAnEndpointThatReturns(t *testing.T) {
	const seeds = 3
	for _, work := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond} {
		bad := map[paceMode]int{}
		share := map[paceMode]time.Duration{}
		for _, mode := range []paceMode{noPace, oneAtATime, withPace} {
			got, rejected := 0, 0
			for seed := range uint64(seeds) {
				f := newPaceFleet(mode, work, paceSlots, seed+1)
				f.run()
				got += f.got
				rejected += f.rejected
				bad[mode] += f.rejected + f.slow
				share[mode] += f.shareAfter() / seeds
			}
			t.Logf("work %v, %-13s: of %4d requests at the endpoint %3d rejected, %3d slow; carries its share after %v",
				work, mode, got, rejected, bad[mode]-rejected, share[mode].Round(10*time.Millisecond))
		}
		require.LessOrEqual(t, bad[withPace], bad[noPace], "%v: rejected or slow", work)
		require.LessOrEqual(t, bad[withPace], bad[oneAtATime], "%v: rejected or slow", work)
		if work <= 300*time.Millisecond { // Longer work brings no rush in this model: few requests look for a place.
			require.Less(t, bad[withPace]*5, bad[noPace], "%v: rejected or slow", work)
			require.Less(t, bad[withPace]*5, bad[oneAtATime], "%v: rejected or slow", work)
		}
		require.LessOrEqual(t, share[withPace], 3*time.Second, work)
	}
}

const pacedService = "m"

// pacedPool returns the pool of one router before an endpoint a that has just been added, and an endpoint b that has been measured.
func pacedPool(t *testing.T, slots, routers int) (*Pool, *backend) {
	p := &Pool{Policy: Policy{ReportLag: time.Millisecond}}
	var names []string
	for n := range routers {
		names = append(names, fmt.Sprintf("vm-%03d", n))
	}
	known := Endpoint{Name: "b", Serves: []string{pacedService}, Slots: slots, Paced: true}
	p.Handle(start, Configured{[]Endpoint{known}})
	p.backends["b"].answerTimes = answerTimes{firstTokens: minPaceAnswers, firstTokenTime: 0.1}
	p.Handle(start, Configured{[]Endpoint{{Name: "a", Serves: []string{pacedService}, Slots: slots, Paced: true}, known}})
	p.Handle(start, LeavingUpdated{"b", true})
	a := p.backends["a"]
	for _, self := range names { // As the router that comes first there.
		p.Handle(start, RoutersRegistered{Self: self, Routers: names})
		if rank, _ := p.registeredRank(a); rank == 0 {
			break
		}
	}
	require.True(t, p.isPaced(start, a), "a new endpoint of a service whose reports carry a slowdown")
	return p, a
}

// sendPaced submits requests and returns how many of them are sent at once.
func sendPaced(p *Pool, now time.Time, ids ...string) int {
	sent := 0
	for _, id := range ids {
		r := Request{ID: id, Service: pacedService, OutputTokens: 1, Deadline: now.Add(time.Minute), Repeatable: true}
		for _, action := range p.Handle(now, Submitted{r}) {
			if _, ok := action.(Send); ok {
				sent++
			}
		}
	}
	return sent
}

// TestWindowFollowsTheAnswers guards against a window that opens without answers, or that stays open after slow ones, rejections
// or a death.
func TestWindowFollowsTheAnswers(t *testing.T) {
	p, a := pacedPool(t, 12, 3)
	require.Equal(t, 1, sendPaced(p, start, "1", "2", "3", "4", "5"))
	now := start.Add(100 * time.Millisecond)
	next := p.Handle(now, FirstToken{"1"})
	require.InDelta(t, 2, a.pace.window, 1e-9)
	require.Empty(t, next, "the next event sends")
	require.Len(t, sends(p.Handle(now, Tick{})), 2)
	p.Handle(now, FirstToken{"2"})
	p.Handle(now, FirstToken{"3"})
	require.InDelta(t, 2.9, a.pace.window, 1e-9)
	require.Len(t, sends(p.Handle(now, Tick{})), 2)
	late := now.Add(600 * time.Millisecond)
	p.Handle(late, FirstToken{"4"})
	require.InDelta(t, 1.45, a.pace.window, 1e-9, "slow against the other endpoint")
	p.Handle(late, FirstToken{"5"})
	require.InDelta(t, 1.45, a.pace.window, 1e-9, "slow too, but sent before the window was halved")
	require.Equal(t, 1, sendPaced(p, late, "6"))
	p.Handle(late, LoadReported{"a", Load{Slowdown: 3}})
	p.Handle(late, FirstToken{"6"})
	require.InDelta(t, 0.725, a.pace.window, 1e-9, "reported as slowed down")
	p.Handle(late.Add(time.Second), LoadReported{"a", Load{Slowdown: 1}})
	later := late.Add(time.Second)
	require.Equal(t, 1, sendPaced(p, later, "7"))
	p.Handle(later, Answered{"7"})
	p.Handle(later, Ended{ID: "7", Outcome: Rejected})
	require.InDelta(t, 0.3625, a.pace.window, 1e-9, "rejected")
	p.Handle(later, Ended{ID: "6", Outcome: Died})
	require.InDelta(t, 1, a.pace.window, 1e-9, "reset by a death")
	require.Equal(t, a.ejectedUntil, a.pace.beganAt)
}

func sends(actions []Action) []Send {
	var all []Send
	for _, action := range actions {
		if send, ok := action.(Send); ok {
			all = append(all, send)
		}
	}
	return all
}

// TestWindowBelowOneMeansPauses guards against routers that are more than the slots and each always have a request there.
func TestWindowBelowOneMeansPauses(t *testing.T) {
	p, a := pacedPool(t, 12, 71)
	a.pace.window = 0.25
	a.pace.answerTime = 100 * time.Millisecond
	a.pace.idleAt = start
	require.Zero(t, sendPaced(p, start.Add(300*time.Millisecond-1), "1"))
	require.Len(t, sends(p.Handle(start.Add(300*time.Millisecond), Tick{})), 1)
}

// TestLongStreamsLeaveNoSlotIdle guards against a window that opens only when streams end.
func TestLongStreamsLeaveNoSlotIdle(t *testing.T) {
	p, a := pacedPool(t, 8, 1)
	now := start
	sendPaced(p, now, "1", "2", "3", "4", "5", "6", "7", "8", "9", "10")
	for range 6 {
		for id := range a.running {
			p.Handle(now, FirstToken{id})
		}
		p.Handle(now, Tick{})
		now = now.Add(50 * time.Millisecond)
	}
	require.Len(t, a.running, 8)
}

// TestRoutersJoinOneAfterTheOther guards against all routers that begin at once, and against some that never may send.
func TestRoutersJoinOneAfterTheOther(t *testing.T) {
	for routers, all := range map[int]time.Duration{3: 0, 71: 6 * time.Second, 295: 12 * time.Second} {
		b := newBackend(Endpoint{Name: "a", Slots: 12, ColdRate: 1})
		b.beginPace(start)
		require.Equal(t, 6, b.pacedRouters(start))
		require.Equal(t, 6, b.pacedRouters(start.Add(-time.Second)), "before it is used again")
		require.InDelta(t, 12, b.pacedRouters(start.Add(paceStep)), 0.5)
		require.GreaterOrEqual(t, b.pacedRouters(start.Add(all)), routers)
		require.Positive(t, b.pacedRouters(start.Add(1000*time.Hour)))
	}
	p, a := pacedPool(t, 12, 71)
	list := p.registered.names
	beginning := 0
	for n := range list {
		p.Handle(start, RoutersRegistered{Self: list[n], Routers: list})
		if p.withinPace(start, a) {
			beginning++
		}
	}
	require.Equal(t, 6, beginning)
}

// TestRequestsThatWaitForTheirTurnToJoinAreRefusedAtOnce guards against requests that wait until their deadline at a router that may
// not send yet, and against a wait that is told wrong.
func TestRequestsThatWaitForTheirTurnToJoinAreRefusedAtOnce(t *testing.T) {
	p, a := pacedPool(t, 12, 71)
	list := p.registered.names
	for _, self := range list {
		p.Handle(start, RoutersRegistered{Self: self, Routers: list})
		wait := p.joinsAfter(start, a)
		require.Equal(t, p.withinPace(start, a), wait == 0)
		if wait == 0 {
			continue
		}
		require.False(t, p.withinPace(start.Add(wait-5*time.Millisecond), a))
		r := Request{ID: self, Service: pacedService, OutputTokens: 1, Deadline: start.Add(wait / 2)}
		refused := p.Handle(start, Submitted{r})[0].(Refuse)
		require.Equal(t, max(wait, time.Second).Round(time.Millisecond), refused.RetryAfter.Round(time.Millisecond))
		require.True(t, p.withinPace(start.Add(wait+time.Millisecond), a))
		a.beginPace(start)
	}
}

// TestPaceEnds guards against an endpoint that is paced for ever, and against pacing that ends soon after a slow answer.
func TestPaceEnds(t *testing.T) {
	p, a := pacedPool(t, 4, 3)
	require.True(t, p.isPaced(start.Add(paceQuiet-1), a))
	require.False(t, p.isPaced(start.Add(paceQuiet), a), "no slow answer or rejection")
	a.pace.reducedAt = start.Add(time.Second)
	require.True(t, p.isPaced(start.Add(paceQuiet), a))
	a.pace.window = 4
	require.False(t, p.isPaced(start.Add(time.Second), a), "the window has reached the slots")
	p, a = pacedPool(t, 4, 71)
	require.True(t, p.isPaced(start.Add(paceQuiet), a), "not all routers may send yet")
	require.Contains(t, p.Handle(start, Tick{}), PaceChanged{Endpoint: "a", Paced: true, Window: 1})
	require.True(t, p.Views(start)[0].Paced)
	end := start.Add(time.Minute)
	require.Contains(t, p.Handle(end, Tick{}), PaceChanged{Endpoint: "a", Window: 1, For: time.Minute})
	require.Empty(t, p.Handle(end, Tick{}))
}

// TestPaceBeginsWhenAnEndpointReturns guards against full load after a rest, an ejection, a silence or a cold time, and against a
// rush of the routers whose connections an endpoint refused before it started again.
func TestPaceBeginsWhenAnEndpointReturns(t *testing.T) {
	now := start.Add(time.Minute)
	for name, c := range map[string]struct {
		failure []Event
		began   time.Duration
		joined  bool
	}{
		"rest":       {[]Event{RestRequested{"a", time.Second}}, time.Second, false},
		"death":      {[]Event{Ended{ID: "1", Outcome: Died}}, DefaultBaseEjectionTime, false},
		"refused":    {[]Event{Ended{ID: "1", Outcome: Rejected}}, DefaultBaseEjectionTime, false},
		"rejected":   {[]Event{Answered{"1"}, Ended{ID: "1", Outcome: Rejected}}, DefaultBaseEjectionTime, true},
		"silence":    {[]Event{MoveRequested{"1"}, Responded{"1"}}, 0, false},
		"cold again": {[]Event{ColdReported{"a", 3 * time.Second}}, 3 * time.Second, false},
	} {
		p, a := pacedPool(t, 12, 71)
		a.ColdRate = 8.8
		p.Handle(now, Tick{})
		require.False(t, p.isPaced(now, a))
		require.Equal(t, 1, sendPaced(p, now, "1"), name)
		for _, ev := range c.failure {
			p.Handle(now, ev)
		}
		require.True(t, a.pace.active, name)
		require.Equal(t, now.Add(c.began), a.pace.beganAt, name)
		require.Equal(t, c.joined, a.pace.joined, name)
	}
}

// TestOtherEndpointsAreNotPaced guards against changed treatment of endpoints in deployments that do not call for the pace.
func TestOtherEndpointsAreNotPaced(t *testing.T) {
	p := &Pool{}
	p.Handle(start, Configured{[]Endpoint{{Name: "b", Serves: []string{"m"}, Slots: 4}}})
	p.Handle(start, LoadReported{"b", Load{Running: 1}})
	p.Handle(start, Configured{[]Endpoint{{Name: "a", Serves: []string{"m"}, Slots: 4}}})
	require.Equal(t, 3, sendPaced(p, start, "1", "2", "3"))
	p.Handle(start, Ended{ID: "1", Outcome: Died})
	p.Handle(start, Ended{ID: "2", Outcome: Incomplete})
	p.Handle(start, Ended{ID: "3", Outcome: Incomplete})
	now := start.Add(2 * time.Second)
	require.Equal(t, 1, sendPaced(p, now, "4", "5"), "one at a time after a death")
	require.False(t, p.backends["a"].pace.active)
	require.False(t, p.backends["a"].isCold(now))
}

// TestColdBoundTakesPrecedenceOverThePace guards against a pace that keeps the senders of a cold endpoint from sending.
func TestColdBoundTakesPrecedenceOverThePace(t *testing.T) {
	p, a := pacedPool(t, 2, 71)
	a.ColdRate = coldRate
	a.ColdFor = coldTime
	list := p.registered.names
	senders := 0
	p.Handle(start, ColdReported{"a", coldTime})
	for _, self := range list {
		p.Handle(start, RoutersRegistered{Self: self, Routers: list})
		if _, ok := p.coldReadyAt(a); ok {
			senders++
			require.True(t, p.withinPace(start.Add(coldTime/2), a))
		}
	}
	require.Greater(t, senders, a.pacedRouters(start))
}

// BenchmarkDispatch measures one request of a pool with 140 endpoints and 87 registered routers.
func BenchmarkDispatch(b *testing.B) {
	for _, coldRate := range []float64{0, 8.8} {
		b.Run(fmt.Sprintf("ColdRate=%g", coldRate), func(b *testing.B) {
			p := &Pool{}
			var routers []string
			for n := range 87 {
				routers = append(routers, fmt.Sprintf("vm-%03d", n))
			}
			p.Handle(start, RoutersRegistered{Self: "vm-003", Routers: routers})
			var list []Endpoint
			for n := range 140 {
				list = append(list, Endpoint{Name: fmt.Sprintf("e-%03d", n), Serves: []string{"m"}, Slots: 12, ColdRate: coldRate, ColdFor: time.Second})
			}
			p.Handle(start, Configured{list[:100]})
			p.Handle(start, Configured{list})
			now := start.Add(1500 * time.Millisecond)
			for n := range b.N {
				id := fmt.Sprint(n)
				p.Handle(now, Submitted{Request{ID: id, Service: "m", OutputTokens: 1, Deadline: now.Add(time.Minute)}})
				p.Handle(now, Withdrawn{id})
			}
		})
	}
}
