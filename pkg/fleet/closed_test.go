package fleet

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// setClosed changes whether a VM refuses connections and carries out the resulting probes.
func (c *cluster) setClosed(vm int, closed bool) {
	c.now = c.now.Add(ProbePeriod / 10) // Between two periods.
	r := c.rosters[vm]
	for _, action := range r.Handle(c.now, SelfChanged{Closed: closed}) {
		if probe, ok := action.(Probe); ok {
			c.probe(r, probe)
		}
	}
}

// knownClosed returns the number of rosters, other than the VM's own, that know that the VM refuses connections.
func (c *cluster) knownClosed(vm string) int {
	n := 0
	for _, r := range c.rosters {
		if p, ok := r.peers[vm]; ok && p.known && p.Closed {
			n++
		}
	}
	return n
}

// TestClosedRouterIsAnnouncedAtOnce guards against lists that name a router that refuses connections, or that leave one out that
// has opened again, because a listener is closed for only 2.5 s.
func TestClosedRouterIsAnnouncedAtOnce(t *testing.T) {
	for _, vms := range []int{2, 6, 73, 295} {
		c := newCluster(vms)
		c.introduce()
		for _, closed := range []bool{true, false} {
			want := 0
			if closed {
				want = vms - 1
			}
			c.messages, c.bytes = 0, 0
			c.setClosed(1, closed)
			t.Logf("%d VMs, closed %v: %d messages and %d bytes at once", vms, closed, c.messages, c.bytes)
			atOnce := c.knownClosed(name(1))
			if closed {
				require.GreaterOrEqual(t, atOnce, min(AnnounceFanout, vms-1))
			} else {
				require.LessOrEqual(t, atOnce, vms-1-min(AnnounceFanout, vms-1))
			}
			periods := c.periodsUntil(50, func() bool { return c.knownClosed(name(1)) == want })
			t.Logf("%d VMs, closed %v: known by all after %d periods", vms, closed, periods)
			require.LessOrEqual(t, periods, 8)
		}
	}
}

// TestOlderUpdateDoesNotOpenARouter guards against late updates that bring a closed router back to the lists.
func TestOlderUpdateDoesNotOpenARouter(t *testing.T) {
	c := newCluster(2)
	c.introduce()
	before := c.rosters[1].Self
	c.setClosed(1, true)
	c.rosters[0].Handle(c.now, UpdatesReceived{[]Member{before}})
	require.Equal(t, 1, c.knownClosed(name(1)))
	c.setClosed(1, false)
	require.Zero(t, c.knownClosed(name(1)))
}

// TestRestartedRouterIsOpen guards against a router that was killed while closed and stays off the lists.
func TestRestartedRouterIsOpen(t *testing.T) {
	r := &Roster{Self: Member{VM: "self", Incarnation: 1}}
	now := time.Unix(0, 0)
	r.Handle(now, Configured{[]ConfiguredVM{{VM: "self"}, {VM: "other"}}})
	r.Handle(now, UpdatesReceived{[]Member{{VM: "other", Incarnation: 1, Heartbeat: 100, Closed: true}}})
	r.Handle(now, UpdatesReceived{[]Member{{VM: "other", Incarnation: 2}}})
	require.Len(t, r.Peers(), 1)
	require.False(t, r.Peers()[0].Closed)
}

// TestOpenRoutersHaveNoNewField guards against messages that a router of an earlier build refuses because of an unknown field.
func TestOpenRoutersHaveNoNewField(t *testing.T) {
	text, err := json.Marshal(Member{VM: "vm", Incarnation: 1})
	require.NoError(t, err)
	require.NotContains(t, string(text), "Closed")
}
