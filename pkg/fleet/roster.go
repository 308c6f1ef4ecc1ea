package fleet

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Roster tracks the members of the fleet for one router and selects the VMs to probe.
//
// Self must be set before the first use. A Roster is not safe for concurrent use.
type Roster struct {
	Self Member
	Seed uint64 // Seed of the random probe order.

	peers      map[string]*peer // By VM.
	peerVMs    []string         // Keys of peers, sorted, so that decisions do not depend on map order.
	probeQueue []string         // VMs still to be probed in the current round.
	leaving    map[string]bool  // VMs that the platform's list shows as leaving.
	random     *rand.Rand
	lookups    lookups   // Cleared by Handle when a result may change.
	now        time.Time // Time of the last event.
}

// peer is the state of another VM.
type peer struct {
	Member

	known       bool      // An update about the VM was received.
	unreachable bool      // A probe failed before any update about the VM was received.
	changedAt   time.Time // Time of the last change of state or incarnation.
	transmits   int       // Messages that carried an update about the VM since changedAt.
	probedAt    time.Time
	startSeenAt time.Time // Time at which the incarnation was learned of.
	contactAt   time.Time // Time of the last message of the incarnation itself, or of another sign of life.
	lostAt      time.Time // Time at which the VM became suspected or dead.
}

// Handle applies one event at time now and returns the actions to carry out.
func (r *Roster) Handle(now time.Time, ev Event) []Action {
	r.init()
	r.now = now
	state := r.Self.State
	actions := r.apply(now, ev)
	if r.changesLookups(ev, actions, state) {
		r.lookups = lookups{}
	}
	return actions
}

func (r *Roster) apply(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Configured:
		return r.handleConfigured(ev.VMs)
	case UpdatesReceived:
		return r.handleUpdatesReceived(now, ev.Updates)
	case ProbeFailed:
		return r.handleProbeFailed(now, ev.VM)
	case VMListReceived:
		r.leaving = map[string]bool{}
		for _, vm := range ev.Leaving {
			r.leaving[vm] = true
		}
		return nil
	case SelfChanged:
		return r.handleSelfChanged(now, ev)
	case Tick:
		return r.handleTick(now)
	default:
		return nil
	}
}

