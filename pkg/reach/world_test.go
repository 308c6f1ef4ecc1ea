package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/internal/proof"
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
	proof.VirtualTime

	t       *testing.T
	monitor Monitor
	random  *rand.Rand
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

func newWorld(t *testing.T, n int, pace time.Duration, seed uint64) *world {
	w := &world{
		t: t, n: n, cut: none, pace: pace, VirtualTime: proof.VirtualTime{Now: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)}, random: rand.New(rand.NewPCG(seed, 1)),
		monitor: Monitor{Seed: seed}, dead: map[int]bool{}, idle: map[int]int{}, active: map[int]map[*attempt]bool{},
	}
	var names []string
	for i := range n {
		names = append(names, w.name(i))
	}
	w.handle(Configured{names})
	w.After(tickPeriod, w.tick)
	if pace > 0 {
		w.After(0, w.request)
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

// runUntil runs until done or for d, and returns the time that it took.
func (w *world) runUntil(d time.Duration, done func() bool) time.Duration {
	began := w.Now
	for w.Now.Sub(began) < d && !done() {
		w.Run(10 * time.Millisecond)
	}
	return w.Now.Sub(began)
}

func (w *world) tick() {
	w.handle(Tick{})
	w.After(tickPeriod, w.tick)
}

func (w *world) handle(ev Event) {
	for _, action := range w.monitor.Handle(w.Now, ev) {
		switch action := action.(type) {
		case Probe:
			w.probe(action)
		case Lost:
			w.changes++
			w.lostAt = w.Now
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
	w.After(took, func() { w.handle(Probed{p.Endpoint, p.Round, result}) })
}

func (w *world) request() {
	w.attempt(retries)
	w.After(time.Duration((0.5+w.random.Float64())*float64(w.pace)), w.request)
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
	w.After(took, func() {
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
	w.After(time.Duration((0.5+w.random.Float64())*float64(answerTime)), func() {
		if !w.active[i][a] || w.dead[i] || w.cut == hanging {
			return
		}
		delete(w.active[i], a)
		w.handle(Received{w.name(i)})
		w.handle(Ended{w.name(i)})
		w.idle[i]++
	})
	w.After(2*time.Second, func() { // The deadline.
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
		w.After(BreakSettleTime, func() { w.handle(Judge{}) })
		w.After(BreakSettleTime+roundTrip, func() { w.fail(i, a.retries) })
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
			w.Run(5 * time.Millisecond)
		}
	}
}

func (w *world) lost() bool { return w.monitor.Lost() }

// idleLimit closes all idle connections every 200 ms.
func (w *world) idleLimit() {
	clear(w.idle)
	w.After(200*time.Millisecond, w.idleLimit)
}
