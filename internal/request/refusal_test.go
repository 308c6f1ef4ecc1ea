package request

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/internal/connection"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// requireMayHaveRun requires that a reply does not state that the request did not run.
func requireMayHaveRun(t *testing.T, out *Reply) {
	t.Helper()
	require.NotNil(t, out.Refusal)
	require.NotEqual(t, refusal.NotRun, out.Refusal.Kind.Answer().Ran, "%v after %d attempts", out.Refusal.Kind, out.Attempts)
	require.True(t, out.Ran)
}

// orderTerms are the terms of a request that must not be repeated.
var orderTerms = Terms{Service: "s", MaxAttempts: 1}

// newOrder returns a request that must not be repeated and has a time left.
func newOrder(left time.Duration) *Request {
	r := newStallRequest("run", orderTerms)
	r.Deadline = r.Arrived.Add(left)
	return r
}

// sleepingEndpoint accepts connections and reads nothing from them until it is woken, as a process that is paused. It returns
// what it then reads.
func sleepingEndpoint(t *testing.T) (address string, wake func() []byte) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String(), func() []byte {
		conn, err := ln.Accept()
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		got, _ := io.ReadAll(conn) // Ends with an error if the router has reset the connection.
		return got
	}
}

// newSleepingForwarder returns a forwarder whose only endpoint is a sleepingEndpoint.
func newSleepingForwarder(t *testing.T) (f *Forwarder, wake func() []byte) {
	address, wake := sleepingEndpoint(t)
	f = newStallForwarder(endpoint.Policy{})
	e := &scriptedEndpoint{}
	e.config.Endpoint = endpoint.Endpoint{Name: "e", Serves: []string{"s"}, Slots: 8}
	e.config.Address = address
	configure(f, e)
	return f, wake
}

// TestOrderAtASleepingEndpointMayHaveRun ends the wait for an endpoint that sleeps, by the deadline or as the caller leaves. When
// the endpoint wakes, it finds the whole order though the connection is closed.
func TestOrderAtASleepingEndpointMayHaveRun(t *testing.T) {
	const wait = 100 * time.Millisecond
	for _, callerLeaves := range []bool{false, true} {
		f, wake := newSleepingForwarder(t)
		order := newOrder(wait)
		order.Body = []byte("the order")
		if callerLeaves {
			left := make(chan struct{})
			order.CallerGone = left
			order.Deadline = order.Arrived.Add(time.Minute)
			time.AfterFunc(wait, func() { close(left) })
		}
		requireMayHaveRun(t, f.Forward(order))
		require.Contains(t, string(wake()), "the order")
	}
}

// TestOrderWrittenInPartMayHaveRun lets the deadline end the write of a body that the endpoint does not read.
func TestOrderWrittenInPartMayHaveRun(t *testing.T) {
	f, wake := newSleepingForwarder(t)
	const bodyBytes = 32 << 20 // Exceeds the buffers of the two sockets.
	body := make([]byte, bodyBytes)
	order := newOrder(500 * time.Millisecond)
	order.Body = body
	out := f.Forward(order)
	requireMayHaveRun(t, out)
	require.Equal(t, refusal.DeadlineExceeded, out.Refusal.Kind)
	got := len(wake())
	require.Positive(t, got)
	require.Less(t, got, bodyBytes)
}

// TestNothingIsSentOnAConnectionWithoutDeadline has setting the deadline fail, which is the only error after a connection was
// obtained that proves that nothing was sent.
func TestNothingIsSentOnAConnectionWithoutDeadline(t *testing.T) {
	address, wake := sleepingEndpoint(t)
	f := newStallForwarder(endpoint.Policy{})
	now := time.Now()
	conn, err := f.Connections.Get(now, address, connection.Terms{})
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	r := &run{f: f, req: newOrder(time.Minute)}
	_, err = r.send(now, address, conn, AttemptInfo{})
	require.ErrorIs(t, err, connection.ErrNotSent)
	require.Empty(t, wake())
}

// TestReconfigurationDuringAnAttemptIsNoProof removes the service of an order while its only attempt is in flight and breaks
// off then.
func TestReconfigurationDuringAnAttemptIsNoProof(t *testing.T) {
	f := newStallForwarder(endpoint.Policy{})
	arrived, removed := make(chan struct{}), make(chan struct{})
	configure(f, startEndpoint(t, "e", func(x *received) {
		close(arrived)
		<-removed
		_ = x.conn.Close()
	}))
	onceArrived(t, arrived, func() {
		configure(f)
		close(removed)
	})
	requireMayHaveRun(t, f.Forward(newOrder(5*time.Second)))
}

// TestLossOfThePathDuringAnAttemptIsNoProof has the path lost while an attempt is in flight, which breaks then.
func TestLossOfThePathDuringAnAttemptIsNoProof(t *testing.T) {
	for name, terms := range map[string]Terms{"order": orderTerms, "lookup": {Service: "s", Repeatable: true, MaxAttempts: 3}} {
		f := newStallForwarder(endpoint.Policy{RetryReserve: 10})
		lost := make(chan struct{})
		lose := sync.OnceFunc(func() { close(lost) })
		e := startEndpoint(t, "e", func(x *received) {
			lose()
			_ = x.conn.Close()
		})
		configure(f, e)
		r := newStallRequest(name, terms)
		r.Deadline = r.Arrived.Add(2 * time.Second)
		r.PathLost = func() <-chan struct{} { return lost }
		requireMayHaveRun(t, f.Forward(r))
		require.Positive(t, e.count.Load())
	}
}

// TestRejectionAfterAnAttemptThatMayHaveRunIsNoProof lets the first attempt of a request break and all others be rejected.
func TestRejectionAfterAnAttemptThatMayHaveRunIsNoProof(t *testing.T) {
	f := newStallForwarder(endpoint.Policy{RetryReserve: 10})
	serve := make(chan func(*received), 1)
	serve <- func(x *received) { _ = x.conn.Close() }
	answer := func(x *received) {
		select {
		case first := <-serve:
			first(x)
		default:
			_, _ = io.WriteString(x.conn, "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
		}
	}
	configure(f, startEndpoint(t, "a", answer), startEndpoint(t, "b", answer))
	r := newStallRequest("run", Terms{Service: "s", Repeatable: true, MaxAttempts: 3})
	r.Deadline = r.Arrived.Add(2 * time.Second)
	r.Codec = rejectingCodec{}
	requireMayHaveRun(t, f.Forward(r))
}

// rejectingCodec takes each 503 for a rejection.
type rejectingCodec struct{ resumeCodec }

func (rejectingCodec) ParseHead(id string, status int, _ http.Header) AnswerHead {
	return AnswerHead{ID: id, Sealed: true, NotRun: status == http.StatusServiceUnavailable}
}

// TestNoRefusalAfterAnAttemptThatMayHaveRunStatesNotRun gives up for each kind of refusal.
func TestNoRefusalAfterAnAttemptThatMayHaveRunStatesNotRun(t *testing.T) {
	for _, kind := range refusal.Kinds() {
		for _, left := range []time.Duration{time.Minute, -time.Minute} {
			r := &run{ran: true, req: newOrder(left)}
			out := r.withTotals(r.giveUp(kind, 0))
			requireMayHaveRun(t, out)
		}
	}
}
