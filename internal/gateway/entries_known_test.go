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
	go func() { done <- g.entries.known.await(now, now, now.Add(time.Minute), nil, never) }()
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

// never reports that the endpoints known do not serve a request.
func never() bool { return false }

// TestRequestWaitsOnlyForAnEndpointOfItsService guards against routers of a fleet with many endpoints that serve nothing for
// seconds after a start of all, as all entries take so long to read.
func TestRequestWaitsOnlyForAnEndpointOfItsService(t *testing.T) {
	g := newTestGateway(t)
	now := time.Now()
	done := make(chan bool, 1)
	serves := func() bool { return g.endpoints.Serves([]string{"s"}) }
	go func() { done <- g.entries.known.await(now, now, now.Add(time.Minute), nil, serves) }()
	require.False(t, g.endpoints.Serves([]string{"s"}))
	g.feeds[endpointsFeed].onPage(now, []keyvalue.Entry{{Key: "e/a", Value: []byte("ready")}})
	select {
	case known := <-done:
		require.True(t, known)
	case <-time.After(entriesWait / 2):
		require.Fail(t, "the request still waits")
	}
	require.True(t, g.endpoints.MaySend("a"))
	require.False(t, g.endpoints.Serves([]string{"s", "other"}), "a request that may go to either waits for both")
	g.feeds[endpointsFeed].onPage(now, []keyvalue.Entry{{Key: "e/b", Value: []byte("ready")}})
	require.True(t, g.endpoints.MaySend("a"), "an endpoint that is not in a page is not missing")
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
		require.Equal(t, tc.admitted, k.await(now, now.Add(-tc.started), now.Add(tc.timeLeft), tc.gone, never), tc.name)
		require.Less(t, time.Since(now), time.Second, tc.name)
	}
}
