package reach

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cutKind says what happens to the connections of the router.
type cutKind string

const (
	none      cutKind = "none"
	reset     cutKind = "reset"     // Open connections are reset, new ones refused.
	hanging   cutKind = "hanging"   // Nothing arrives any more.
	staggered cutKind = "staggered" // Likewise, one endpoint every 5 ms.
	closed    cutKind = "closed"    // Open connections live on, new ones are refused.
)

const (
	answerTime = 80 * time.Millisecond // Of an endpoint that answers.
	roundTrip  = time.Millisecond
	tickPeriod = 100 * time.Millisecond
	retries    = 2
)

// world is a router with its endpoints in virtual time.
type world struct {
	t       *testing.T
	monitor Monitor
	random  *rand.Rand
	now     time.Time
	queue   scheduled
	jobs    int
	n       int
	dead    map[int]bool
	cut     cutKind
	pace    time.Duration // Mean time between two requests; zero for none.
	idle    map[int]int   // Idle connections.
	active  map[int]map[*attempt]bool
	lostAt  time.Time
	probes  int
	changes int
	onLost  func()
}

type attempt struct {
	endpoint int
	retries  int
}

type job struct {
	at  time.Time
	seq int
	run func()
}

type scheduled []job

func (s scheduled) Len() int { return len(s) }
func (s scheduled) Less(i, j int) bool {
	return s[i].at.Before(s[j].at) || s[i].at.Equal(s[j].at) && s[i].seq < s[j].seq
}
func (s scheduled) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *scheduled) Push(x any)   { *s = append(*s, x.(job)) }
func (s *scheduled) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

func newWorld(t *testing.T, n int, pace time.Duration, seed uint64) *world {
	w := &world{
		t: t, n: n, cut: none, pace: pace, now: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC), random: rand.New(rand.NewPCG(seed, 1)),
		monitor: Monitor{Seed: seed}, dead: map[int]bool{}, idle: map[int]int{}, active: map[int]map[*attempt]bool{},
	}
	var names []string
	for i := range n {
		names = append(names, w.name(i))
	}
	w.handle(Configured{names})
	w.after(tickPeriod, w.tick)
	if pace > 0 {
		w.after(0, w.request)
	}
	return w
}

func (w *world) name(i int) string { return fmt.Sprintf("e-%03d", i) }

func (w *world) index(name string) int {
	var i int
	_, err := fmt.Sscanf(name, "e-%d", &i)
	require.NoError(w.t, err)
	return i
}

func (w *world) after(d time.Duration, f func()) {
	w.jobs++
	heap.Push(&w.queue, job{w.now.Add(d), w.jobs, f})
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(job)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// runUntil runs until done or for d, and returns the time that it took.
func (w *world) runUntil(d time.Duration, done func() bool) time.Duration {
	began := w.now
	for w.now.Sub(began) < d && !done() {
		w.run(10 * time.Millisecond)
	}
	return w.now.Sub(began)
}

func (w *world) tick() {
	w.handle(Tick{})
	w.after(tickPeriod, w.tick)
}

func (w *world) handle(ev Event) {
	for _, action := range w.monitor.Handle(w.now, ev) {
		switch action := action.(type) {
		case Probe:
			w.probe(action)
		case Lost:
			w.changes++
			w.lostAt = w.now
			require.GreaterOrEqual(w.t, len(action.Evidence), min(2, w.n))
			if w.onLost != nil {
				w.onLost()
			}
		case Restored:
			w.changes++
		}
	}
}

// connect returns whether a connection to an endpoint can be opened, and when this is known.
func (w *world) connect(i int, timeout time.Duration) (opened bool, took time.Duration) {
	switch {
	case w.cut == hanging:
		return false, timeout
	case w.cut != none, w.dead[i]:
		return false, roundTrip
	}
	return true, roundTrip
}

func (w *world) probe(p Probe) {
	w.probes++
	opened, took := w.connect(w.index(p.Endpoint), ProbeTimeout)
	result := Failed
	if opened {
		result = Opened
	}
	w.after(took, func() { w.handle(Probed{p.Endpoint, p.Round, result}) })
}

func (w *world) request() {
	w.attempt(retries)
	w.after(time.Duration((0.5+w.random.Float64())*float64(w.pace)), w.request)
}

func (w *world) attempt(left int) {
	i := w.random.IntN(w.n)
	w.handle(Sent{w.name(i)})
	if w.idle[i] > 0 {
		w.idle[i]--
		w.exchange(i, left)
		return
	}
	const dialTimeout = 800 * time.Millisecond
	opened, took := w.connect(i, dialTimeout)
	w.after(took, func() {
		if !opened {
			w.handle(ConnectFailed{w.name(i)})
			w.fail(i, left)
			return
		}
		w.handle(Connected{w.name(i)})
		w.exchange(i, left)
	})
}

// exchange sends a request on an open connection.
func (w *world) exchange(i, left int) {
	a := &attempt{i, left}
	if w.active[i] == nil {
		w.active[i] = map[*attempt]bool{}
	}
	w.active[i][a] = true
	w.after(time.Duration((0.5+w.random.Float64())*float64(answerTime)), func() {
		if !w.active[i][a] || w.dead[i] || w.cut == hanging {
			return
		}
		delete(w.active[i], a)
		w.handle(Received{w.name(i)})
		w.handle(Ended{w.name(i)})
		w.idle[i]++
	})
	w.after(2*time.Second, func() { // The deadline.
		if w.active[i][a] {
			delete(w.active[i], a)
			w.handle(Ended{w.name(i)})
		}
	})
}

func (w *world) fail(i, left int) {
	w.handle(Ended{w.name(i)})
	if left > 0 {
		w.attempt(left - 1)
	}
}

// breakAll breaks the open connections to an endpoint.
func (w *world) breakAll(i int) {
	w.idle[i] = 0
	for a := range w.active[i] {
		delete(w.active[i], a)
		w.handle(Broke{w.name(i)})
		w.after(BreakSettleTime, func() { w.handle(Judge{}) })
		w.after(BreakSettleTime+roundTrip, func() { w.fail(i, a.retries) })
	}
}

func (w *world) kill(i int) {
	w.dead[i] = true
	w.breakAll(i)
}

func (w *world) setCut(kind cutKind) {
	w.cut = kind
	switch kind {
	case reset:
		for i := range w.n {
			w.breakAll(i)
		}
	case staggered:
		w.cut = none
		for i := range w.n {
			w.kill(i)
			w.run(5 * time.Millisecond)
		}
	}
}

func (w *world) lost() bool { return w.monitor.Lost() }

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
					w.run(5 * time.Second)
					require.Zero(t, w.changes, what)
					w.setCut(kind)
					took := w.runUntil(5*time.Second, w.lost)
					if kind != closed { // A router with idle connections finds out when it needs a new one.
						require.LessOrEqual(t, took, 1500*time.Millisecond, what)
					}
					require.True(t, w.lost(), what)
					w.run(3 * time.Second)
					require.Equal(t, 1, w.changes, what)
					w.setCut(none)
					took = w.runUntil(5*time.Second, func() bool { return !w.lost() })
					require.LessOrEqual(t, took, time.Second, what)
					w.run(3 * time.Second)
					require.Equal(t, 2, w.changes, what)
				}
			}
		}
	}
}

