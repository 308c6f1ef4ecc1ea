package router

import (
	"time"

	"github.com/foxtaillanding/foxtaillanding/internal/membership"
	"github.com/foxtaillanding/foxtaillanding/internal/operators"
	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
)

// members tracks the VMs of the settings and the routers on them.
type members struct {
	membership.Members

	r *Router
}

// tick starts a probe period with the current state of this router.
func (m *members) tick(now time.Time) {
	limit := m.r.snapshot().limits.ConcurrentRequests
	m.Tick(now, fleet.SelfChanged{
		Load:     float64(m.r.inFlight.Load()) / float64(limit),
		Revision: m.r.configuration.Revision(),
		Draining: m.r.draining.Load(),
	})
}

func (m *members) configure(now time.Time, s *snapshot) {
	vms := make([]fleet.ConfiguredVM, 0, len(s.tree.Fleet.VMs))
	for _, vm := range s.tree.Fleet.VMs {
		vms = append(vms, fleet.ConfiguredVM{VM: vm.Name, Address: vm.Address, DataCentre: vm.DataCentre, Size: vm.Size})
	}
	m.Handle(now, fleet.Configured{VMs: vms})
}

// states returns all members in the form shown to operators.
func (m *members) states() []operators.MemberState {
	var states []operators.MemberState
	for _, p := range m.All() {
		states = append(states, operators.MemberState{
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

// aliveVMs returns the VMs whose routers are alive, this one included unless it is draining.
func (m *members) aliveVMs() []string {
	var vms []string
	for _, p := range m.All() {
		if p.State == fleet.Alive {
			vms = append(vms, p.VM)
		}
	}
	return vms
}
