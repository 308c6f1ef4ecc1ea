package standin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestControlChecksFencingUnlessIgnored(t *testing.T) {
	var c controlState
	require.True(t, c.apply(Control{Fence: 2, Role: "prefill"}, false))
	require.False(t, c.apply(Control{Fence: 1, Role: "decode"}, false))
	require.Equal(t, "prefill", c.get().Role)
	require.True(t, c.apply(Control{Fence: 1, Role: "decode"}, true))
}

func TestCacheEventsAreDelayedAndLost(t *testing.T) {
	var c prefixCache
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	for i := range uint64(maxPrefixes + 1) {
		c.recordUse(now, i)
	}
	last, events := c.eventsAfter(now, 0, time.Second, 0)
	require.Zero(t, last)
	require.Empty(t, events)
	last, events = c.eventsAfter(now.Add(time.Second), 0, time.Second, 0)
	require.EqualValues(t, maxPrefixes+2, last)
	require.Len(t, events, maxPrefixes+2)
	require.True(t, events[len(events)-1].Dropped)
	_, events = c.eventsAfter(now, 10, 0, 4)
	for _, e := range events {
		require.Greater(t, e.Sequence, uint64(10))
		require.NotZero(t, e.Sequence%4)
	}
}
