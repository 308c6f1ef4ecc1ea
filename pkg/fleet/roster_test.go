package fleet

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// loop drives rosters through probe periods without delay; cut VMs answer nothing.
type loop struct {
	rosters  []*Roster
	cut      map[string]bool
	now      time.Time
	messages int
	bytes    int
}

func newLoop(n int) *loop {
	l := &loop{cut: map[string]bool{}, now: start}
	var seeds []Seed
	for i := range n {
		seeds = append(seeds, Seed{VM: name(i), Address: fmt.Sprintf("127.0.0.1:%d", 21000+i), DataCentre: fmt.Sprint("dc-", i%3), Size: 1})
	}
	for i := range n {
		r := &Roster{Self: Member{VM: name(i), Incarnation: 1, Address: seeds[i].Address, Size: 1}, Seed: uint64(i)}
		r.Handle(l.now, Configured{seeds})
		l.rosters = append(l.rosters, r)
	}
	return l
}

func name(i int) string { return fmt.Sprintf("vm-%03d", i) }

func (l *loop) period() {
	l.now = l.now.Add(ProbePeriod)
	for _, r := range l.rosters {
		if l.cut[r.Self.VM] {
			continue
		}
		for _, action := range r.Handle(l.now, Tick{}) {
			if probe, ok := action.(Probe); ok {
				l.probe(r, probe)
			}
		}
	}
}

func (l *loop) probe(from *Roster, probe Probe) {
	l.count(probe.Updates)
	for _, to := range l.rosters {
		if to.Self.VM == probe.VM && !l.cut[probe.VM] {
			to.Handle(l.now, Heard{probe.Updates})
			answer := to.Updates()
			l.count(answer)
			from.Handle(l.now, Heard{answer})
			return
		}
	}
	from.Handle(l.now, ProbeFailed{probe.VM})
}

func (l *loop) count(updates []Member) {
	body, _ := json.Marshal(updates)
	l.messages++
	l.bytes += len(body)
}

// listing counts the other rosters that hold the VM for alive and so give it to callers.
func (l *loop) listing(vm string) int {
	n := 0
	for _, r := range l.rosters {
		if p, ok := r.peers[vm]; ok && p.known && p.State == Alive {
			n++
		}
	}
	return n
}

func (l *loop) periodsUntil(limit int, done func() bool) int {
	for i := range limit {
		if done() {
			return i
		}
		l.period()
	}
	return limit
}

func TestCostForOneVMDoesNotGrowWithTheFleet(t *testing.T) {
	const limitBytesPerSecond = 2000 // The share of control traffic of a node in the users' size.
	for _, n := range []int{6, 43, 430} {
		l := newLoop(n)
		joined := l.periodsUntil(400, func() bool { return l.listing(name(0)) == n-1 })
		require.Less(t, joined, 400, "%d VMs", n)
		l.messages, l.bytes = 0, 0
		const periods = 20
		for range periods {
			l.period()
		}
		perVM := float64(l.bytes) / periods / float64(n)
		l.cut[name(1)] = true
		lost := l.periodsUntil(400, func() bool { return l.listing(name(1)) == 0 })
		t.Logf("%d VMs: joined after %d s, %.1f messages and %.0f bytes a second for each VM, lost VM in no list after %d s",
			n, joined, float64(l.messages)/periods/float64(n), perVM, lost)
		require.Less(t, perVM, float64(limitBytesPerSecond), "%d VMs", n)
		require.Less(t, lost, 400)
	}
}

func TestDrainingVMLeavesTheLists(t *testing.T) {
	l := newLoop(6)
	for range 10 {
		l.period()
	}
	require.Equal(t, 5, l.listing(name(2)))
	l.rosters[2].Handle(l.now, SelfChanged{Draining: true})
	require.LessOrEqual(t, l.periodsUntil(20, func() bool { return l.listing(name(2)) == 0 }), 5)
}

func TestSuspectedVMRefutes(t *testing.T) {
	l := newLoop(6)
	for range 10 {
		l.period()
	}
	l.rosters[0].Handle(l.now, ProbeFailed{name(3)})
	require.Equal(t, 4, l.listing(name(3)))
	for range 10 {
		l.period()
	}
	require.Equal(t, 5, l.listing(name(3)))
}

func TestNewIncarnationReplacesTheOld(t *testing.T) {
	l := newLoop(3)
	for range 5 {
		l.period()
	}
	old := l.rosters[1].Self
	fresh := Member{VM: old.VM, Incarnation: 2}
	l.rosters[0].Handle(l.now, Heard{[]Member{fresh}})
	l.rosters[0].Handle(l.now, Heard{[]Member{old}})
	for _, m := range l.rosters[0].Peers() {
		if m.VM == old.VM {
			require.Equal(t, fresh.Incarnation, m.Incarnation)
		}
	}
}

func TestEntryListFollowsSizeAndLoad(t *testing.T) {
	r := &Roster{Self: Member{VM: "a", Incarnation: 1, Size: 2}}
	r.Handle(start, Configured{[]Seed{{VM: "a", Size: 2}, {VM: "b", Size: 1}, {VM: "c", Size: 1}}})
	r.Handle(start, Heard{[]Member{{VM: "b", Incarnation: 1}, {VM: "c", Incarnation: 1}}})
	random := rand.New(rand.NewPCG(1, 1))
	firsts := map[string]int{}
	const callers = 20000
	for range callers {
		firsts[r.EntryList(time.Second, random.Float64).Entries[0].VM]++
	}
	require.InDelta(t, 0.5, float64(firsts["a"])/callers, 0.02)
	require.InDelta(t, 0.25, float64(firsts["b"])/callers, 0.02)
	r.Handle(start, PlatformListed{[]string{"a", "b"}})
	require.Len(t, r.EntryList(time.Second, random.Float64).Entries, 1)
}

// TestAStartingRouterDoesNotTakeKeysOver starts a router that was told of 77 others and has heard none of them.
//
// After a loss of power of all routers each one would otherwise take itself
// for the home of every budget and draw a grant of it.
func TestAStartingRouterDoesNotTakeKeysOver(t *testing.T) {
	var seeds []Seed
	for i := range 78 {
		seeds = append(seeds, Seed{VM: fmt.Sprint("vm-", i), Address: fmt.Sprint("a:", i), DataCentre: "dc", Size: 1})
	}
	now := time.Unix(0, 0)
	r := Roster{Self: Member{VM: "vm-0", Incarnation: 1}}
	r.Handle(now, Configured{seeds})
	mine := 0
	for key := range 200 {
		mine += len(r.Homes(fmt.Sprint(key), 2))
	}
	require.Less(t, mine, 20, "about 2 in 78 of 200 keys")
	require.Equal(t, 78, r.Expected())
	for i := 1; i < 78; i++ {
		r.Handle(now, ProbeFailed{VM: fmt.Sprint("vm-", i)})
	}
	require.Equal(t, []string{r.Self.Name()}, r.Homes("key", 2), "nobody else answers")
	r.Handle(now, Heard{[]Member{{VM: "vm-1", Incarnation: 7}}})
	require.Len(t, r.Homes("key", 2), 2)
}
