package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Timing of a timeline.
const (
	slot         = ProbePeriod / 10
	probeTimeout = 800 * time.Millisecond // After which the probe of a lost VM fails.
	leaseTTL     = 10 * time.Second       // For which the registration of a lost router remains.
	announced    = 3 * time.Second        // After which running routers have read the registration of a new one.
	maxNamed     = 7 * time.Second        // For which a lost router may be named in an answer of the directory.
)

// timeline drives rosters in virtual time; each one ticks at its own moment of a period, and probes of lost VMs take time to fail.
type timeline struct {
	now     time.Time
	random  *rand.Rand
	rosters map[string]*Roster
	running []string // VMs of the running routers in the order of their start.
	tickAt  map[string]time.Time
	lostAt  map[string]time.Time
	vms     map[string]ConfiguredVM
	failing map[time.Time][]failure
	later   map[time.Time][]func()
}

// failure is a probe that will fail.
type failure struct{ from, vm string }

func newTimeline(n int, seed uint64) *timeline {
	l := &timeline{
		now: start, random: rand.New(rand.NewPCG(seed, 1)),
		rosters: map[string]*Roster{}, tickAt: map[string]time.Time{}, lostAt: map[string]time.Time{}, vms: map[string]ConfiguredVM{},
		failing: map[time.Time][]failure{}, later: map[time.Time][]func(){},
	}
	for i := range n {
		l.add(i)
	}
	for _, vm := range l.running {
		l.readRegistrations(vm)
	}
	return l
}

// add starts the router of a VM that has read no registrations yet.
func (l *timeline) add(i int) string {
	vm := name(i)
	l.vms[vm] = ConfiguredVM{VM: vm, Address: "127.0.0.1:1", DataCentre: fmt.Sprint("dc-", i%3), Size: 1}
	l.rosters[vm] = &Roster{Self: Member{VM: vm, Incarnation: 1, DataCentre: l.vms[vm].DataCentre, Size: 1}, Seed: l.random.Uint64()}
	l.tickAt[vm] = l.firstTick()
	l.running = append(l.running, vm)
	return vm
}

// firstTick returns a random time within the next period.
func (l *timeline) firstTick() time.Time {
	return l.now.Add(time.Duration(l.random.IntN(int(ProbePeriod/slot))) * slot)
}

// start starts a router that reads the registrations, and that the others read of somewhat later.
func (l *timeline) start(i int) {
	vm := l.add(i)
	l.readRegistrations(vm)
	at := l.now.Add(announced)
	l.later[at] = append(l.later[at], func() {
		for _, other := range l.running {
			l.readRegistrations(other)
		}
	})
}

// readRegistrations gives a router the registrations that exist, as internal/gateway does.
func (l *timeline) readRegistrations(vm string) {
	var vms []ConfiguredVM
	var members []Member
	for i := range len(l.vms) {
		other := name(i)
		if at, lost := l.lostAt[other]; lost && l.now.Sub(at) >= leaseTTL {
			if p := l.rosters[vm].peers[other]; p == nil {
				continue // A router keeps the registrations that it has read.
			}
		}
		vms = append(vms, l.vms[other])
		members = append(members, Member{VM: other, Incarnation: 1})
	}
	l.rosters[vm].Handle(l.now, Configured{vms})
	l.rosters[vm].Handle(l.now, UpdatesReceived{members})
}

// lose ends the routers of some VMs without notice.
func (l *timeline) lose(vms ...string) {
	for _, vm := range vms {
		l.lostAt[vm] = l.now
	}
	var running []string
	for _, vm := range l.running {
		if _, lost := l.lostAt[vm]; !lost {
			running = append(running, vm)
		}
	}
	l.running = running
}