// Members returns this router and all others about which updates were received, sorted by VM.
func (r *Roster) Members() []Member {
	r.init()
	members := []Member{r.Self}
	for _, p := range r.peersWhere(func(p *peer) bool { return p.known }) {
		members = append(members, p.Member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return members
}

// Peers returns the other routers that are alive or draining, sorted by VM.
func (r *Roster) Peers() []Member {
	r.init()
	var members []Member
	for _, p := range r.peersWhere(func(p *peer) bool { return p.known && p.State <= Draining }) {
		members = append(members, p.Member)
	}
	return members
}

// Senders returns the VMs whose routers may send requests to endpoints, this one included, sorted.
//
// A router that does not answer may still send, so only those that are taken for dead are left out.
func (r *Roster) Senders() []string {
	r.init()
	vms := []string{r.Self.VM}
	for _, p := range r.peersWhere((*peer).maySend) {
		vms = append(vms, p.VM)
	}
	slices.Sort(vms)
	return vms
}

// Registered returns all configured VMs, whatever is known of their routers, this one included, sorted.
func (r *Roster) Registered() []string {
	vms := append([]string{r.Self.VM}, r.peerVMs...)
	slices.Sort(vms)
	return vms
}

// MayRun returns the number of routers that may be running, this one included.
//
// A configured VM about which no update was received yet counts, even if no probe reaches it.
func (r *Roster) MayRun() int {
	r.init()
	return 1 + len(r.peersWhere(func(p *peer) bool { return !p.known || p.State != Dead }))
}

func (r *Roster) init() {
	if r.peers != nil {
		return
	}
	r.peers = map[string]*peer{}
	r.random = rand.New(rand.NewPCG(r.Seed, r.Seed))
}

// peersWhere returns the peers for which keep reports true, sorted by VM.
func (r *Roster) peersWhere(keep func(*peer) bool) []*peer {
	var found []*peer
	for _, vm := range r.peerVMs {
		if p := r.peers[vm]; keep(p) {
			found = append(found, p)
		}
	}
	return found
}

func (r *Roster) handleConfigured(vms []ConfiguredVM) []Action {
	configured := map[string]bool{}
	for _, vm := range vms {
		configured[vm.VM] = true
		if vm.VM == r.Self.VM {
			r.Self.Size = vm.Size
			continue
		}
		p, ok := r.peers[vm.VM]
		if !ok {
			p = &peer{Member: Member{VM: vm.VM, State: Dead}}
			r.peers[vm.VM] = p
		}
		p.Address = vm.Address
		p.DataCentre = vm.DataCentre
		p.Size = vm.Size
	}
	maps.DeleteFunc(r.peers, func(vm string, _ *peer) bool { return !configured[vm] })
	r.peerVMs = slices.Sorted(maps.Keys(r.peers))
	return []Action{MembersChanged{}}
}

func (r *Roster) handleUpdatesReceived(now time.Time, updates []Member) []Action {
	changed := false
	for _, u := range updates {
		if u.VM == r.Self.VM {
			r.refute(u)
			continue
		}
		changed = r.merge(now, u) || changed
	}
	r.recordSenderContact(now, updates)
	if changed {
		return []Action{MembersChanged{}}
	}
	return nil
}

// refute raises Refutations so that this router's own state takes precedence over an update that reports a worse one.
func (r *Roster) refute(u Member) {
	if u.Incarnation == r.Self.Incarnation && u.State > r.Self.State && u.Refutations >= r.Self.Refutations {
		r.Self.Refutations = u.Refutations + 1
	}
}

// merge applies an update that takes precedence and reports whether the state or incarnation of its VM changed.
func (r *Roster) merge(now time.Time, u Member) bool {
	p, ok := r.peers[u.VM]
	if !ok || u.Incarnation == 0 {
		return false
	}
	if p.known && !supersedes(u, p.Member) {
		return false
	}
	changed := !p.known || p.State != u.State || p.Incarnation != u.Incarnation
	if changed {
		p.changedAt = now
		p.transmits = 0
	}
	confirms := p.Heartbeat == 0 && u.Heartbeat > 0
	stateChanged := p.NoPath != u.NoPath || p.Closed != u.Closed
	if math.Abs(p.Load-u.Load) >= notableLoadChange || stateChanged || confirms {
		p.transmits = 0
	}
	u.Address = p.Address
	u.DataCentre = p.DataCentre
	u.Size = p.Size
	before := *p
	p.Member = u
	p.known = true
	if !before.known || before.Incarnation != u.Incarnation {
		p.startSeenAt = now
	}
	if p.lost() && !before.lost() {
		p.lostAt = now
	}
	p.recordContact(now, before.Member)
	return changed
}

// handleProbeFailed suspects a VM; one about which no update was received stays unknown.
func (r *Roster) handleProbeFailed(now time.Time, vm string) []Action {
	p, ok := r.peers[vm]
	if ok && !p.known {
		p.unreachable = true
	}
	if !ok || !p.known || p.State >= Suspected {
		return nil
	}
	p.State = Suspected
	p.changedAt = now
	p.lostAt = now
	p.transmits = 0
	return []Action{MembersChanged{}}
}

func (r *Roster) handleSelfChanged(now time.Time, ev SelfChanged) []Action {
	urgent := r.Self.NoPath != ev.NoPath || r.Self.Closed != ev.Closed
	r.Self.Load = ev.Load
	r.Self.Revision = ev.Revision
	r.Self.NoPath = ev.NoPath
	r.Self.Closed = ev.Closed
	r.Self.State = Alive
	if ev.Draining {
		r.Self.State = Draining
	}
	if !urgent {
		return nil
	}
	r.Self.Heartbeat++
	return r.probeNext(now, AnnounceFanout)
}

// probeNext returns the probes of the next n VMs that are due.
func (r *Roster) probeNext(now time.Time, n int) []Action {
	var actions []Action
	for range n {
		if p := r.nextProbe(now); p != nil {
			p.probedAt = now
			actions = append(actions, Probe{p.VM, p.Address, r.UpdatesFor(p.VM)})
		}
	}
	return actions
}

func (r *Roster) handleTick(now time.Time) []Action {
	r.Self.Heartbeat++
	var actions []Action
	for _, p := range r.peersWhere(func(p *peer) bool { return p.State == Suspected }) {
		if now.Sub(p.changedAt) >= SuspicionTimeout {
			p.State = Dead // Not passed on: each router that knows of the suspicion comes to it by itself.
			p.changedAt = now
			actions = append(actions, MembersChanged{})
		}
	}
	return append(actions, r.probeNext(now, ProbesPerPeriod)...)
}

// nextProbe returns the next VM to probe, or nil if none is due.
//
// Each round goes through all VMs in a new random order; dead ones are probed at most once per DeadProbeInterval.
func (r *Roster) nextProbe(now time.Time) *peer {
	for range 2 * len(r.peers) {
		if len(r.probeQueue) == 0 {
			r.probeQueue = slices.Clone(r.peerVMs)
			r.random.Shuffle(len(r.probeQueue), func(i, j int) { r.probeQueue[i], r.probeQueue[j] = r.probeQueue[j], r.probeQueue[i] })
		}
		p := r.peers[r.probeQueue[0]]
		r.probeQueue = r.probeQueue[1:]
		if p == nil || now.Equal(p.probedAt) {
			continue
		}
		if p.State == Dead && now.Sub(p.probedAt) < DeadProbeInterval {
			continue
		}
		return p
	}
	return nil
}

// candidate reports whether a VM may be a home for keys.
//
// A VM about which no update was received yet is a candidate until a probe of it fails.
func (p *peer) candidate() bool {
	if !p.known {
		return !p.unreachable
	}
	return p.State == Alive
}

// maySend reports whether the router on a VM may send requests to endpoints.
func (p *peer) maySend() bool {
	if !p.known {
		return !p.unreachable
	}
	return p.State != Dead
}

// ExpectedRouters returns the number of routers that are presumed alive, this one included.
//
// A configured VM about which no update was received yet counts until a probe of it fails.
func (r *Roster) ExpectedRouters() int {
	n := 1
	for _, p := range r.peers {
		if p.candidate() {
			n++
		}
	}
	return n
}
