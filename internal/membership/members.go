package membership

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
)

// Members is a roster that may be used concurrently.
type Members struct {
	mu     sync.Mutex
	roster fleet.Roster // Guarded by mu.
}

// Open sets this router before the first event.
func (m *Members) Open(self fleet.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roster = fleet.Roster{Self: self, Seed: self.Incarnation}
}

// Apply hands an event to the roster; it returns the probes to be sent and whether the set of serving VMs changed.
func (m *Members) Apply(now time.Time, ev fleet.Event) (probes []fleet.Probe, changed bool) {
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

// Homes returns the incarnations of the live routers that are preferred for a key.
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