// step lets one slot pass.
func (l *timeline) step() {
	l.now = l.now.Add(slot)
	for _, f := range l.later[l.now] {
		f()
	}
	for _, f := range l.failing[l.now] {
		if _, lost := l.lostAt[f.from]; !lost {
			l.rosters[f.from].Handle(l.now, ProbeFailed{f.vm})
		}
	}
	for _, vm := range l.running {
		if !l.now.Before(l.tickAt[vm]) {
			l.tickAt[vm] = l.now.Add(ProbePeriod)
			l.carryOut(vm, l.rosters[vm].Handle(l.now, Tick{}))
		}
	}
}

// carryOut sends probes and delivers their answers.
func (l *timeline) carryOut(from string, actions []Action) {
	for _, action := range actions {
		probe, ok := action.(Probe)
		if !ok {
			continue
		}
		if _, lost := l.lostAt[probe.VM]; lost {
			at := l.now.Add(probeTimeout)
			l.failing[at] = append(l.failing[at], failure{from, probe.VM})
			continue
		}
		l.carryOut(probe.VM, l.rosters[probe.VM].Handle(l.now, UpdatesReceived{probe.Updates}))
		answer := l.rosters[probe.VM].UpdatesFor(from)
		l.carryOut(from, l.rosters[from].Handle(l.now, UpdatesReceived{answer}))
	}
}

func (l *timeline) run(d time.Duration) {
	for end := l.now.Add(d); l.now.Before(end); {
		l.step()
	}
}

// namedFor returns the longest time after its loss for which a router is named now.
func (l *timeline) namedFor() time.Duration {
	var longest time.Duration
	for _, vm := range l.running {
		for _, m := range l.rosters[vm].Listed() {
			if at, lost := l.lostAt[m.VM]; lost {
				longest = max(longest, l.now.Sub(at))
			}
		}
	}
	return longest
}

// listed returns the mean share of the running routers that the running routers name.
func (l *timeline) listed() float64 {
	n := 0
	for _, vm := range l.running {
		n += len(l.rosters[vm].Listed())
	}
	return float64(n) / float64(len(l.running)*len(l.running))
}

// dataCentre returns the VMs of a data centre.
func (l *timeline) dataCentre(name string) []string {
	var vms []string
	for _, vm := range l.running {
		if l.vms[vm].DataCentre == name {
			vms = append(vms, vm)
		}
	}
	return vms
}

// settle lets all rosters know of each other for a minute, with nothing left to pass on.
func (l *timeline) settle() {
	var all []Member
	for _, vm := range l.running {
		r := l.rosters[vm]
		r.Self.Heartbeat = 100
		all = append(all, r.Self)
	}
	for _, vm := range l.running {
		r := l.rosters[vm]
		r.Handle(l.now, UpdatesReceived{all})
		for _, p := range r.peers {
			p.transmits = len(all)
		}
	}
	l.now = l.now.Add(time.Minute)
	for _, vm := range l.running {
		l.tickAt[vm] = l.firstTick()
	}
	l.run(2 * time.Second)
}

// watch lets time pass while the load of routers changes and a router starts each second of the first 12. It returns the
// longest time after its loss for which a router was named.
func (l *timeline) watch(d time.Duration) time.Duration {
	var longest time.Duration
	began, next := l.now, len(l.vms)
	for slots := 0; l.now.Before(began.Add(d)); slots++ {
		if slots%10 == 5 && slots < 120 {
			l.start(next)
			next++
		}
		vm := l.running[l.random.IntN(len(l.running))]
		l.carryOut(vm, l.rosters[vm].Handle(l.now, SelfChanged{Load: float64(l.random.IntN(2))}))
		l.step()
		longest = max(longest, l.namedFor())
	}
	return longest
}

// TestLostRoutersAreNotNamedForLong guards against answers of the directory that name a router that was lost more than 7 s
// before. Routers that had just started took the registrations of lost routers for signs of life, and after the loss of a
// data centre the others were told of each loss one by one: at 73 and 295 routers, lost ones were named until the end of this
// test.
func TestLostRoutersAreNotNamedForLong(t *testing.T) {
	t.Parallel()
	for _, n := range []int{6, 73, 295} {
		for _, whole := range []bool{false, true} {
			l := newTimeline(n, uint64(n))
			l.settle()
			lost := l.dataCentre("dc-1")
			if !whole {
				lost = lost[:1]
			}
			l.lose(lost...)
			named := l.watch(16 * time.Second)
			t.Logf("%d routers, %d lost: named for up to %s; then %.2f of the running ones are named", n, len(lost), named, l.listed())
			assert.LessOrEqual(t, named, maxNamed, "%d routers, %d lost", n, len(lost))
		}
	}
}

