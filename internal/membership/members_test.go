package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
)

// recordedBudgets keeps the last event.
type recordedBudgets struct{ last budget.Event }

func (b *recordedBudgets) Handle(_ time.Time, ev budget.Event) { b.last = ev }

// recordedEndpoints keeps the last list and the last number of routers.
type recordedEndpoints struct {
	listed     endpoint.RoutersListed
	expected   endpoint.RoutersExpected
	registered endpoint.RoutersRegistered
}

func (e *recordedEndpoints) Handle(_ time.Time, ev endpoint.Event) {
	switch ev := ev.(type) {
	case endpoint.RoutersListed:
		e.listed = ev
	case endpoint.RoutersExpected:
		e.expected = ev
	case endpoint.RoutersRegistered:
		e.registered = ev
	}
}

// TestWitnessesAreInOtherDataCentres guards against a holder whose witness is lost together with it.
func TestWitnessesAreInOtherDataCentres(t *testing.T) {
	budgets := &recordedBudgets{}
	endpoints := &recordedEndpoints{}
	m := &Members{Budgets: budgets, Endpoints: endpoints, Background: func(func()) {}}
	m.Init(fleet.Member{VM: "self", Incarnation: 1, DataCentre: "north", Size: 1})
	vms := []fleet.ConfiguredVM{
		{VM: "self", Address: "a:1", DataCentre: "north", Size: 1},
		{VM: "beside", Address: "b:1", DataCentre: "north", Size: 1},
		{VM: "far", Address: "c:1", DataCentre: "south", Size: 1},
		{VM: "stopping", Address: "d:1", DataCentre: "south", Size: 1},
		{VM: "silent", Address: "e:1", DataCentre: "south", Size: 1},
	}
	now := time.Now()
	m.Handle(now, fleet.Configured{VMs: vms})
	m.Handle(now, fleet.UpdatesReceived{Updates: []fleet.Member{
		{VM: "beside", Incarnation: 1},
		{VM: "far", Incarnation: 1},
		{VM: "stopping", Incarnation: 1, State: fleet.Draining},
		{VM: "silent", Incarnation: 1, State: fleet.Suspected},
	}})
	changed := budgets.last.(budget.PeersChanged)
	require.Equal(t, []string{"beside.1", "far.1", "stopping.1"}, changed.Peers)
	require.Equal(t, []string{"far.1"}, changed.Witnesses)
	require.Empty(t, changed.Replaced)
	m.Handle(now, fleet.UpdatesReceived{Updates: []fleet.Member{{VM: "far", Incarnation: 2}}})
	require.Equal(t, []string{"far.1"}, budgets.last.(budget.PeersChanged).Replaced)
	m.Handle(now, fleet.UpdatesReceived{Updates: []fleet.Member{{VM: "far", Incarnation: 1}}})
	require.Equal(t, []string{"far.1"}, budgets.last.(budget.PeersChanged).Replaced, "an update that comes late")
	require.Equal(t, []string{"beside", "far", "self", "silent", "stopping"}, endpoints.listed.Routers, "all that may still send")
}

// TestRoutersThatWereNeverReachedAreExpected starts a router whose probes fail: the others share the retry budget all the same.
func TestRoutersThatWereNeverReachedAreExpected(t *testing.T) {
	endpoints := &recordedEndpoints{}
	m := &Members{Budgets: &recordedBudgets{}, Endpoints: endpoints, Background: func(func()) {}}
	m.Init(fleet.Member{VM: "self", Incarnation: 1})
	now := time.Now()
	m.Handle(now, fleet.Configured{VMs: []fleet.ConfiguredVM{{VM: "self"}, {VM: "cut off"}, {VM: "dead"}}})
	require.Equal(t, 3, endpoints.expected.Routers)
	m.Handle(now, fleet.ProbeFailed{VM: "cut off"})
	m.Handle(now, fleet.UpdatesReceived{Updates: []fleet.Member{{VM: "dead", Incarnation: 1, State: fleet.Dead}}})
	m.Tick(now, fleet.SelfChanged{})
	require.Equal(t, 2, endpoints.expected.Routers)
}

// TestDeadRoutersStayRegistered guards against ranks at cold endpoints that change when routers are taken for dead: one that
// does not answer may still send, and both sides of a partition would each have all senders.
func TestDeadRoutersStayRegistered(t *testing.T) {
	endpoints := &recordedEndpoints{}
	m := &Members{Budgets: &recordedBudgets{}, Endpoints: endpoints, Background: func(func()) {}}
	m.Init(fleet.Member{VM: "self", Incarnation: 1, Size: 1})
	now := time.Now()
	m.Handle(now, fleet.Configured{VMs: []fleet.ConfiguredVM{{VM: "self"}, {VM: "dead"}, {VM: "never seen"}}})
	m.Handle(now, fleet.UpdatesReceived{Updates: []fleet.Member{{VM: "dead", Incarnation: 1, State: fleet.Dead}}})
	require.Equal(t, endpoint.RoutersRegistered{Self: "self", Routers: []string{"dead", "never seen", "self"}}, endpoints.registered)
	require.NotContains(t, endpoints.listed.Routers, "dead")
}
