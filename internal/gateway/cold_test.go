package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/route"
)

// TestLongestColdTimeOfEntriesCounts guards against late or repeated entries that shorten the time for which an endpoint is cold.
func TestLongestColdTimeOfEntriesCounts(t *testing.T) {
	s := &route.Service{Name: "s", ColdRate: 8.8, ColdFor: 3 * time.Second}
	var ep trackedEndpoint
	var spec endpoint.Endpoint
	ep.ColdFor = 3 * time.Second
	ep.observeCold(start)
	ep.ColdFor = time.Second
	ep.observeCold(start.Add(500 * time.Millisecond))
	ep.ColdFor = 0
	ep.observeCold(start.Add(time.Second))
	ep.describeCold(start.Add(time.Second), s, &spec)
	require.Equal(t, endpoint.Endpoint{ColdRate: 8.8, ColdFor: 3 * time.Second, ColdLeft: 2 * time.Second}, spec)
	ep.describeCold(start.Add(time.Minute), s, &spec)
	require.Zero(t, spec.ColdLeft)
}

// TestRestartedEndpointForgetsColdTimeOfItsPredecessor guards against a time that outlives the process whose entry named it.
func TestRestartedEndpointForgetsColdTimeOfItsPredecessor(t *testing.T) {
	e := newEntries("a")
	e.tracked["a"].coldUntil = start.Add(time.Hour)
	e.tracked["a"].StartedAt = -1 // The entry that follows has 0, a later start.
	e.applyChanges(start, []keyvalue.Change{{Entry: keyvalue.Entry{Key: "e/a", Value: []byte("ready")}}})
	require.Zero(t, e.tracked["a"].coldUntil)
}
