package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/pkg/route"
)

// TestRequestWaitsForTheFirstReadOfTheEntries guards against the refusal of requests, for want of an endpoint, that arrive after the
// start of a router and before it has read the entries.
func TestRequestWaitsForTheFirstReadOfTheEntries(t *testing.T) {
	g := newTestGateway(t)
	g.table.Store(route.NewTable(route.Configuration{Version: 1}))
	now := time.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.entries.known.await(now, now, now.Add(time.Minute), nil)
	}()
	g.entries.applyChanges(now, []keyvalue.Change{{Entry: keyvalue.Entry{Key: "e/a", Value: []byte("ready")}}})
	select {
	case <-done:
		require.Fail(t, "a change is no read of all entries")
	case <-time.After(50 * time.Millisecond):
	}
	g.entries.applySnapshot(now, []keyvalue.Entry{{Key: "e/a", Value: []byte("ready")}})
	select {
	case <-done:
	case <-time.After(entriesWait / 2):
		require.Fail(t, "the request still waits")
	}
}

// TestRequestDoesNotWaitLongForTheEntries checks the bounds of the wait while the store is away.
func TestRequestDoesNotWaitLongForTheEntries(t *testing.T) {
	gone := make(chan struct{})
	close(gone)
	for name, wait := range map[string]func(k *entriesKnown, now time.Time){
		"started long ago": func(k *entriesKnown, now time.Time) { k.await(now, now.Add(-entriesWait), now.Add(time.Hour), nil) },
		"short deadline":   func(k *entriesKnown, now time.Time) { k.await(now, now, now.Add(100*time.Millisecond), nil) },
		"caller left":      func(k *entriesKnown, now time.Time) { k.await(now, now, now.Add(time.Hour), gone) },
	} {
		var k entriesKnown
		now := time.Now()
		wait(&k, now)
		require.Less(t, time.Since(now), time.Second, name)
	}
}
