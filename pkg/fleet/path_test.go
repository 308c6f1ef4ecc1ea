package fleet

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// withoutPath returns the number of rosters, other than the VM's own, that know that the VM reaches no endpoint.
func (c *cluster) withoutPath(vm string) int {
	n := 0
	for _, r := range c.rosters {
		if p, ok := r.peers[vm]; ok && p.known && p.NoPath {
			n++
		}
	}
	return n
}

// introduce lets all rosters know of each other, with nothing left to pass on.
func (c *cluster) introduce() {
	var all []Member
	for _, r := range c.rosters {
		r.Self.Heartbeat = 1 // Otherwise they would still have to pass on each other's first heartbeat.
		all = append(all, r.Self)
	}
	for _, r := range c.rosters {
		r.Handle(c.now, UpdatesReceived{all})
		for _, p := range r.peers {
			p.transmits = len(c.rosters)
		}
	}
}

// setPath changes whether a VM reaches no endpoint and carries out the resulting probes.
func (c *cluster) setPath(vm int, noPath bool) {
	c.now = c.now.Add(ProbePeriod / 10) // Between two periods.
	r := c.rosters[vm]
	for _, action := range r.Handle(c.now, SelfChanged{NoPath: noPath}) {
		if probe, ok := action.(Probe); ok {
			c.probe(r, probe)
		}
	}
}

func TestLostPathIsPassedOn(t *testing.T) {
	for _, test := range []struct{ VMs, Periods int }{{2, 0}, {6, 0}, {73, 6}, {295, 8}} {
		c := newCluster(test.VMs)
		c.introduce()
		for _, noPath := range []bool{true, false} {
			want := 0
			if noPath {
				want = test.VMs - 1
			}
			c.messages, c.bytes = 0, 0
			c.setPath(1, noPath)
			messages, bytes := c.messages, c.bytes
			periods := c.periodsUntil(50, func() bool { return c.withoutPath(name(1)) == want })
			t.Logf("%d VMs, no path %v: known by all after %d periods; %d messages and %d bytes at once", test.VMs, noPath, periods, messages, bytes)
			require.LessOrEqual(t, periods, test.Periods, "%d VMs, no path %v", test.VMs, noPath)
		}
	}
}

func TestOlderUpdateDoesNotChangeThePath(t *testing.T) {
	c := newCluster(2)
	c.introduce()
	before := c.rosters[1].Self
	c.setPath(1, true)
	require.Equal(t, 1, c.withoutPath(name(1)))
	c.rosters[0].Handle(c.now, UpdatesReceived{[]Member{before}})
	require.Equal(t, 1, c.withoutPath(name(1)))
	c.setPath(1, false)
	require.Zero(t, c.withoutPath(name(1)))
}

func TestPathCostsBytesOnlyWhileLost(t *testing.T) {
	member := Member{VM: "front-kal-north-1", Incarnation: 1796400000000000000, Heartbeat: 4000, Load: 1, Revision: 40}
	with, err := json.Marshal(member)
	require.NoError(t, err)
	member.NoPath = true
	without, err := json.Marshal(member)
	require.NoError(t, err)
	t.Logf("a member takes %d bytes, %d without a path", len(with), len(without))
	require.Equal(t, len(`,"NoPath":true`), len(without)-len(with))
}
