package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestOutageCancelsPendingWatches(t *testing.T) {
	var r storeReachability
	pending := r.watchContext()
	require.False(t, r.unreachable(start))
	r.markUnreachable()
	require.Error(t, pending.Err())
	require.NoError(t, r.watchContext().Err(), "the context of the next watch is not cancelled")
	require.True(t, r.unreachable(start))
	answered := r.nextAnswer()
	r.markReachable(start)
	<-answered
	require.Nil(t, r.nextAnswer())
}

// TestStoreCountsAsUnreachableShortlyAfterRecovery guards against 78 routers writing the records of all budgets at once when
// the store recovers; the homes of the budgets draw first.
func TestStoreCountsAsUnreachableShortlyAfterRecovery(t *testing.T) {
	var r storeReachability
	r.markUnreachable()
	r.markReachable(start)
	require.True(t, r.unreachable(start.Add(peerRecoveryDelay/2)))
	require.False(t, r.unreachable(start.Add(peerRecoveryDelay)))
	r.markReachable(start.Add(time.Minute))
	require.False(t, r.unreachable(start.Add(time.Minute)), "an answer while the store is reachable is not a recovery")
}
