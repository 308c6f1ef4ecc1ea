package peer

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/internal/placement"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
)

// crashThreeTimes reports three crashes of endpoints that ran a request with a part.
func crashThreeTimes(endpoints *placement.Endpoints, part uint64) {
	for _, name := range []string{"a", "b", "c"} {
		endpoints.Handle(time.Now(), endpoint.Crashed{Endpoint: name, Parts: []endpoint.Part{{ID: part, Tokens: 1}, {ID: 99, Tokens: 1}}})
	}
}

// finish lets a request with a part finish.
func finish(endpoints *placement.Endpoints, part uint64) {
	now := time.Now()
	endpoints.Configure(now, []placement.EndpointConfig{{Endpoint: endpoint.Endpoint{Name: "e", Serves: []string{"m"}, Slots: 1}, Address: "a:1"}}, nil)
	endpoints.Decisions.Open("run")
	parts := []endpoint.Part{{ID: part, Tokens: 1}, {ID: 99, Tokens: 1}}
	endpoints.Handle(now, endpoint.Submitted{Request: endpoint.Request{ID: "run", Service: "m", Parts: parts, Deadline: now.Add(time.Minute)}})
	endpoints.Handle(now, endpoint.Ended{ID: "run", Outcome: endpoint.Finished, Tokens: 1})
}

// TestProbesSpreadThePartsThatCrashEndpoints lets a router that missed the announcement probe one that did not, and lets
// the first know that one of the suspects is sound.
func TestProbesSpreadThePartsThatCrashEndpoints(t *testing.T) {
	s := newService(t, 10)
	crashThreeTimes(s.Endpoints, 7)
	c := newClient(serve(t, s))
	crashThreeTimes(c.Endpoints, 8)
	finish(s.Endpoints, 8)
	address, known := c.Members.VMAddress("vm-1")
	require.True(t, known)
	_, err := c.Probe(address, nil)
	require.NoError(t, err)
	blocked := c.Endpoints.BlockedParts(time.Now())
	require.Len(t, blocked, 1)
	require.EqualValues(t, 7, blocked[0].Fingerprint)
	require.True(t, c.Endpoints.KnownSafe(8, true))
}

// TestProbesClearRequestsThatFinishedElsewhere lets a router that suspects a request probe one at which it has finished
// since the suspicion was told.
func TestProbesClearRequestsThatFinishedElsewhere(t *testing.T) {
	const fingerprint = 7
	s := newService(t, 10)
	c := newClient(serve(t, s))
	now := time.Now()
	c.Endpoints.Handle(now, endpoint.SuspectReported{Suspect: endpoint.Suspicion{Fingerprint: fingerprint, Deaths: 2, Until: now.Add(time.Minute)}})
	s.Endpoints.Configure(now, []placement.EndpointConfig{{Endpoint: endpoint.Endpoint{Name: "e", Serves: []string{"m"}, Slots: 1}, Address: "a:1"}}, nil)
	s.Endpoints.Decisions.Open("run")
	s.Endpoints.Handle(now, endpoint.Submitted{Request: endpoint.Request{ID: "run", Service: "m", Fingerprint: fingerprint, Deadline: now.Add(time.Minute)}})
	s.Endpoints.Handle(now, endpoint.Ended{ID: "run", Outcome: endpoint.Finished, Tokens: 1})
	address, known := c.Members.VMAddress("vm-1")
	require.True(t, known)
	_, err := c.Probe(address, nil)
	require.NoError(t, err)
	require.True(t, c.Endpoints.KnownSafe(fingerprint, false))
}

// TestProbesSpreadRequestsThatAreRefused lets a router that missed the announcement probe one that did not, and lets the
// first go on serving a request that it knows to be sound.
func TestProbesSpreadRequestsThatAreRefused(t *testing.T) {
	s := newService(t, 10)
	c := newClient(serve(t, s))
	now := time.Now()
	for _, fingerprint := range []uint64{7, 8} {
		s.Endpoints.Handle(now, endpoint.SuspectReported{Suspect: endpoint.Suspicion{Fingerprint: fingerprint, Deaths: 2, Until: now.Add(time.Minute)}})
	}
	s.Endpoints.Handle(now, endpoint.SuspectReported{Suspect: endpoint.Suspicion{Fingerprint: 9, Deaths: 1, Until: now.Add(time.Minute)}})
	c.Endpoints.Handle(now, endpoint.SuspectCleared{Fingerprint: 8})
	address, known := c.Members.VMAddress("vm-1")
	require.True(t, known)
	_, err := c.Probe(address, nil)
	require.NoError(t, err)
	blocked := c.Endpoints.BlockedRequests(now)
	require.Len(t, blocked, 1)
	require.EqualValues(t, 7, blocked[0].Fingerprint)
	require.True(t, blocked[0].Until.Before(now.Add(2*time.Minute)), "the suspicion lasts no longer than where it began")
}

// TestProbesCarryABoundedNumberOfSuspects lets a router refuse more than one probe tells of; later probes tell of the others.
func TestProbesCarryABoundedNumberOfSuspects(t *testing.T) {
	const suspects, probes, maxBytes = 1000, 2000, 4096
	var endpoints placement.Endpoints
	now := time.Now()
	for n := range uint64(suspects) {
		for _, part := range []bool{false, true} {
			endpoints.Handle(now, endpoint.SuspectReported{Suspect: endpoint.Suspicion{Fingerprint: n << 32, Part: part, Deaths: 3, Endpoint: "endpoint", Until: now.Add(time.Minute)}})
		}
	}
	told := map[uint64]bool{}
	for range probes {
		messages := blockedSuspects(now, &endpoints)
		require.Len(t, messages, 2*maxProbeSuspects)
		text, err := json.Marshal(messages)
		require.NoError(t, err)
		require.Less(t, len(text), maxBytes)
		for _, m := range messages {
			if !m.Part {
				told[m.Fingerprint] = true
			}
		}
	}
	require.Len(t, told, suspects)
}
