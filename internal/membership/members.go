package membership

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
)

// Budgets is told which routers live; ledger.Ledger is one.
type Budgets interface {
	Handle(now time.Time, ev budget.Event)
}

// Endpoints is told how many routers there are; placement.Endpoints is one.
type Endpoints interface {
	Handle(now time.Time, ev endpoint.Event)
}

// Members is the roster of one router; its fields are set before the first event.
type Members struct {
	Budgets    Budgets
	Endpoints  Endpoints
	Background func(func()) // Runs a probe.
	// Probe tells the router at address what is known and returns what it knows.
	Probe func(address string, updates []fleet.Member) ([]fleet.Member, error)
	// Changed is called when the set of serving routers changed; nil does nothing.
	Changed func(now time.Time)

	mu     sync.Mutex
	roster fleet.Roster // Guarded by mu.
}

// Open sets this router before the first event.
func (m *Members) Open(self fleet.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roster = fleet.Roster{Self: self, Seed: self.Incarnation}
}

// Handle applies an event, sends the probes that follow from it and tells the deciders of a change.
func (m *Members) Handle(now time.Time, ev fleet.Event) {
	probes, changed := m.apply(now, ev)
	for _, action := range probes {
		m.Background(func() { m.probe(action) })
	}
	if !changed {
		return
	}
	if m.Changed != nil {
		m.Changed(now)
	}
	m.tellDeciders(now)
}

func (m *Members) apply(now time.Time, ev fleet.Event) (probes []fleet.Probe, changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, action := range m.roster.Handle(now, ev) {
		switch action := action.(type) {
		case fleet.Probe:
			probes = append(probes, action)
		case fleet.MembersChanged:
			changed = true
		}
	}
	return probes, changed
}

func (m *Members) probe(action fleet.Probe) {
	updates, err := m.Probe(action.Address, action.Updates)
	if err != nil {
		m.Handle(time.Now(), fleet.ProbeFailed{VM: action.VM})
		return
	}
	m.Handle(time.Now(), fleet.UpdatesReceived{Updates: updates})
}

// Tick lets time pass for a router that is as self says.
func (m *Members) Tick(now time.Time, self fleet.SelfChanged) {
	m.Handle(now, self)
	m.Handle(now, fleet.Tick{})
	// Two changes that were told at once may have arrived in the wrong order.
	m.tellDeciders(now)
}

// tellDeciders brings the set of live routers to the deciders that act on it.
//
// A witness is of another data centre, so that the loss of one leaves it or the holder.
func (m *Members) tellDeciders(now time.Time) {
	own := m.Self().DataCentre
	var changed budget.PeersChanged
	for _, p := range m.Peers() {
		changed.Peers = append(changed.Peers, p.Name())
		if p.State == fleet.Alive && p.DataCentre != own {
			changed.Witnesses = append(changed.Witnesses, p.Name())
		}
	}
	m.Budgets.Handle(now, changed)
	m.Endpoints.Handle(now, endpoint.RoutersCounted{Routers: len(changed.Peers) + 1})
}

// Answer takes a peer's updates and returns this router's own.
func (m *Members) Answer(now time.Time, updates []fleet.Member) []fleet.Member {
	m.Handle(now, fleet.UpdatesReceived{Updates: updates})
	return m.Updates()
}

// Updates returns what the next message to a peer tells.
func (m *Members) Updates() []fleet.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Updates()
}

// Self returns this router.
func (m *Members) Self() fleet.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Self
}

// Peers returns the other routers that serve.
func (m *Members) Peers() []fleet.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Peers()
}

// All returns this router and all others that were heard of.
func (m *Members) All() []fleet.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Members()
}

// Expected returns the number of routers that serve, this one included, as far as is known.
func (m *Members) Expected() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.ExpectedRouters()
}

// Homes returns the incarnations of the routers that are heard among the n that are preferred for a key.
func (m *Members) Homes(key string, n int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Homes(key, n)
}

// EntryList returns the addresses for one caller.
func (m *Members) EntryList(keep time.Duration) fleet.EntryList {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.EntryList(keep, rand.Float64)
}

// Address returns where the router with the given incarnation name listens.
func (m *Members) Address(name string) (string, bool) {
	for _, p := range m.Peers() {
		if p.Name() == name {
			return p.Address, true
		}
	}
	return "", false
}
