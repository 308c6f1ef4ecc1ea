package membership

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
)

// Budgets receives the names of the other live routers. It is implemented by ledger.Ledger.
type Budgets interface {
	Handle(now time.Time, ev budget.Event)
}

// Endpoints receives the number of live routers. It is implemented by placement.Endpoints.
type Endpoints interface {
	Handle(now time.Time, ev endpoint.Event)
}

// Members runs the membership roster of one router. Its exported fields are set before the first event.
type Members struct {
	Budgets    Budgets
	Endpoints  Endpoints
	Background func(func()) // Runs a probe asynchronously.
	// Probe sends updates about members to the router at address and returns the updates that it answers with.
	Probe func(address string, updates []fleet.Member) ([]fleet.Member, error)
	// OnChange is called after the set of members or the state of one changed; may be nil.
	OnChange func(now time.Time)
	// OnProbed is called for each probe of another router with its VM; may be nil.
	OnProbed func(now time.Time, vm string)

	mu       sync.Mutex
	roster   fleet.Roster            // Guarded by mu.
	latest   map[string]fleet.Member // Latest incarnation of each VM that was a peer; guarded by mu.
	replaced []string                // Names of earlier incarnations of the VMs in latest; guarded by mu.
}

// Init sets the member that this router is. It is called before the first event.
func (m *Members) Init(self fleet.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roster = fleet.Roster{Self: self, Seed: self.Incarnation}
}

// Handle applies an event to the roster, starts the resulting probes and publishes a change of the members.
func (m *Members) Handle(now time.Time, ev fleet.Event) {
	probes, changed := m.apply(now, ev)
	for _, action := range probes {
		m.Background(func() { m.probe(action) })
	}
	if !changed {
		return
	}
	if m.OnChange != nil {
		m.OnChange(now)
	}
	m.publish(now)
}

// apply applies an event to the roster. It returns the probes to send and whether the members changed.
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

// probe sends one probe and passes its result to the roster.
func (m *Members) probe(action fleet.Probe) {
	updates, err := m.Probe(action.Address, action.Updates)
	if err != nil {
		m.Handle(time.Now(), fleet.ProbeFailed{VM: action.VM})
		return
	}
	m.Handle(time.Now(), fleet.UpdatesReceived{Updates: updates})
}

// Tick updates this router's own state to self and lets one probe period pass.
func (m *Members) Tick(now time.Time, self fleet.SelfChanged) {
	m.Handle(now, self)
	m.Handle(now, fleet.Tick{})
	// Concurrent changes may have been published in the wrong order, so the current state is published again.
	m.publish(now)
}

// publish passes the set of live routers to Budgets and Endpoints.
func (m *Members) publish(now time.Time) {
	peers := m.Peers()
	changed := budget.PeersChanged{Witnesses: fleet.Witnesses(m.Self(), peers)}
	for _, p := range peers {
		changed.Peers = append(changed.Peers, p.Name())
	}
	changed.Replaced = m.observeReplaced(peers)
	m.Budgets.Handle(now, changed)
	m.Endpoints.Handle(now, endpoint.RoutersCounted{Routers: len(changed.Peers) + 1})
	m.Endpoints.Handle(now, endpoint.RoutersExpected{Routers: m.mayRun()})
	m.Endpoints.Handle(now, endpoint.RoutersListed{Self: m.Self().VM, Routers: m.senders()})
	m.Endpoints.Handle(now, endpoint.RoutersRegistered{Self: m.Self().VM, Routers: m.registered()})
}

// observeReplaced returns the names of the incarnations that were peers and have ended, since their VM runs a later one.
func (m *Members) observeReplaced(peers []fleet.Member) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.latest == nil {
		m.latest = map[string]fleet.Member{}
	}
	for _, p := range peers {
		known, ok := m.latest[p.VM]
		if ok && known.Incarnation >= p.Incarnation {
			continue
		}
		if ok {
			m.replaced = append(m.replaced, known.Name())
		}
		m.latest[p.VM] = p
	}
	return slices.Clone(m.replaced)
}

// mayRun returns the number of routers that may be running, this one included.
func (m *Members) mayRun() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.MayRun()
}

// senders returns the VMs whose routers may send requests to endpoints, this one included.
func (m *Members) senders() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Senders()
}

// registered returns the VMs whose routers ever registered, this one included.
func (m *Members) registered() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Registered()
}

// AnswerProbe applies the updates in a peer's probe and returns those of this router.
func (m *Members) AnswerProbe(now time.Time, updates []fleet.Member) []fleet.Member {
	if m.OnProbed != nil && len(updates) > 0 {
		m.OnProbed(now, updates[0].VM) // The first update is about the sender.
	}
	m.Handle(now, fleet.UpdatesReceived{Updates: updates})
	if len(updates) == 0 {
		return m.Updates()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.UpdatesFor(updates[0].VM) // The sender's own update comes first.
}

// Updates returns the updates to send in the next message to a peer.
func (m *Members) Updates() []fleet.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Updates()
}

// Self returns this router's own member.
func (m *Members) Self() fleet.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Self
}

// Peers returns the other routers that are alive or draining.
func (m *Members) Peers() []fleet.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Peers()
}

// All returns this router and all others that it knows of, whatever their state.
func (m *Members) All() []fleet.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Members()
}

// Listed returns the routers that callers may be sent to, this one included.
func (m *Members) Listed() []fleet.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Listed()
}

// Expected returns the number of routers that are expected to serve, this one included.
//
// It counts the routers that are alive, and the configured ones about which no update was received yet unless a probe
// of them failed.
func (m *Members) Expected() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.ExpectedRouters()
}

// Homes returns the names of the incarnations that are homes of a key, the preferred one first.
//
// The n homes of a key are chosen by rendezvous hashing; those about which no
// update was received yet are left out.
func (m *Members) Homes(key string, n int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Homes(key, n)
}

// PreferredIn returns the names of the n preferred routers of a data centre for a key, as Homes does for the whole fleet.
func (m *Members) PreferredIn(dataCentre, key string, n int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.PreferredIn(dataCentre, key, n)
}

// EntryList returns the entry addresses for one caller, which may cache them for the time keep.
func (m *Members) EntryList(keep time.Duration) fleet.EntryList {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.EntryList(keep, rand.Float64)
}

// Address returns the address of the live router with the given incarnation name, and whether there is one.
func (m *Members) Address(name string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Address(name)
}

// VMAddress returns the address of a VM, whichever incarnation runs there and whatever its state, and whether it is known.
func (m *Members) VMAddress(vm string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.VMAddress(vm)
}
