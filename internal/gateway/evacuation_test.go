package gateway

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/foxtaillanding/foxtaillanding/internal/feed"
	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/internal/peer"
	"github.com/foxtaillanding/foxtaillanding/pkg/route"
)

// newEvacuating returns a gateway with evacuations and its log. It has endpoints a and b in dc-1 and c in dc-2.
func newEvacuating(t *testing.T) (*Gateway, *observer.ObservedLogs) {
	core, lines := observer.New(zap.InfoLevel)
	g, err := New(Config{Dialect: entryDialect{}, Store: unreachableStore{}, Features: Features{Evacuations: true}, Log: zap.New(core)})
	require.NoError(t, err)
	g.table.Store(route.NewTable(route.Configuration{Version: 1}))
	for _, name := range []string{"a", "b", "c"} {
		g.entries.applyChanges(g.started, []keyvalue.Change{{Entry: keyvalue.Entry{Key: "e/" + name, Value: []byte("ready")}}})
		g.entries.tracked[name].DataCentre = "dc-1"
	}
	g.entries.tracked["c"].DataCentre = "dc-2"
	return g, lines
}

// keysOf returns the keys of evacuated data centres as changes, the first one with the lowest version.
func keysOf(dataCentres ...string) []keyvalue.Change {
	var changes []keyvalue.Change
	for i, name := range dataCentres {
		changes = append(changes, keyvalue.Change{Entry: keyvalue.Entry{Key: "v/" + name, Value: []byte("{}"), Version: uint64(i + 1)}})
	}
	return changes
}

func snapshot(revision uint64, dataCentres ...string) feed.Update {
	return feed.Update{Snapshot: true, Revision: revision, Changes: keysOf(dataCentres...)}
}

// leaving returns the endpoints that get no new requests.
func leaving(now time.Time, g *Gateway) []string {
	var names []string
	for _, v := range g.endpoints.State(now).Endpoints {
		if v.Leaving {
			names = append(names, v.Name)
		}
	}
	slices.Sort(names)
	return names
}

// TestEvacuatedEndpointsGetNoNewRequests guards against endpoints of an evacuated data centre that stay in use, of another one
// that do not, and of one whose evacuation has ended that stay unused.
func TestEvacuatedEndpointsGetNoNewRequests(t *testing.T) {
	g, lines := newEvacuating(t)
	now := g.started.Add(time.Second)
	v := &g.evacuations
	v.applyUpdate(now, snapshot(5))
	require.Empty(t, leaving(now, g))
	v.applyUpdate(now, feed.Update{Revision: 6, Changes: keysOf("dc-1")})
	require.Equal(t, []string{"a", "b"}, leaving(now, g))
	require.EqualValues(t, 1, v.count())
	line := lines.FilterMessage("evacuation in force").All()[0].ContextMap()
	require.Equal(t, map[string]any{"DataCentre": "dc-1", "Revision": uint64(6), "Source": "store"}, line)
	v.applyUpdate(now, feed.Update{Revision: 7, Changes: keysOf("dc-2")})
	require.Equal(t, []string{"a", "b", "c"}, leaving(now, g))
	deleted := keysOf("dc-1")
	deleted[0].Deleted = true
	v.applyUpdate(now, feed.Update{Revision: 8, Changes: deleted})
	require.Equal(t, []string{"c"}, leaving(now, g))
	require.Equal(t, 1, lines.FilterMessage("evacuation ended").Len())
	v.applyUpdate(now, snapshot(9))
	require.Empty(t, leaving(now, g), "a key that a complete read no longer shows has ended")
	require.Zero(t, v.count())
}

// TestEndpointsAreColdAfterAnEvacuation guards against endpoints that get the full load again although they may have become
// cold, and against the report of a data centre that is not concerned.
func TestEndpointsAreColdAfterAnEvacuation(t *testing.T) {
	g, lines := newEvacuating(t)
	now := g.started.Add(time.Second)
	g.evacuations.applyUpdate(now, snapshot(5, "dc-1", "dc-2"))
	require.Zero(t, lines.FilterMessage("endpoints taken for cold").Len())
	g.evacuations.applyUpdate(now, snapshot(6, "dc-2"))
	lines = lines.FilterMessage("endpoints taken for cold")
	require.Equal(t, 1, lines.Len(), "reportColdEndpoints is called")
	require.Equal(t, []any{"a", "b"}, lines.All()[0].ContextMap()["Endpoints"])

	g, _ = newEvacuating(t)
	g.evacuations.applyUpdate(now, snapshot(5, "dc-1"))
	g.evacuations.onEnded = func(at time.Time, names []string) {
		require.Equal(t, now, at)
		require.Equal(t, []string{"a", "b"}, names)
		require.Equal(t, []string{"a", "b"}, leaving(now, g), "before they get requests again")
	}
	g.evacuations.applyUpdate(now, snapshot(6))
	require.Empty(t, leaving(now, g))
}

