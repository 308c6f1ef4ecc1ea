package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	requestBytes = 6000.0
	tellTime     = 300 * time.Millisecond // Until others know that a router has closed or opened.
)

// router is a modelled router: what it refuses follows internal/gateway/overload.go.
type router struct {
	Controller
	size, link float64 // Requests and bytes per second.
	byteRate   float64
	told       bool // Closed, as others know.
	toldAt     time.Time
	openFor    time.Duration // Since it was last opened.
	closedFor  time.Duration // In its current or last closing.
	closedAll  time.Duration
}

func (r *router) excess() float64 { return min(1, max(0, (r.byteRate/r.link-0.65)/0.2)) }

// dataCentreModel replays callers that stay with a router until its address refuses connections, and then ask the directory.
type dataCentreModel struct {
	t       *testing.T
	now     time.Time
	routers []*router
	callers []int // Router of each caller.
	rate    float64
	closes  bool // Routers may close.
	random  *rand.Rand

	sent, served float64
}

func newModel(t *testing.T, large, medium, small int) *dataCentreModel {
	t.Helper()
	m := &dataCentreModel{t: t, now: start, closes: true, random: rand.New(rand.NewPCG(1, 2))}
	add := func(n int, size, megabits float64) {
		for range n {
			r := &router{Controller: Controller{VM: fmt.Sprintf("vm-%02d", len(m.routers))}, size: size, link: megabits * 1e6 / 8, openFor: time.Hour}
			m.routers = append(m.routers, r)
		}
	}
	add(large, 280, 200)
	add(medium, 125, 25)
	add(small, 50, 10)
	return m
}

// pick returns a router as the directory lists it.
func (m *dataCentreModel) pick() int {
	best, rank := 0, math.Inf(1)
	for i, r := range m.routers {
		weight := r.size
		if r.Loaded(m.now) || r.excess() >= MinLinkExcess {
			weight *= 0.01
		}
		if r.told {
			continue
		}
		if x := m.random.ExpFloat64() / weight; x < rank {
			best, rank = i, x
		}
	}
	return best
}

func (m *dataCentreModel) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(step) {
		m.send()
		routers := m.view()
		for _, r := range m.routers {
			r.byteRate *= math.Exp(-step.Seconds())
			r.Handle(m.now, ProbeReceived{})
			m.observe(r, routers)
		}
		m.check()
	}
}

// send lets each caller send at its rate. A caller whose connection is refused moves and sends a second later.
func (m *dataCentreModel) send() {
	for i, at := range m.callers {
		if m.random.Float64() >= m.rate*step.Seconds() {
			continue
		}
		r := m.routers[at]
		m.sent++
		if r.Closed() {
			m.callers[i] = m.pick()
			continue
		}
		m.served += 1 - r.excess()
		r.byteRate += requestBytes
	}
}

func (m *dataCentreModel) view() []Router {
	var routers []Router
	for _, r := range m.routers {
		routers = append(routers, Router{VM: r.VM, Size: r.size, Closed: r.told})
	}
	return routers
}

func (m *dataCentreModel) observe(r *router, routers []Router) {
	if !m.closes {
		return
	}
	for _, action := range r.Handle(m.now, Observed{LinkExcess: r.excess(), Configured: true, Routers: routers}) {
		switch action.(type) {
		case Close:
			require.GreaterOrEqual(m.t, r.openFor, OpenFactor*r.closedFor, "%s is closed more than an eighth of the time", r.VM)
			r.closedFor = 0
		case Open:
			r.Handle(m.now, Opened{})
			r.openFor = 0
		}
	}
	if r.Closed() {
		r.closedFor += step
		r.closedAll += step
		require.LessOrEqual(m.t, r.closedFor, MaxClosed)
	} else {
		r.openFor += step
	}
	if r.told == r.Closed() {
		r.toldAt = m.now
	} else if m.now.Sub(r.toldAt) >= tellTime {
		r.told = r.Closed()
	}
}

// check requires that half of the capacity accepts connections, and all of the largest routers.
func (m *dataCentreModel) check() {
	var total, open float64
	for _, r := range m.routers {
		total += r.size
		if !r.Closed() {
			open += r.size
		}
	}
	require.GreaterOrEqual(m.t, open, total/2)
}

// share returns the served share of the requests since the last call.
func (m *dataCentreModel) share() float64 {
	share := m.served / m.sent
	m.sent, m.served = 0, 0
	return share
}

// at returns n callers at a router.
func at(router, n int) []int {
	callers := make([]int, n)
	for i := range callers {
		callers[i] = router
	}
	return callers
}

// TestCallersMoveFromAFullLink replays 400 requests a second at a router with 10 Mbit/s, which refused nearly all of them until the
// end of the day while 60 routers had little to do.
func TestCallersMoveFromAFullLink(t *testing.T) {
	for _, closes := range []bool{false, true} {
		m := newModel(t, 2, 6, 16)
		m.closes = closes
		m.callers = at(23, 80)
		m.rate = 5
		m.run(5 * time.Second)
		first := m.share()
		m.run(time.Minute)
		share := m.share()
		t.Logf("closes %v: %.3f served in the first 5 s, then %.3f", closes, first, share)
		if closes {
			require.Greater(t, share, 0.99)
			continue
		}
		require.Less(t, share, 0.1, "the load that is replayed")
	}
}

// TestAllCallersLookForARouterAtOnce replays the callers of a whole data centre that choose at random and so overload its small
// routers; guards against routers that close all at once, or too often, or that drive their callers in circles.
func TestAllCallersLookForARouterAtOnce(t *testing.T) {
	const duration = 2 * time.Minute
	shares := map[bool]float64{}
	for _, closes := range []bool{false, true} {
		m := newModel(t, 2, 6, 16)
		m.closes = closes
		m.rate = 8
		for range 480 {
			m.callers = append(m.callers, m.random.IntN(len(m.routers)))
		}
		m.run(duration)
		shares[closes] = m.share()
		var longest time.Duration
		for i, r := range m.routers {
			longest = max(longest, r.closedAll)
			require.LessOrEqual(t, r.closedAll, duration/8+MaxClosed)
			if i < 2 {
				require.Zero(t, r.closedAll, "%s is one of the largest, which have a quarter of the capacity", r.VM)
			}
		}
		t.Logf("closes %v: %.3f served, longest closed in all %v", closes, shares[closes], longest)
	}
	require.Greater(t, shares[true], shares[false])
}

// TestTwoFullRouters guards against two overloaded routers of which each waits for the other, or that send their callers to each
// other.
func TestTwoFullRouters(t *testing.T) {
	m := newModel(t, 0, 0, 8)
	m.callers = append(at(6, 60), at(7, 60)...)
	m.rate = 5
	m.run(1500 * time.Millisecond) // The measured rate rises within a second.
	require.True(t, m.routers[6].Closed())
	require.True(t, m.routers[7].Closed())
	m.run(30 * time.Second)
	m.share()
	m.run(time.Minute)
	require.Greater(t, m.share(), 0.99)

	m = newModel(t, 0, 0, 2)
	m.callers = append(at(0, 60), at(1, 60)...)
	m.rate = 5
	m.run(time.Minute)
	require.Zero(t, m.routers[0].closedAll+m.routers[1].closedAll, "two routers of a data centre never close")
}