// TestRoutersAreNamedSoonAfterTheStartOfTheFleet guards against directories that name few routers for long, so that callers
// gather at these, because registrations are no signs of life.
func TestRoutersAreNamedSoonAfterTheStartOfTheFleet(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		VMs   int
		After time.Duration
	}{{6, 2 * time.Second}, {73, 5 * time.Second}, {295, 12 * time.Second}} {
		l := newTimeline(test.VMs, 1)
		l.run(test.After)
		t.Logf("%d routers: after %s %.2f are named", test.VMs, test.After, l.listed())
		require.Greater(t, l.listed(), 0.6)
	}
}

// TestLossOfFewRoutersDoubtsNoOthers guards against data centres that vanish from the directory because some routers there
// are lost while the others show signs of life.
func TestLossOfFewRoutersDoubtsNoOthers(t *testing.T) {
	l := newTimeline(73, 2)
	l.settle()
	l.lose(l.dataCentre("dc-1")[:6]...)
	l.run(10 * time.Second)
	require.InDelta(t, 1, l.listed(), 0.02)
}

// TestRegistrationIsNoSignOfLife guards against a router that names another one of which it knows only a registration.
func TestRegistrationIsNoSignOfLife(t *testing.T) {
	r := &Roster{Self: Member{VM: "a", Incarnation: 1, Size: 1}}
	r.Handle(start, Configured{[]ConfiguredVM{{VM: "b", Size: 1}}})
	r.Handle(start, UpdatesReceived{[]Member{{VM: "b", Incarnation: 1}}})
	require.Equal(t, []string{"a"}, vms(r.Listed()))
	r.Handle(start, UpdatesReceived{[]Member{{VM: "b", Incarnation: 1, Heartbeat: 1}}})
	require.Equal(t, []string{"a", "b"}, vms(r.Listed()))
	r.Handle(start, UpdatesReceived{[]Member{{VM: "b", Incarnation: 2}}})
	require.Equal(t, []string{"a"}, vms(r.Listed()), "the new incarnation has given no sign of life yet")
}

// TestNewIncarnationIsToldOfLosses guards against a router that has just started and is not told of routers lost before, as
// the updates about them have been passed on often enough.
func TestNewIncarnationIsToldOfLosses(t *testing.T) {
	r := &Roster{Self: Member{VM: "a", Incarnation: 1, Size: 1}}
	r.Handle(start, Configured{[]ConfiguredVM{{VM: "b"}, {VM: "c"}, {VM: "d"}}})
	r.Handle(start, UpdatesReceived{[]Member{{VM: "b", Incarnation: 1, Heartbeat: 1, State: Dead}, {VM: "c", Incarnation: 1, Heartbeat: 1}}})
	for len(r.Updates()) > 1 { // Until all updates have been passed on often enough.
	}
	now := start.Add(25 * time.Second)
	r.Handle(now, UpdatesReceived{[]Member{{VM: "d", Incarnation: 1}}})
	require.Equal(t, []string{"a", "b"}, vms(r.UpdatesFor("d")))
	require.Equal(t, []string{"a"}, vms(r.UpdatesFor("c")), "only the new one")
	r.Handle(now, UpdatesReceived{[]Member{{VM: "c", Incarnation: 1, Heartbeat: 9}}})
	require.Equal(t, []string{"a", "b", "c"}, vms(r.UpdatesFor("d")), "and of routers that just showed a sign of life")
	r.Handle(start.Add(time.Minute), Tick{})
	require.Equal(t, []string{"a"}, vms(r.UpdatesFor("d")))
}
