package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/internal/feed"
)

// TestOverdueWatchIsNotVouchedForByOtherAnswers guards against review/6 (DRAIN) at followers: a reader whose watch had got no
// answer passed on old entries as recent, because the store answered its other calls.
func TestOverdueWatchIsNotVouchedForByOtherAnswers(t *testing.T) {
	var r relay
	require.True(t, r.apply(feed.Update{Snapshot: true, Revision: 1}, start))
	require.Equal(t, time.Second, r.age(start.Add(time.Second), start.Add(time.Second)), "without a watch other answers say nothing")
	r.expectAnswer(start.Add(watchWait))
	at := start.Add(watchWait / 2)
	require.Zero(t, r.age(at, at), "the store answers while the watch waits")
	at = start.Add(watchWait + time.Second)
	require.Equal(t, time.Second, r.age(at, at), "the watch is overdue")
	_, recent := r.poll(at, at)
	require.False(t, recent)
	require.True(t, r.apply(feed.Update{Revision: 1}, at))
	require.Zero(t, r.age(at, start))
}
