package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
)

type noBudgets struct{}

func (noBudgets) Handle(time.Time, budget.Event) {}

type noEndpoints struct{}

func (noEndpoints) Handle(time.Time, endpoint.Event) {}

// BenchmarkLookups measures what each request with a budget looks up: the homes of the budget and the address of one.
func BenchmarkLookups(b *testing.B) {
	for _, n := range []int{6, 78, 295} {
		m := &Members{Budgets: noBudgets{}, Endpoints: noEndpoints{}, Background: func(func()) {}}
		m.Init(fleet.Member{VM: "vm-0", Incarnation: 1, Address: "127.0.0.1:1", DataCentre: "dc", Size: 1})
		var vms []fleet.ConfiguredVM
		var updates []fleet.Member
		for i := range n {
			vm := fmt.Sprint("vm-", i)
			vms = append(vms, fleet.ConfiguredVM{VM: vm, Address: "127.0.0.1:1", DataCentre: "dc", Size: 1})
			updates = append(updates, fleet.Member{VM: vm, Incarnation: 2})
		}
		m.Handle(time.Now(), fleet.Configured{VMs: vms})
		m.Handle(time.Now(), fleet.UpdatesReceived{Updates: updates})
		b.Run(fmt.Sprint("routers-", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				homes := m.Homes("team", 2)
				m.Address(homes[0])
			}
		})
	}
}
