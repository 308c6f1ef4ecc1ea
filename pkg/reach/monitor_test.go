package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCutIsFoundAndItsEnd(t *testing.T) {
	for _, kind := range []cutKind{reset, hanging, closed} {
		for _, n := range []int{1, 2, 3, 10, 256} {
			for _, pace := range []time.Duration{200 * time.Millisecond, 20 * time.Millisecond} {
				for seed := range uint64(8) {
					what := fmt.Sprintf("%s, %d endpoints, a request each %v, seed %d", kind, n, pace, seed)
					w := newWorld(t, n, pace, seed)
					if kind == closed && n < 256 {
						w.idleLimit()
					}
					w.Run(5 * time.Second)
					require.Zero(t, w.changes, what)
					w.setCut(kind)
					took := w.runUntil(5*time.Second, w.lost)
					if kind != closed { // A router with idle connections finds out when it needs a new one.
						require.LessOrEqual(t, took, 1500*time.Millisecond, what)
					}
					require.True(t, w.lost(), what)
					w.Run(3 * time.Second)
					require.Equal(t, 1, w.changes, what)
					w.setCut(none)
					took = w.runUntil(5*time.Second, func() bool { return !w.lost() })
					require.LessOrEqual(t, took, time.Second, what)
					w.Run(3 * time.Second)
					require.Equal(t, 2, w.changes, what)
				}
			}
		}
	}
}

func TestDeathsAreNoCut(t *testing.T) {
	for _, test := range []struct{ n, dead int }{{2, 1}, {3, 1}, {3, 2}, {10, 1}, {10, 3}, {256, 1}, {256, 64}} {
		for _, pace := range []time.Duration{200 * time.Millisecond, 20 * time.Millisecond} {
			for seed := range uint64(8) {
				w := newWorld(t, test.n, pace, seed)
				w.Run(5 * time.Second)
				for i := range test.dead {
					w.kill(i)
					w.Run(time.Duration(w.random.Int64N(int64(50 * time.Millisecond))))
				}
				w.Run(10 * time.Second)
				require.Zero(t, w.changes, "%d of %d endpoints dead, a request each %v, seed %d", test.dead, test.n, pace, seed)
			}
		}
	}
}

func TestNoProbesWhileAttemptsSucceed(t *testing.T) {
	for _, n := range []int{1, 3, 256} {
		w := newWorld(t, n, 20*time.Millisecond, 1)
		w.Run(time.Minute)
		require.Zero(t, w.probes, "%d endpoints", n)
	}
}

func TestProbesAreBoundedWhileEndpointsAreSlowOrDead(t *testing.T) {
	m := Monitor{}
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	m.Handle(now, Configured{[]string{"a", "b", "c"}})
	m.Handle(now, Sent{"a"})
	m.Handle(now, Sent{"b"})
	probes := 0
	for range 100 { // Ten seconds without an answer.
		now = now.Add(tickPeriod)
		for _, action := range m.Handle(now, Tick{}) {
			if probe, ok := action.(Probe); ok {
				probes++
				m.Handle(now, Probed{probe.Endpoint, probe.Round, Opened})
			}
		}
	}
	require.False(t, m.Lost())
	require.LessOrEqual(t, probes, 10*probesPerRound)

	w := newWorld(t, 10, 20*time.Millisecond, 1)
	for i := range 5 {
		w.kill(i)
	}
	w.Run(10 * time.Second)
	require.LessOrEqual(t, w.probes, 10*probesPerRound+5*probesPerRound)
}

func TestBreaksOfOneEndpointAreJudgedByOneRound(t *testing.T) {
	w := newWorld(t, 10, 0, 1)
	for range 20 {
		w.handle(Sent{w.name(0)})
	}
	w.dead[0] = true
	for range 20 {
		w.handle(Broke{w.name(0)})
		w.After(BreakSettleTime, func() { w.handle(Judge{}) })
		w.Run(time.Millisecond)
	}
	w.Run(time.Second)
	require.False(t, w.monitor.Cut())
	require.Equal(t, probesPerRound, w.probes)
}

