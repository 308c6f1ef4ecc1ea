package fleet

import (
	"cmp"
	"maps"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Roster decides for one router whom to probe and which VMs serve.
//
// Self must be set; it is not safe for concurrent use.
type Roster struct {
	Self Member
	Seed uint64 // Of the probe order.

	peers   map[string]*peer // By VM.
	names   []string         // Of peers, sorted, so that decisions do not depend on map order.
	order   []string         // Remaining VMs of this round of probes.
	leaving map[string]bool
	random  *rand.Rand
}

// peer is the Roster's state for another VM.
type peer struct {
	Member

	known   bool // A message of the VM's own incarnation was heard.
	missing bool // It was asked and did not answer before it was ever heard.
	since   time.Time
	told    int // Times that the current news was told.
	askedAt time.Time
}

// Handle applies one event at time now and returns what is to be done.
func (r *Roster) Handle(now time.Time, ev Event) []Action {
	r.init()
	switch ev := ev.(type) {
	case Configured:
		return r.configure(ev.VMs)
	case Heard:
		return r.heard(now, ev.Updates)
	case ProbeFailed:
		return r.probeFailed(now, ev.VM)
	case PlatformListed:
		r.leaving = map[string]bool{}
		for _, vm := range ev.Leaving {
			r.leaving[vm] = true
		}
		return nil
	case SelfChanged:
		r.selfChanged(ev)
		return nil
	case Tick:
		return r.tick(now)
	default:
		return nil
	}
}

// Updates returns what a message of this router tells: itself and the least told news, at most UpdatesEach.
func (r *Roster) Updates() []Member {
	r.init()
	updates := []Member{r.Self}
	limit := tellFactor * bits.Len(uint(len(r.peers)+1))
	fresh := r.sorted(func(p *peer) bool { return p.known && p.told < limit })
	slices.SortStableFunc(fresh, func(a, b *peer) int { return cmp.Compare(a.told, b.told) })
	for _, p := range fresh[:min(len(fresh), UpdatesEach-1)] {
		p.told++
		updates = append(updates, p.Member)
	}
	return updates
}

// Members returns this router and all others that were heard of, sorted by VM.
func (r *Roster) Members() []Member {
	r.init()
	members := []Member{r.Self}
	for _, p := range r.sorted(func(p *peer) bool { return p.known }) {
		members = append(members, p.Member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return members
}

// Peers returns the other routers that serve, sorted by VM.
func (r *Roster) Peers() []Member {
	r.init()
	var members []Member
	for _, p := range r.sorted(func(p *peer) bool { return p.known && p.State <= Draining }) {
		members = append(members, p.Member)
	}
	return members
}

func (r *Roster) init() {
	if r.peers != nil {
		return
	}
	r.peers = map[string]*peer{}
	r.random = rand.New(rand.NewPCG(r.Seed, r.Seed))
}

func (r *Roster) sorted(keep func(*peer) bool) []*peer {
	var found []*peer
	for _, vm := range r.names {
		if p := r.peers[vm]; keep(p) {
			found = append(found, p)
		}
	}
	return found
}

func (r *Roster) configure(seeds []Seed) []Action {
	named := map[string]bool{}
	for _, s := range seeds {
		named[s.VM] = true
		if s.VM == r.Self.VM {
			r.Self.Size = s.Size
			continue
		}
		p, ok := r.peers[s.VM]
		if !ok {
			p = &peer{Member: Member{VM: s.VM, State: Dead}}
			r.peers[s.VM] = p
		}
		p.Address = s.Address
		p.DataCentre = s.DataCentre
		p.Size = s.Size
	}
	maps.DeleteFunc(r.peers, func(vm string, _ *peer) bool { return !named[vm] })
	r.names = slices.Sorted(maps.Keys(r.peers))
	return []Action{MembersChanged{}}
}

func (r *Roster) heard(now time.Time, updates []Member) []Action {
	changed := false
	for _, u := range updates {
		if u.VM == r.Self.VM {
			r.refute(u)
			continue
		}
		changed = r.learn(now, u) || changed
	}
	if changed {
		return []Action{MembersChanged{}}
	}
	return nil
}

// refute outdates an update that holds this router for worse than it is.
func (r *Roster) refute(u Member) {
	if u.Incarnation == r.Self.Incarnation && u.State > r.Self.State && u.Refutations >= r.Self.Refutations {
		r.Self.Refutations = u.Refutations + 1
	}
}

// learn takes an update over and reports whether the set of serving VMs changed.
func (r *Roster) learn(now time.Time, u Member) bool {
	p, ok := r.peers[u.VM]
	if !ok || u.Incarnation == 0 {
		return false
	}
	if p.known && !newer(u, p.Member) {
		return false
	}
	changed := !p.known || p.State != u.State || p.Incarnation != u.Incarnation
	if changed {
		p.since = now
		p.told = 0
	}
	u.Address = p.Address
	u.DataCentre = p.DataCentre
	u.Size = p.Size
	p.Member = u
	p.known = true
	return changed
}

// probeFailed suspects a VM; a VM that was never heard of stays unknown.
func (r *Roster) probeFailed(now time.Time, vm string) []Action {
	p, ok := r.peers[vm]
	if ok && !p.known {
		p.missing = true
	}
	if !ok || !p.known || p.State >= Suspected {
		return nil
	}
	p.State = Suspected
	p.since = now
	p.told = 0
	return []Action{MembersChanged{}}
}

func (r *Roster) selfChanged(ev SelfChanged) {
	r.Self.Load = ev.Load
	r.Self.Revision = ev.Revision
	r.Self.State = Alive
	if ev.Draining {
		r.Self.State = Draining
	}
}

func (r *Roster) tick(now time.Time) []Action {
	r.Self.Beat++
	var actions []Action
	for _, p := range r.sorted(func(p *peer) bool { return p.State == Suspected }) {
		if now.Sub(p.since) >= SuspectPeriod {
			p.State = Dead
			p.since = now
			p.told = 0
			actions = append(actions, MembersChanged{})
		}
	}
	for range ProbesEach {
		if p := r.nextProbe(now); p != nil {
			p.askedAt = now
			actions = append(actions, Probe{p.VM, p.Address, r.Updates()})
		}
	}
	return actions
}

// nextProbe goes through all VMs in a shuffled order; dead ones are probed less often.
func (r *Roster) nextProbe(now time.Time) *peer {
	for range 2 * len(r.peers) {
		if len(r.order) == 0 {
			r.order = slices.Clone(r.names)
			r.random.Shuffle(len(r.order), func(i, j int) { r.order[i], r.order[j] = r.order[j], r.order[i] })
		}
		p := r.peers[r.order[0]]
		r.order = r.order[1:]
		if p == nil || now.Equal(p.askedAt) {
			continue
		}
		if p.State == Dead && now.Sub(p.askedAt) < ReprobeDead {
			continue
		}
		return p
	}
	return nil
}

// candidate reports whether a VM serves as far as is known; one that was never asked may.
func (p *peer) candidate() bool {
	if !p.known {
		return !p.missing
	}
	return p.State == Alive
}

// Expected returns the number of routers that serve, this one included, as far as is known.
func (r *Roster) Expected() int {
	n := 1
	for _, p := range r.peers {
		if p.candidate() {
			n++
		}
	}
	return n
}

// Homes returns the names of those routers that are heard among the n that are preferred for a key, the best first.
//
// Routers with the same view return the same ones; a router that joins or
// leaves changes few keys. A router that has just started ranks those that it
// was told of and has not heard yet, so that it does not take their keys over.
func (r *Roster) Homes(key string, n int) []string {
	type ranked struct {
		name  string // Empty for a router that is not heard yet.
		score uint64
	}
	score := func(vm string) uint64 { return xxhash.Sum64String(vm + "\x00" + key) }
	var list []ranked
	if r.Self.State == Alive {
		list = append(list, ranked{r.Self.Name(), score(r.Self.VM)})
	}
	for _, p := range r.sorted((*peer).candidate) {
		one := ranked{score: score(p.VM)}
		if p.known {
			one.name = p.Name()
		}
		list = append(list, one)
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	var names []string
	for _, one := range list[:min(n, len(list))] {
		if one.name != "" {
			names = append(names, one.name)
		}
	}
	return names
}
