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

// cluster drives rosters through probe periods; messages arrive without delay.
//
// It counts the messages and their bytes as JSON.
type cluster struct {
	rosters     []*Roster
	partitioned map[string]bool // VMs that neither probe nor answer.
	now         time.Time
	messages    int
	bytes       int
}

func newCluster(n int) *cluster {
	c := &cluster{partitioned: map[string]bool{}, now: start}
	var vms []ConfiguredVM
	for i := range n {
		vms = append(vms, ConfiguredVM{VM: name(i), Address: fmt.Sprintf("127.0.0.1:%d", 21000+i), DataCentre: fmt.Sprint("dc-", i%3), Size: 1})
	}
	for i := range n {
		r := &Roster{Self: Member{VM: name(i), Incarnation: 1, Address: vms[i].Address, Size: 1}, Seed: uint64(i)}
		r.Handle(c.now, Configured{vms})
		c.rosters = append(c.rosters, r)
	}
	return c
}

func name(i int) string { return fmt.Sprintf("vm-%03d", i) }

func (c *cluster) period() {
	c.now = c.now.Add(ProbePeriod)
	for _, r := range c.rosters {
		if c.partitioned[r.Self.VM] {
			continue
		}
		for _, action := range r.Handle(c.now, Tick{}) {
			if probe, ok := action.(Probe); ok {
				c.probe(r, probe)
			}
		}
	}
}

func (c *cluster) probe(from *Roster, probe Probe) {
	c.count(probe.Updates)
	for _, to := range c.rosters {
		if to.Self.VM == probe.VM && !c.partitioned[probe.VM] {
			to.Handle(c.now, UpdatesReceived{probe.Updates})
			answer := to.Updates()
			c.count(answer)
			from.Handle(c.now, UpdatesReceived{answer})
			return
		}
	}
	from.Handle(c.now, ProbeFailed{probe.VM})
}

func (c *cluster) count(updates []Member) {
	body, _ := json.Marshal(updates)
	c.messages++
	c.bytes += len(body)
}

// listedBy returns the number of other rosters in which the VM is alive, so that their entry lists may contain it.
func (c *cluster) listedBy(vm string) int {
	n := 0
	for _, r := range c.rosters {
		if p, ok := r.peers[vm]; ok && p.known && p.State == Alive {
			n++
		}
	}
	return n
}

func (c *cluster) periodsUntil(limit int, done func() bool) int {
	for i := range limit {
		if done() {
			return i
		}
		c.period()
	}
	return limit
}

func TestCostPerVMDoesNotGrowWithFleet(t *testing.T) {
	const limitBytesPerSecond = 2000 // Control traffic allotted to one VM at the users' fleet size.
	for _, n := range []int{6, 43, 430} {
		c := newCluster(n)
		joined := c.periodsUntil(400, func() bool { return c.listedBy(name(0)) == n-1 })
		require.Less(t, joined, 400, "%d VMs", n)
		c.messages, c.bytes = 0, 0
		const periods = 20
		for range periods {
			c.period()
		}
		perVM := float64(c.bytes) / periods / float64(n)
		c.partitioned[name(1)] = true
		lost := c.periodsUntil(400, func() bool { return c.listedBy(name(1)) == 0 })
		t.Logf("%d VMs: joined after %d s, %.1f messages and %.0f bytes per second and VM, lost VM removed from all lists after %d s",
			n, joined, float64(c.messages)/periods/float64(n), perVM, lost)
		require.Less(t, perVM, float64(limitBytesPerSecond), "%d VMs", n)
		require.Less(t, lost, 400)
	}
}

func TestDrainingVMLeavesEntryLists(t *testing.T) {
	c := newCluster(6)
	for range 10 {
		c.period()
	}
	require.Equal(t, 5, c.listedBy(name(2)))
	c.rosters[2].Handle(c.now, SelfChanged{Draining: true})
	require.LessOrEqual(t, c.periodsUntil(20, func() bool { return c.listedBy(name(2)) == 0 }), 5)
}

func TestSuspectedVMRefutes(t *testing.T) {
	c := newCluster(6)
	for range 10 {
		c.period()
	}
	c.rosters[0].Handle(c.now, ProbeFailed{name(3)})
	require.Equal(t, 4, c.listedBy(name(3)))
	for range 10 {
		c.period()
	}
	require.Equal(t, 5, c.listedBy(name(3)))
}

func TestNewIncarnationReplacesOld(t *testing.T) {
	c := newCluster(3)
	for range 5 {
		c.period()
	}
	old := c.rosters[1].Self
	restarted := Member{VM: old.VM, Incarnation: 2}
	c.rosters[0].Handle(c.now, UpdatesReceived{[]Member{restarted}})
	c.rosters[0].Handle(c.now, UpdatesReceived{[]Member{old}})
	for _, m := range c.rosters[0].Peers() {
		if m.VM == old.VM {
			require.Equal(t, restarted.Incarnation, m.Incarnation)
		}
	}
}

