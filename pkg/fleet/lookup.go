package fleet

import "slices"

// lookups holds results of lookups that each request needs and that change only with the members. The zero value is empty.
type lookups struct {
	homes     map[homesKey][]string // Names of the preferred routers.
	addresses map[string]string     // Addresses of the live peers by incarnation name; nil until first used.
}

// homesKey identifies a result of Homes or PreferredIn; DataCentre is empty for Homes.
type homesKey struct {
	DataCentre string
	Key        string
	N          int
}

// Homes returns the incarnation names of the n preferred routers for a key, by
// weighted rendezvous hashing, the best first. A larger VM is a home of more keys.
//
// Routers with the same view of the fleet return the same names, and a router
// that joins or leaves changes the homes of few keys. Configured VMs about
// which no update was received yet take part in the ranking, so that a router
// that has just started does not take over their keys; they are left out of the
// result, which may then have fewer than n names. The caller must not modify it.
func (r *Roster) Homes(key string, n int) []string { return r.preferred(homesKey{Key: key, N: n}) }

// PreferredIn returns the n preferred routers of a data centre for a key, as Homes does for the whole fleet.
func (r *Roster) PreferredIn(dataCentre, key string, n int) []string {
	return r.preferred(homesKey{dataCentre, key, n})
}

func (r *Roster) preferred(key homesKey) []string {
	if names, ok := r.lookups.homes[key]; ok {
		return names
	}
	if r.lookups.homes == nil {
		r.lookups.homes = map[homesKey][]string{}
	}
	names := r.rankHomes(key)
	r.lookups.homes[key] = names
	return names
}

// rankHomes returns the names of the preferred routers for a key.
func (r *Roster) rankHomes(key homesKey) []string {
	var list []Member
	known := map[string]bool{r.Self.VM: true}
	consider := func(m Member) {
		if key.DataCentre == "" || m.DataCentre == key.DataCentre {
			list = append(list, m)
		}
	}
	if r.Self.State == Alive {
		consider(r.Self)
	}
	for _, p := range r.peersWhere((*peer).candidate) {
		consider(p.Member)
		known[p.VM] = p.known
	}
	var names []string
	for _, m := range Preferred(list, key.Key, key.N, func(m Member) float64 { return m.Size }) {
		if known[m.VM] {
			names = append(names, m.Name())
		}
	}
	return names
}

// Address returns the address of the live or draining peer with the given incarnation name, and whether there is one.
func (r *Roster) Address(name string) (string, bool) {
	if r.lookups.addresses == nil {
		r.lookups.addresses = map[string]string{}
		for _, p := range r.Peers() {
			r.lookups.addresses[p.Name()] = p.Address
		}
	}
	address, ok := r.lookups.addresses[name]
	return address, ok
}

// VMAddress returns the address of a VM, whichever incarnation runs there and whatever its state, and whether it is known.
func (r *Roster) VMAddress(vm string) (string, bool) {
	if vm == r.Self.VM {
		return r.Self.Address, r.Self.Address != ""
	}
	p, ok := r.peers[vm]
	if !ok || !p.known {
		return "", false
	}
	return p.Address, p.Address != ""
}

// changesLookups reports whether an event with the given actions may have changed the result of a lookup.
func (r *Roster) changesLookups(ev Event, actions []Action, stateBefore State) bool {
	if _, ok := ev.(ProbeFailed); ok {
		return true // A VM about which no update was received may have become unreachable, which is no change of the members.
	}
	return r.Self.State != stateBefore || slices.Contains(actions, Action(MembersChanged{}))
}