// TestNewestSetOfEvacuationsIsInForce guards against a set that an older one replaces, from a peer that is behind or from a
// store that this router reaches through a reader that is behind.
func TestNewestSetOfEvacuationsIsInForce(t *testing.T) {
	g, _ := newEvacuating(t)
	now := g.started.Add(time.Second)
	v := &g.evacuations
	v.applyUpdate(now, snapshot(5, "dc-1"))
	v.Adopt(now, peer.EvacuatedSet{Revision: 4}, "vm-2.1")
	require.Equal(t, []string{"a", "b"}, leaving(now, g))
	v.Adopt(now, peer.EvacuatedSet{Revision: 8, DataCentres: []string{"dc-2"}}, "vm-2.1")
	require.Equal(t, []string{"c"}, leaving(now, g))
	v.applyUpdate(now, feed.Update{Revision: 7, Changes: keysOf("dc-3")})
	require.Equal(t, []string{"c"}, leaving(now, g))
	deleted := keysOf("dc-1")
	deleted[0].Deleted = true
	v.applyUpdate(now, feed.Update{Revision: 9, Changes: slices.Concat(deleted, keysOf("dc-2"))})
	require.Equal(t, []string{"c"}, leaving(now, g))
	require.Equal(t, []string{"dc-2", "dc-3"}, v.Newest().DataCentres, "the feed's own set is complete")
	v.applyUpdate(now, feed.Update{Revision: 10})
	require.EqualValues(t, 9, v.Newest().Revision, "an update without changes is not told to all peers again")
	const nextEra = 1 << 40
	v.applyUpdate(now, snapshot(nextEra+1, "dc-1"))
	require.Equal(t, []string{"a", "b"}, leaving(now, g), "the store came back from an older copy")
}

// TestMalformedEvacuationsAreIgnored guards against keys and messages of other writers that displace evacuations or fill the log.
func TestMalformedEvacuationsAreIgnored(t *testing.T) {
	g, lines := newEvacuating(t)
	now := g.started.Add(time.Second)
	v := &g.evacuations
	names := []string{"dc-1", "", ""}
	for i := range 2 * maxEvacuated {
		names = append(names, fmt.Sprint("a-", i))
	}
	v.applyUpdate(now, snapshot(5, names...))
	require.EqualValues(t, maxEvacuated, v.count())
	require.Equal(t, []string{"a", "b"}, leaving(now, g), "the oldest keys count")
	ignored := lines.FilterMessage("evacuation keys ignored")
	require.Equal(t, 1, ignored.Len())
	require.EqualValues(t, 2+1+maxEvacuated, ignored.All()[0].ContextMap()["Keys"])
	for _, malformed := range [][]string{names, {""}, {strings.Repeat("x", maxEvacuatedName+1)}} {
		v.Adopt(now, peer.EvacuatedSet{Revision: 100, DataCentres: malformed}, "vm-2.1")
		require.EqualValues(t, 5, v.Newest().Revision)
	}
	require.Equal(t, 3, lines.FilterMessage("evacuations not adopted").Len())
}

// TestStartingRouterAwaitsTheEvacuations guards against requests that a router sends to an evacuated data centre because it
// has read the entries of the endpoints first, and against one that never uses any because it is told of no evacuations.
func TestStartingRouterAwaitsTheEvacuations(t *testing.T) {
	g, _ := newEvacuating(t)
	now := g.started.Add(evacuationsWait - time.Second)
	require.True(t, g.entries.tick(now))
	require.Empty(t, g.endpoints.State(now).Endpoints)
	g.evacuations.Adopt(now, peer.EvacuatedSet{Revision: 5, DataCentres: []string{"dc-1"}}, "vm-2.1")
	require.Len(t, g.endpoints.State(now).Endpoints, 3)
	require.Equal(t, []string{"a", "b"}, leaving(now, g))

	g, _ = newEvacuating(t)
	now = g.started.Add(evacuationsWait)
	g.entries.tick(now)
	require.Len(t, g.endpoints.State(now).Endpoints, 3)
	require.Empty(t, leaving(now, g))
}

// TestEvacuationsAreOffWithoutTheFeature guards against a deployment without evacuations that reads their keys or waits for them.
func TestEvacuationsAreOffWithoutTheFeature(t *testing.T) {
	g := newTestGateway(t)
	require.NotContains(t, g.feeds, evacuationsFeed)
	require.Nil(t, g.peers.Evacuations)
	require.Nil(t, g.peerService.Evacuations)
	require.False(t, g.evacuations.awaited(g.started, evacuationsWait))
}
