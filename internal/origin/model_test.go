package origin

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	modelStep      = 200 * time.Millisecond
	modelRetention = 30 * time.Second // For which a router knows of an endpoint that is gone.
	streamLife     = 30 * time.Second // From the begin of a stream until its last take-up.
)

// model is a store with the record of one service, its endpoints and some routers in virtual time.
type model struct {
	t      *testing.T
	random *rand.Rand
	now    time.Time
	store  recordStore
	late   []lateWrite

	readOnlyUntil time.Time // Until when the store refuses writes.

	servers map[string]*modelServer // By version.
	routers []*modelRouter
	streams []modelStream
	proved  int
	joins   int
}

// modelServer is the endpoint of a version, which may serve for a while after its entry is gone.
type modelServer struct {
	entry      bool
	aliveUntil time.Time // If the entry is gone.
}

// lateWrite is a write that the store executes later.
type lateWrite struct {
	Write

	at time.Time
}

// modelStream is a stream of which no home was told.
type modelStream struct {
	version string
	at      time.Time
}

type modelRouter struct {
	h           *History
	vouchedAt   time.Time
	seen        map[string]time.Time // When an endpoint of a version had an entry last.
	cutUntil    time.Time
	frozenUntil time.Time
}

func (m *model) restart(i int) {
	h := &History{Delay: 300 * time.Millisecond}
	m.routers[i] = &modelRouter{h: h, seen: map[string]time.Time{}}
}

func (m *model) chance(p float64) bool { return m.random.Float64() < p }

func (m *model) seconds(n int) time.Duration { return time.Duration(m.random.IntN(n)+1) * time.Second }

// step lets the world, then each router and then the callers do something.
func (m *model) step() {
	m.now = m.now.Add(modelStep)
	for _, s := range m.servers {
		if m.chance(0.004) {
			s.entry = !s.entry
			s.aliveUntil = m.now.Add(m.seconds(150))
		}
	}
	if m.chance(0.0003) {
		m.readOnlyUntil = m.now.Add(m.seconds(60))
	}
	var waiting []lateWrite
	for _, w := range m.late {
		if m.now.Before(w.at) {
			waiting = append(waiting, w)
			continue
		}
		m.execute(w.Write)
	}
	m.late = waiting
	for i := range m.routers {
		if m.chance(0.002) {
			m.restart(i)
		}
		r := m.routers[i]
		if m.chance(0.003) {
			r.cutUntil = m.now.Add(m.seconds(150))
		}
		if m.chance(0.002) {
			r.frozenUntil = m.now.Add(m.seconds(100))
		}
		if !m.now.Before(r.frozenUntil) {
			m.run(r, i == 0 || m.chance(0.1))
		}
	}
	m.takeUp()
}

func (m *model) execute(w Write) bool {
	if w.IfRevision != m.store.revision || m.now.Before(m.readOnlyUntil) {
		return false
	}
	m.store.revision++
	m.store.record = w.Record
	return true
}

// run lets a router read, write and begin streams.
func (m *model) run(r *modelRouter, home bool) {
	connected := !m.now.Before(r.cutUntil)
	if connected && m.chance(0.7) {
		m.read(r)
	}
	var list []EndpointVersion
	for version, at := range r.seen {
		present := at.Equal(r.vouchedAt)
		if present || m.now.Sub(at) < modelRetention {
			list = append(list, EndpointVersion{Service: "s", Version: version, Present: present, Usable: present})
		}
	}
	r.h.Observe(m.now, list)
	for _, w := range r.h.Due(m.now, func(string) bool { return home }) {
		switch {
		case !connected:
		case m.chance(0.2):
			m.late = append(m.late, lateWrite{w, m.now.Add(m.seconds(5))})
		case m.execute(w):
			r.h.Adopt(m.now, "s", m.store.revision, m.store.record)
		}
	}
	for _, e := range list {
		s := m.servers[e.Version]
		serves := s.entry || m.now.Before(s.aliveUntil)
		if e.Usable && serves && !r.h.Unrecorded(m.now, "s", e.Version) && !r.h.MustTell(m.now.Sub(r.vouchedAt), "s") {
			m.streams = append(m.streams, modelStream{e.Version, m.now})
		}
	}
}

// read brings a router's copies up to date.
func (m *model) read(r *modelRouter) {
	var services []string
	if m.store.revision != 0 {
		services = []string{"s"}
		r.h.Adopt(m.now, "s", m.store.revision, m.store.record)
	}
	r.h.Synced(m.now, services)
	for version, s := range m.servers {
		if s.entry {
			r.seen[version] = m.now
		}
	}
	r.vouchedAt = m.now
}

// takeUp takes up each stream that may still be, at a router that reads the record.
func (m *model) takeUp() {
	r := m.routers[m.random.IntN(len(m.routers))]
	if m.now.Before(r.cutUntil) || m.now.Before(r.frozenUntil) {
		return
	}
	if m.store.revision != 0 {
		r.h.Adopt(m.now, "s", m.store.revision, m.store.record)
	}
	version, proved := Evidence{Fresh: true, Own: r.h.View("s")}.Version()
	var young []modelStream
	for _, s := range m.streams {
		if m.now.Sub(s.at) > streamLife {
			continue
		}
		young = append(young, s)
		if proved {
			m.proved++
		}
		if proved && s.version != version {
			m.joins++
		}
	}
	m.streams = young
}

// TestNoProvedVersionIsWrong lets endpoints of three versions come and go, and routers lag, sleep, restart and write late. A
// stream of which no home was told never goes on at another version than its own.
func TestNoProvedVersionIsWrong(t *testing.T) {
	proved := 0
	for seed := range uint64(150) {
		m := &model{t: t, random: rand.New(rand.NewPCG(seed, seed)), now: start, routers: make([]*modelRouter, 4)}
		m.servers = map[string]*modelServer{"v1": {entry: true}, "v2": {}, "v3": {}}
		if seed%4 == 0 {
			m.readOnlyUntil = start.Add(m.seconds(90))
		}
		for i := range m.routers {
			m.restart(i)
		}
		for range 3000 {
			m.step()
		}
		require.Zero(t, m.joins, "seed %d", seed)
		proved += m.proved
	}
	require.Positive(t, proved)
}
