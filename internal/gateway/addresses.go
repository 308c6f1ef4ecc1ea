package gateway

import (
	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
)

// Parameters of the lists of addresses for callers.
const (
	maxAddresses    = 8    // Enough for a caller to find a live router; more would spread callers evenly, whatever the sizes.
	minLocalRouters = 2    // Live routers in the caller's data centre below which those of all data centres are listed.
	minFreeShare    = 0.01 // Share of its weight that a router with too much load keeps.
	remoteWeight    = 0.25 // Weight of a router of another data centre, which takes part of the load if many callers are in one.
)

// frontAddresses returns the addresses for a caller in a data centre, or this router's own if no router is live.
//
// A caller is given the same addresses by all routers as long as the fleet does
// not change, because it abandons its connections to addresses that are no
// longer listed. Over all callers a router is listed about in proportion to its size.
func (m *members) frontAddresses(caller, dataCentre string) []string {
	var serving []fleet.Member
	fronts := map[string]string{}
	for _, p := range m.candidates() {
		address := m.frontAddress(p.VM)
		if p.State != fleet.Alive || address == "" {
			continue
		}
		fronts[p.VM] = address
		serving = append(serving, p)
	}
	all := reachingEndpoints(accepting(serving))
	var local []fleet.Member
	for _, p := range all {
		if p.DataCentre == dataCentre {
			local = append(local, p)
		}
	}
	var addresses []string
	for _, p := range m.selectRouters(local, all, caller, dataCentre) {
		addresses = append(addresses, fronts[p.VM])
	}
	if len(addresses) == 0 {
		return []string{m.g.cfg.Settings.Listen.Front}
	}
	return addresses
}

// candidates returns the routers that lists may name. Where data centres may be lost or evacuated as a whole, these are only the
// ones with a sign of life, so that no lost router is named for long.
func (m *members) candidates() []fleet.Member {
	if m.g.cfg.Features.Evacuations {
		return m.Listed()
	}
	return m.All()
}

// selectRouters selects the routers that a caller should use. Where overloaded routers refuse connections, a list of all local
// routers is ordered too, because callers that look for a router may take the first one.
func (m *members) selectRouters(local, all []fleet.Member, caller, dataCentre string) []fleet.Member {
	list := listedRouters(local, all, caller, dataCentre)
	if !m.g.cfg.Features.RefuseConnections || !fitsList(local) {
		return list
	}
	return byFreeCapacity(list, caller)
}

// byFreeCapacity orders routers at random for each caller, in proportion to their free capacity.
func byFreeCapacity(routers []fleet.Member, caller string) []fleet.Member {
	ordered := fleet.Preferred(routers, caller, len(routers), freeCapacity)
	if len(ordered) < len(routers) {
		return routers // Some have no size.
	}
	return ordered
}

// freeCapacity returns the weight of a router in the directory.
func freeCapacity(m fleet.Member) float64 { return m.Size * max(minFreeShare, 1-m.Load) }

// fitsList reports whether a list holds all routers of the caller's data centre and only these.
func fitsList(local []fleet.Member) bool {
	return len(local) >= minLocalRouters && len(local) < maxAddresses
}

// accepting returns the routers that accept connections, or all if none does, so that lists do not become empty.
func accepting(routers []fleet.Member) []fleet.Member {
	return preferred(routers, func(m fleet.Member) bool { return !m.Closed })
}

// reachingEndpoints returns the routers that reach the endpoints, or all if none does: then the endpoints may be to blame.
func reachingEndpoints(routers []fleet.Member) []fleet.Member {
	return preferred(routers, func(m fleet.Member) bool { return !m.NoPath })
}

// preferred returns the routers for which keep reports true, or all if there are none.
func preferred(routers []fleet.Member, keep func(fleet.Member) bool) []fleet.Member {
	var kept []fleet.Member
	for _, m := range routers {
		if keep(m) {
			kept = append(kept, m)
		}
	}
	if len(kept) == 0 {
		return routers
	}
	return kept
}

// listedRouters selects the routers that a caller should use.
func listedRouters(local, all []fleet.Member, caller, dataCentre string) []fleet.Member {
	if fitsList(local) {
		return local
	}
	return fleet.Preferred(all, caller, maxAddresses, func(m fleet.Member) float64 {
		weight := freeCapacity(m)
		if m.DataCentre == dataCentre || len(local) < minLocalRouters {
			return weight
		}
		return remoteWeight * weight
	})
}

// frontAddress returns the address at which a router accepts requests, or an empty string if it is unknown.
func (m *members) frontAddress(vm string) string {
	m.registrationsMu.Lock()
	defer m.registrationsMu.Unlock()
	if vm == m.g.cfg.Settings.VM {
		return m.g.cfg.Settings.Listen.Front
	}
	return m.registrations[vm].Front
}