// idleLimit closes all idle connections every 200 ms.
func (w *world) idleLimit() {
	clear(w.idle)
	w.after(200*time.Millisecond, w.idleLimit)
}

func TestDeathsAreNoCut(t *testing.T) {
	for _, test := range []struct{ n, dead int }{{2, 1}, {3, 1}, {3, 2}, {10, 1}, {10, 3}, {256, 1}, {256, 64}} {
		for _, pace := range []time.Duration{200 * time.Millisecond, 20 * time.Millisecond} {
			for seed := range uint64(8) {
				w := newWorld(t, test.n, pace, seed)
				w.run(5 * time.Second)
				for i := range test.dead {
					w.kill(i)
					w.run(time.Duration(w.random.Int64N(int64(50 * time.Millisecond))))
				}
				w.run(10 * time.Second)
				require.Zero(t, w.changes, "%d of %d endpoints dead, a request each %v, seed %d", test.dead, test.n, pace, seed)
			}
		}
	}
}

func TestNoProbesWhileAttemptsSucceed(t *testing.T) {
	for _, n := range []int{1, 3, 256} {
		w := newWorld(t, n, 20*time.Millisecond, 1)
		w.run(time.Minute)
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
	w.run(10 * time.Second)
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
		w.after(BreakSettleTime, func() { w.handle(Judge{}) })
		w.run(time.Millisecond)
	}
	w.run(time.Second)
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
			w.run(time.Second)
			w.handle(Received{w.name(0)})
		}
		w.run(5 * time.Second)
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
		w.run(BreakSettleTime + ProbeTimeout)
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
		unreachableAt := w.now.Add(-time.Hour) // When no connection could be opened last.
		w.onLost = func() {
			require.LessOrEqual(t, w.now.Sub(unreachableAt), ProbeTimeout+20*time.Millisecond, "seed %d: lost although endpoints were reachable", seed)
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
	began := w.now
	for w.now.Sub(began) < d {
		if !reachable() {
			*unreachableAt = w.now
		}
		w.run(10 * time.Millisecond)
		switch since := w.now.Sub(began); {
		case !reachable() && since > detection:
			require.True(w.t, w.lost(), "seed %d: %s, %d of %d dead, not lost after %v", seed, w.cut, len(w.dead), w.n, since)
		case reachable() && since > recovery && len(w.dead) == 0:
			require.False(w.t, w.lost(), "seed %d: lost after %v of %d endpoints that all answer", seed, since, w.n)
		}
	}
}
