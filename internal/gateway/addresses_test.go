package gateway

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
)

// newFleet returns the routers of two data centres, each with n small and n/5 large ones.
func newFleet(n int) []fleet.Member {
	var list []fleet.Member
	for _, dataCentre := range []string{"dc-1", "dc-2"} {
		for i := range n {
			list = append(list, fleet.Member{VM: fmt.Sprintf("%s-small-%d", dataCentre, i), DataCentre: dataCentre, Size: 50})
		}
		for i := range n / 5 {
			list = append(list, fleet.Member{VM: fmt.Sprintf("%s-large-%d", dataCentre, i), DataCentre: dataCentre, Size: 250})
		}
	}
	return list
}

func localRouters(all []fleet.Member, dataCentre string) []fleet.Member {
	var local []fleet.Member
	for _, m := range all {
		if m.DataCentre == dataCentre {
			local = append(local, m)
		}
	}
	return local
}

// TestRoutersAreListedInProportionToTheirSize replays callers that have all moved to one data centre.
//
// All routers there were listed alike, so that the smallest ones held requests past their deadlines while the large ones
// and those of other data centres were idle.
func TestRoutersAreListedInProportionToTheirSize(t *testing.T) {
	all := newFleet(50)
	local := localRouters(all, "dc-1")
	const callers = 20000
	load := map[string]float64{} // Requests for each VM, if every caller spreads one request over its addresses.
	for i := range callers {
		listed := listedRouters(local, all, fmt.Sprint("caller-", i), "dc-1")
		require.Len(t, listed, maxAddresses)
		for _, m := range listed {
			load[m.VM] += 1.0 / maxAddresses
		}
	}
	require.Len(t, load, len(all), "every router is listed for some caller")
	var small, large, remote float64
	for _, m := range all {
		switch {
		case m.DataCentre != "dc-1":
			remote += load[m.VM]
		case m.Size > 100:
			large += load[m.VM] / 10
		default:
			small += load[m.VM] / 50
		}
	}
	require.InDelta(t, 5, large/small, 1, "load of a large VM by that of a small one")
	require.InDelta(t, remoteWeight/(1+remoteWeight), remote/callers, 0.03)
	for vm, n := range load {
		require.Less(t, n, callers*0.04, vm)
	}
}

func TestListOfACallerIsStable(t *testing.T) {
	all := newFleet(50)
	local := localRouters(all, "dc-1")
	before := listedRouters(local, all, "caller", "dc-1")
	require.Equal(t, before, listedRouters(local, all, "caller", "dc-1"))
	lost := before[0]
	var rest []fleet.Member
	for _, m := range all {
		if m.VM != lost.VM {
			rest = append(rest, m)
		}
	}
	after := listedRouters(localRouters(rest, "dc-1"), rest, "caller", "dc-1")
	require.Equal(t, before[1:], after[:maxAddresses-1], "the loss of one router replaces only its own address")
}

// TestOverloadedRouterIsListedForFewCallers replays callers that keep to one router: they abandon it when it is no longer
// listed.
func TestOverloadedRouterIsListedForFewCallers(t *testing.T) {
	all := newFleet(50)
	all[3].Load = 1
	local := localRouters(all, "dc-1")
	n := 0
	const callers = 2000
	for i := range callers {
		for _, m := range listedRouters(local, all, fmt.Sprint("caller-", i), "dc-1") {
			if m.VM == all[3].VM {
				n++
			}
		}
	}
	require.Less(t, n, callers/100)
}

func TestShortListsHoldAllLocalRouters(t *testing.T) {
	all := newFleet(2)
	require.Equal(t, localRouters(all, "dc-1"), listedRouters(localRouters(all, "dc-1"), all, "caller", "dc-1"))
	one := slices.Concat(all[:1], localRouters(all, "dc-2"))
	require.Len(t, listedRouters(one[:1], one, "caller", "dc-1"), len(one), "a single local router is not enough")
}

func TestRoutersWithoutAPathAreNotListed(t *testing.T) {
	fleetWith := func(noPath ...string) []fleet.Member {
		list := newFleet(5)
		for i := range list {
			list[i].NoPath = slices.Contains(noPath, list[i].VM)
		}
		return list
	}
	listed := func(all []fleet.Member) []fleet.Member {
		all = reachingEndpoints(all)
		return listedRouters(localRouters(all, "dc-1"), all, "caller", "dc-1")
	}
	list := listed(fleetWith())
	require.Len(t, list, 6)

	lost := list[0].VM
	list = listed(fleetWith(lost))
	require.Len(t, list, 5)
	for _, m := range list {
		require.NotEqual(t, lost, m.VM)
		require.Equal(t, "dc-1", m.DataCentre)
	}

	var local, all []string
	for _, m := range newFleet(5) {
		all = append(all, m.VM)
		if m.DataCentre == "dc-1" {
			local = append(local, m.VM)
		}
	}
	list = listed(fleetWith(local[1:]...))
	require.Len(t, list, 7, "the last one of its data centre and those of the other")
	list = listed(fleetWith(local...))
	require.Len(t, list, 6)
	for _, m := range list {
		require.Equal(t, "dc-2", m.DataCentre)
	}
	require.Equal(t, len(listed(fleetWith())), len(listed(fleetWith(all...))), "as before if no router has a path")
}
