package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_800_000_000, 0)

const step = 50 * time.Millisecond

// script feeds a controller with observations each step.
type script struct {
	t   *testing.T
	c   Controller
	now time.Time
	o   Observed // What is observed.
}

// newScript returns a script of the smallest router of five, which others reach.
func newScript(t *testing.T) *script {
	t.Helper()
	s := &script{t: t, c: Controller{VM: "vm-5"}, now: start}
	s.o = Observed{LinkExcess: 1, Configured: true, Routers: []Router{{"vm-1", 100, false}, {"vm-2", 50, false}, {"vm-3", 50, false}, {"vm-4", 25, false}, {"vm-5", 20, false}}}
	return s
}

// run observes for a time, with probes from other routers, and returns the actions and when the first one came.
func (s *script) run(d time.Duration) (actions []Action, after time.Duration) {
	s.t.Helper()
	began := s.now
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(step) {
		s.c.Handle(s.now, ProbeReceived{})
		for _, action := range s.c.Handle(s.now, s.o) {
			if len(actions) == 0 {
				after = s.now.Sub(began)
			}
			actions = append(actions, action)
			if _, ok := action.(Open); ok {
				s.c.Handle(s.now, Opened{})
			}
		}
	}
	return actions, after
}

// TestOverloadedRouterClosesAndOpensAgain guards against a router that keeps its callers, that closes for a short pause, and that
// is not ready for more than an eighth of the time.
func TestOverloadedRouterClosesAndOpensAgain(t *testing.T) {
	s := newScript(t)
	s.run(OverloadTime - step)
	require.False(t, s.c.Closed())
	s.o.LinkExcess = 0.4
	actions, _ := s.run(step)
	require.Empty(t, actions)
	s.o.LinkExcess = 0.5
	actions, after := s.run(OverloadTime + step)
	require.Equal(t, []Action{Close{OverloadedFor: OverloadTime, Routers: 5, Capacity: 245, ClosedCapacity: 20}}, actions)
	require.Equal(t, OverloadTime, after)
	actions, after = s.run(MaxClosed + step)
	require.Equal(t, Open{MaxClosedReached, MaxClosed, 1}, actions[0])
	require.Equal(t, MaxClosed-step, after)
	require.Equal(t, []Action{KeepOpen{KeptClosedBefore}}, actions[1:], "reported once")
	actions, after = s.run(OpenFactor * MaxClosed)
	require.Len(t, actions, 1)
	require.IsType(t, Close{}, actions[0])
	require.Equal(t, OpenFactor*MaxClosed-2*step, after)
}

// TestRouterOpensWhenItsCallersHaveMoved guards against callers that return before they have moved, and against a router that stays
// closed without need.
func TestRouterOpensWhenItsCallersHaveMoved(t *testing.T) {
	s := newScript(t)
	s.o.LinkExcess = 0
	s.o.ProcessorLate = true
	s.run(OverloadTime + step)
	require.True(t, s.c.Closed())
	s.o.ProcessorLate = false
	actions, _ := s.run(5 * step)
	require.Empty(t, actions)
	actions, _ = s.run(MinClosed)
	require.Equal(t, []Action{Open{NoLongerOverloaded, MinClosed, 1}}, actions)
	require.False(t, s.c.Closed())
	require.True(t, s.c.Loaded(s.now), "callers return gradually")
	s.run(ReturnTime)
	require.False(t, s.c.Loaded(s.now))
	s.o.ProcessorLate = true
	actions, _ = s.run(OpenFactor*MinClosed - ReturnTime - MinClosed)
	require.Equal(t, []Action{KeepOpen{KeptClosedBefore}}, actions)
}

// TestRouterStaysOpen guards against closings that take callers their only or best router.
func TestRouterStaysOpen(t *testing.T) {
	for reason, change := range map[KeepReason]func(s *script){
		KeptDraining:      func(s *script) { s.o.Draining = true },
		KeptNotConfigured: func(s *script) { s.o.Configured = false },
		KeptFewRouters:    func(s *script) { s.o.Routers = s.o.Routers[3:] },
		KeptLargest:       func(s *script) { s.c.VM = "vm-1" },
		KeptClosedShare:   func(s *script) { s.o.Routers[2].Closed = true },
	} {
		s := newScript(t)
		change(s)
		actions, after := s.run(time.Minute)
		require.Equal(t, []Action{KeepOpen{reason}}, actions)
		require.Equal(t, OverloadTime, after)
	}
	s := newScript(t)
	s.c.VM = "vm-3"
	s.run(OverloadTime + step)
	require.True(t, s.c.Closed())
	require.False(t, (&Controller{}).Closed(), "the controller of a process that has just started")
}

// TestOneOfEqualRoutersStaysOpen guards against routers of equal size that all take themselves, or none, for the largest.
func TestOneOfEqualRoutersStaysOpen(t *testing.T) {
	equal := []Router{{"vm-1", 50, false}, {"vm-2", 50, false}, {"vm-3", 50, false}, {"vm-4", 50, false}}
	var closed []string
	for _, r := range equal {
		s := newScript(t)
		s.c.VM = r.VM
		s.o.Routers = equal
		s.run(OverloadTime + step)
		if s.c.Closed() {
			closed = append(closed, r.VM)
		}
	}
	require.Equal(t, []string{"vm-2", "vm-3", "vm-4"}, closed)
}

// TestRouterThatNoPeerReachesStaysOpen guards against a router that is cut off and may be the only one that its callers reach.
func TestRouterThatNoPeerReachesStaysOpen(t *testing.T) {
	for _, probed := range []bool{false, true} {
		s := newScript(t)
		if probed {
			s.c.Handle(start.Add(-ProbeWindow), ProbeReceived{})
		}
		s.c.Handle(start, s.o)
		require.Equal(t, []Action{KeepOpen{KeptNotReached}}, s.c.Handle(start.Add(OverloadTime), s.o))
		s.c.Handle(start.Add(time.Second), ProbeReceived{})
		require.IsType(t, Close{}, s.c.Handle(start.Add(time.Second), s.o)[0])
	}
}

// TestListenerThatCannotBeOpenedIsTriedAgain guards against a router that stays closed, or is taken for open, when its address is
// in use.
func TestListenerThatCannotBeOpenedIsTriedAgain(t *testing.T) {
	s := newScript(t)
	s.run(OverloadTime + step)
	s.now = s.c.closedAt.Add(MaxClosed)
	for attempt := 1; attempt <= 3; attempt++ {
		want := Open{MaxClosedReached, s.now.Sub(s.c.closedAt), attempt}
		require.Equal(t, []Action{want}, s.c.Handle(s.now, s.o))
		require.True(t, s.c.Closed())
		s.now = s.now.Add(step)
	}
	s.c.Handle(s.now, Opened{})
	require.False(t, s.c.Closed())
	s.c.Handle(s.now.Add(step), Opened{})
	require.Equal(t, s.now, s.c.openedAt, "a report that is not due changes nothing")
}

// TestDrainOpensAListener guards against callers with a cached address that find no listener while the router stops.
func TestDrainOpensAListener(t *testing.T) {
	s := newScript(t)
	s.run(OverloadTime + step)
	require.True(t, s.c.Closed())
	s.o.Draining = true
	actions, after := s.run(time.Minute)
	require.Equal(t, Open{DrainRequested, step, 1}, actions[0])
	require.Zero(t, after)
	require.False(t, s.c.Closed())
}
