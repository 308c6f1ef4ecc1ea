package request

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
)

// flowing writes events until the router closes the connection.
func flowing(x *received) {
	x.head()
	for n := 1; ; n++ {
		if x.events(n, n) != nil {
			return
		}
		time.Sleep(testStall / 10)
	}
}

// readUntilDeadline reads a stream that is not complete before the deadline of its request.
func readUntilDeadline(t *testing.T, f *Forwarder) {
	terms := streamTerms()
	terms.StallTimeout = time.Second
	req := newStallRequest("run-flowing", terms)
	req.Deadline = time.Now().Add(testPause)
	reply := f.Forward(req)
	require.NotNil(t, reply.Stream)
	for {
		if _, err := reply.Stream.Next(); err != nil {
			break
		}
	}
	require.NoError(t, reply.Stream.Close())
}

// TestDeadlineOfAStreamAccusesNoEndpoint lets a deadline pass while events arrive.
func TestDeadlineOfAStreamAccusesNoEndpoint(t *testing.T) {
	f := newStallForwarder(endpoint.Policy{})
	configure(f, startEndpoint(t, "e", flowing))
	readUntilDeadline(t, f)
	require.False(t, f.Endpoints.State(time.Now()).Endpoints[0].Down, "the endpoint was not silent")
}

// TestDeadlineOfAStreamTakesNoRetry guards against retries that are taken out of the budget when it is too late for them.
func TestDeadlineOfAStreamTakesNoRetry(t *testing.T) {
	f := newStallForwarder(endpoint.Policy{RetryReserve: 1})
	breaking := startEndpoint(t, "e", func(x *received) { _ = x.conn.Close() })
	flows := startEndpoint(t, "flows", flowing)
	configure(f, flows)
	readUntilDeadline(t, f)
	configure(f, breaking)
	out := f.Forward(newStallRequest("run", Terms{Service: "s", Repeatable: true, MaxAttempts: 2}))
	require.Equal(t, 2, out.Attempts, "the one retry of the budget is left")
	require.NotEqual(t, http.StatusOK, out.Status)
}