func TestWhoIsToBlameForABreak(t *testing.T) {
	tests := []struct {
		name    string
		n       int
		dead    []int // Before.
		kill    []int // When connections to endpoint 0 break.
		cut     cutKind
		blamed  bool // The path is blamed for the break at endpoint 0.
		several bool
	}{
		{"one of several endpoints dies", 3, nil, []int{0}, none, false, false},
		{"the only endpoint dies", 1, nil, []int{0}, none, false, false},
		{"the router is cut", 3, nil, nil, reset, true, true},
		{"the router is cut from one endpoint after the other", 3, nil, nil, staggered, true, true},
		{"the router with two endpoints is cut", 2, nil, nil, reset, true, true},
		{"the last of two endpoints dies", 2, []int{1}, []int{0}, none, false, false},
		{"the last of three endpoints dies", 3, []int{1, 2}, []int{0}, none, false, false},
		{"two of three endpoints die at once", 3, nil, []int{1, 0}, none, false, true},
	}
	for _, test := range tests {
		w := newWorld(t, test.n, 0, 1)
		w.handle(Received{w.name(0)})
		for _, i := range test.dead {
			w.dead[i] = true
			w.handle(ConnectFailed{w.name(i)})
			w.Run(time.Second)
			w.handle(Received{w.name(0)})
		}
		w.Run(5 * time.Second)
		for i := range test.n {
			if !w.dead[i] {
				w.handle(Sent{w.name(i)})
				w.active[i] = map[*attempt]bool{{endpoint: i}: true}
			}
		}
		for _, i := range test.kill {
			w.kill(i)
		}
		w.setCut(test.cut)
		require.Equal(t, test.several, w.monitor.SeveralBroke(w.name(0)), test.name)
		w.Run(BreakSettleTime + ProbeTimeout)
		require.False(t, w.monitor.Judging(), test.name)
		require.Equal(t, test.blamed, w.monitor.Cut(), test.name)
	}
}

func TestInconclusiveProbesDecideNothing(t *testing.T) {
	m := Monitor{}
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	m.Handle(now, Configured{[]string{"a", "b", "c"}})
	m.Handle(now, Broke{"a"})
	round := m.Handle(now, Broke{"b"})
	require.NotEmpty(t, round)
	for _, action := range round {
		probe := action.(Probe)
		m.Handle(now, Probed{probe.Endpoint, probe.Round, Inconclusive})
	}
	require.False(t, m.Judging())
	require.False(t, m.Lost())
}

func TestSilenceOfOneEndpointIsNoReasonToProbe(t *testing.T) {
	m := Monitor{}
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	m.Handle(now, Configured{[]string{"a", "b", "c"}})
	m.Handle(now, Sent{"a"})
	for range 100 {
		now = now.Add(tickPeriod)
		require.Empty(t, m.Handle(now, Tick{}))
	}
}

// TestRandomWalk lets endpoints die and return and cuts begin and end, and compares with what is the case.
func TestRandomWalk(t *testing.T) {
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 2))
		n := []int{1, 2, 3, 8, 40}[random.IntN(5)]
		w := newWorld(t, n, time.Duration(20+random.IntN(180))*time.Millisecond, seed)
		w.idleLimit()
		unreachableAt := w.Now.Add(-time.Hour) // When no connection could be opened last.
		w.onLost = func() {
			require.LessOrEqual(t, w.Now.Sub(unreachableAt), ProbeTimeout+20*time.Millisecond, "seed %d: lost although endpoints were reachable", seed)
		}
		for range 40 {
			switch random.IntN(4) {
			case 0:
				w.setCut([]cutKind{reset, hanging, closed}[random.IntN(3)])
			case 1:
				w.setCut(none)
			case 2:
				w.kill(random.IntN(n))
			case 3:
				delete(w.dead, random.IntN(n))
			}
			w.walk(seed, time.Duration(random.IntN(4000))*time.Millisecond, &unreachableAt)
		}
	}
}

// walk runs for d and checks that the path is found lost or restored in time.
func (w *world) walk(seed uint64, d time.Duration, unreachableAt *time.Time) {
	const detection, recovery = 2 * time.Second, time.Second
	reachable := func() bool { return w.cut == none && len(w.dead) < w.n }
	began := w.Now
	for w.Now.Sub(began) < d {
		if !reachable() {
			*unreachableAt = w.Now
		}
		w.Run(10 * time.Millisecond)
		switch since := w.Now.Sub(began); {
		case !reachable() && since > detection:
			require.True(w.t, w.lost(), "seed %d: %s, %d of %d dead, not lost after %v", seed, w.cut, len(w.dead), w.n, since)
		case reachable() && since > recovery && len(w.dead) == 0:
			require.False(w.t, w.lost(), "seed %d: lost after %v of %d endpoints that all answer", seed, since, w.n)
		}
	}
}