func TestEntryListFollowsSizeAndLoad(t *testing.T) {
	r := &Roster{Self: Member{VM: "a", Incarnation: 1, Size: 2}}
	r.Handle(start, Configured{[]ConfiguredVM{{VM: "a", Size: 2}, {VM: "b", Size: 1}, {VM: "c", Size: 1}}})
	r.Handle(start, UpdatesReceived{[]Member{{VM: "b", Incarnation: 1}, {VM: "c", Incarnation: 1}}})
	random := rand.New(rand.NewPCG(1, 1))
	firstCount := map[string]int{}
	const callers = 20000
	for range callers {
		firstCount[r.EntryList(time.Second, random.Float64).Entries[0].VM]++
	}
	require.InDelta(t, 0.5, float64(firstCount["a"])/callers, 0.02)
	require.InDelta(t, 0.25, float64(firstCount["b"])/callers, 0.02)
	r.Handle(start, VMListReceived{[]string{"a", "b"}})
	require.Len(t, r.EntryList(time.Second, random.Float64).Entries, 1)
}

// TestStartingRouterDoesNotTakeOverKeys starts a router that has 77 others configured and has received no update about them.
//
// Otherwise, after a power loss of all routers, each one would consider itself
// the home of every budget and draw a grant from it.
func TestStartingRouterDoesNotTakeOverKeys(t *testing.T) {
	var vms []ConfiguredVM
	for i := range 78 {
		vms = append(vms, ConfiguredVM{VM: fmt.Sprint("vm-", i), Address: fmt.Sprint("a:", i), DataCentre: "dc", Size: 1})
	}
	now := time.Unix(0, 0)
	r := Roster{Self: Member{VM: "vm-0", Incarnation: 1}}
	r.Handle(now, Configured{vms})
	owned := 0
	for key := range 200 {
		owned += len(r.Homes(fmt.Sprint(key), 2))
	}
	require.Less(t, owned, 20, "the router should be among the homes of about 2 in 78 of 200 keys")
	require.Equal(t, 78, r.ExpectedRouters())
	for i := 1; i < 78; i++ {
		r.Handle(now, ProbeFailed{VM: fmt.Sprint("vm-", i)})
	}
	require.Equal(t, []string{r.Self.Name()}, r.Homes("key", 2), "no other router answers")
	r.Handle(now, UpdatesReceived{[]Member{{VM: "vm-1", Incarnation: 7}}})
	require.Len(t, r.Homes("key", 2), 2)
}

func TestNotableChangeOfLoadIsPassedOn(t *testing.T) {
	r := &Roster{Self: Member{VM: "vm-0", Incarnation: 1, Size: 1}}
	r.Handle(start, Configured{VMs: []ConfiguredVM{{VM: "vm-1", Address: "a:1", Size: 1}}})
	receive := func(heartbeat uint64, load float64) {
		r.Handle(start, UpdatesReceived{Updates: []Member{{VM: "vm-1", Incarnation: 1, Heartbeat: heartbeat, Load: load}}})
	}
	receive(1, 0)
	for len(r.Updates()) > 1 { // Until the update has been passed on often enough.
	}
	receive(2, 0.2)
	require.Len(t, r.Updates(), 1)
	receive(3, 1)
	require.Len(t, r.Updates(), 2)
}

// TestLookupsFollowTheMembers compares what a roster has cached with what it would compute, after each of many events.
func TestLookupsFollowTheMembers(t *testing.T) {
	const vms = 9
	rng := rand.New(rand.NewPCG(3, 4))
	c := newCluster(vms)
	r := c.rosters[0]
	now := start
	incarnation := uint64(1)
	for range 4000 {
		now = now.Add(ProbePeriod / 4)
		vm := name(rng.IntN(vms))
		switch rng.IntN(6) {
		case 0:
			r.Handle(now, ProbeFailed{VM: vm})
		case 1:
			r.Handle(now, SelfChanged{Load: rng.Float64(), Draining: rng.IntN(3) == 0})
		case 2:
			incarnation++
			r.Handle(now, UpdatesReceived{[]Member{{VM: vm, Incarnation: incarnation, State: State(rng.IntN(4))}}})
		case 3:
			r.Handle(now, UpdatesReceived{[]Member{{VM: vm, Incarnation: incarnation, Heartbeat: rng.Uint64N(100), State: State(rng.IntN(4))}}})
		default:
			r.Handle(now, Tick{})
		}
		require.Equal(t, r.rankHomes(homesKey{Key: "team", N: 3}), r.Homes("team", 3))
		require.Equal(t, r.rankHomes(homesKey{"dc-1", "team", 3}), r.PreferredIn("dc-1", "team", 3))
		live := map[string]string{}
		for _, p := range r.Peers() {
			live[p.Name()] = p.Address
		}
		for _, p := range r.Members()[1:] {
			address, ok := r.Address(p.Name())
			require.Equal(t, live[p.Name()], address)
			require.Equal(t, live[p.Name()] != "", ok)
		}
	}
}
