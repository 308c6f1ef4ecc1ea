package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/internal/feed"
	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
)

// TestChangesOfAnUpdateAreAppliedTogether guards against days of large fleets that took too much processor time: the pool of endpoints
// and the roster were updated for each change of an update, each time in proportion to the size of the fleet.
func TestChangesOfAnUpdateAreAppliedTogether(t *testing.T) {
	const endpoints = 200
	g := newTestGateway(t)
	f := g.feeds[endpointsFeed]
	update := func(changes int) feed.Update {
		var u feed.Update
		for i := range changes {
			u.Changes = append(u.Changes, keyvalue.Change{Entry: keyvalue.Entry{Key: fmt.Sprint("e/", i), Value: []byte("ready")}})
		}
		return u
	}
	f.deliver(start, update(endpoints))
	one := testing.AllocsPerRun(10, func() { f.deliver(start, update(1)) })
	all := testing.AllocsPerRun(10, func() { f.deliver(start, update(endpoints)) })
	require.Less(t, all, 20*one, "200 changes cost much less than 200 times what one does")
}

// TestOneReadOverTheRateLimitIsNoOutage refuses reads of a feed over the rate limit of the store. That is no outage unless it goes on;
// in an outage, routers refuse requests whose tokens they would have to draw.
func TestOneReadOverTheRateLimitIsNoOutage(t *testing.T) {
	g := newTestGateway(t)
	f := g.feeds[endpointsFeed]
	for i, outage := range []bool{false, true} {
		g.recordFailedRead(context.Background(), f, time.Now(), keyvalue.ErrLimited)
		require.True(t, f.failed)
		require.Equal(t, outage, f.outage, "refusal %d", i+1)
		require.Equal(t, outage, g.reachability.unreachable(time.Now()), "refusal %d", i+1)
	}
}
