package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
)

// TestRequestWaitsForTheFirstReadOfTheEntries guards against the refusal of requests, for want of an endpoint, that arrive after the
// start of a router and before it has read the entries.
func TestRequestWaitsForTheFirstReadOfTheEntries(t *testing.T) {
	g := newTestGateway(t)
	now := time.Now()
	done := make(chan bool, 1)
	go func() { done <- g.entries.known.await(now, now, now.Add(time.Minute), nil) }()
	g.entries.applyChanges(now, []keyvalue.Change{{Entry: keyvalue.Entry{Key: "e/a", Value: []byte("ready")}}})
	select {
	case <-done:
		require.Fail(t, "a change is no read of all entries")
	case <-time.After(50 * time.Millisecond):
	}
	g.entries.applySnapshot(now, []keyvalue.Entry{{Key: "e/a", Value: []byte("ready")}})
	select {
	case known := <-done:
		require.True(t, known)
	case <-time.After(entriesWait / 2):
		require.Fail(t, "the request still waits")
	}
}

// TestRequestDoesNotWaitLongForTheEntries checks the bounds of the wait while the store is away.
func TestRequestDoesNotWaitLongForTheEntries(t *testing.T) {
	gone := make(chan struct{})
	close(gone)
	for _, tc := range []struct {
		name     string
		started  time.Duration // Before now.
		timeLeft time.Duration
		gone     chan struct{}
		admitted bool
	}{
		{"started long ago", entriesWait, time.Hour, nil, true},
		{"short deadline", 0, 100 * time.Millisecond, nil, false},
		{"caller left", 0, time.Hour, gone, false},
	} {
		var k entriesKnown
		now := time.Now()
		require.Equal(t, tc.admitted, k.await(now, now.Add(-tc.started), now.Add(tc.timeLeft), tc.gone), tc.name)
		require.Less(t, time.Since(now), time.Second, tc.name)
	}
}
