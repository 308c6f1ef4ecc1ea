package router

import (
	"encoding/json"
	"time"

	"github.com/foxtaillanding/foxtaillanding/internal/membership"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
)

// members carries out what the roster decides.
type members struct {
	membership.Members

	r *Router
}

func (m *members) handle(now time.Time, ev fleet.Event) {
	probes, changed := m.Apply(now, ev)
	for _, action := range probes {
		m.r.background(func() { m.probe(action) })
	}
	if changed {
		m.tellDeciders(now)
	}
}

// tellDeciders brings the set of live routers to the deciders that act on it.
func (m *members) tellDeciders(now time.Time) {
	var changed budget.PeersChanged
	for _, p := range m.Peers() {
		changed.Peers = append(changed.Peers, p.Name())
		if p.State == fleet.Alive && p.DataCentre != m.r.self.DataCentre {
			changed.Witnesses = append(changed.Witnesses, p.Name())
		}
	}
	m.r.budgets.Handle(now, changed)
	m.r.backends.handle(now, endpoint.RoutersCounted{Routers: len(changed.Peers) + 1})
}

func (m *members) tick(now time.Time) {
	limit := m.r.snapshot().limits.ConcurrentRequests
	m.handle(now, fleet.SelfChanged{
		Load:     float64(m.r.inFlight.Load()) / float64(limit),
		Revision: m.r.configuration.revision(),
		Draining: m.r.draining.Load(),
	})
	m.handle(now, fleet.Tick{})
	// Two changes that were told at once may have arrived in the wrong order.
	m.tellDeciders(now)
}

func (m *members) probe(action fleet.Probe) {
	updates, err := m.r.peers.probe(action.Address, action.Updates)
	if err != nil {
		m.handle(time.Now(), fleet.ProbeFailed{VM: action.VM})
		return
	}
	m.handle(time.Now(), fleet.Heard{Updates: updates})
}

// answer takes a peer's updates and returns this router's own.
func (m *members) answer(body []byte) ([]fleet.Member, error) {
	var updates []fleet.Member
	if err := json.Unmarshal(body, &updates); err != nil {
		return nil, err
	}
	m.handle(time.Now(), fleet.Heard{Updates: updates})
	return m.Updates(), nil
}

func (m *members) configure(now time.Time, s *snapshot) {
	seeds := make([]fleet.Seed, 0, len(s.tree.Fleet.VMs))
	for _, vm := range s.tree.Fleet.VMs {
		seeds = append(seeds, fleet.Seed{VM: vm.Name, Address: vm.Address, DataCentre: vm.DataCentre, Size: vm.Size})
	}
	m.handle(now, fleet.Configured{VMs: seeds})
}

// states returns all VMs as operators are shown them.
func (m *members) states() []MemberState {
	var states []MemberState
	for _, p := range m.All() {
		states = append(states, MemberState{
			VM:         p.VM,
			Name:       p.Name(),
			DataCentre: p.DataCentre,
			Address:    p.Address,
			State:      p.State.String(),
			Load:       p.Load,
			Revision:   p.Revision,
		})
	}
	return states
}

// aliveVMs returns the VMs, this one included, that requests may be sent to.
func (m *members) aliveVMs() []string {
	var vms []string
	for _, p := range m.All() {
		if p.State == fleet.Alive {
			vms = append(vms, p.VM)
		}
	}
	return vms
}
