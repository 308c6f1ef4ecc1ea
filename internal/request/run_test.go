package request

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/ledger"
	"github.com/foxtaillanding/foxtaillanding/internal/placement"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// plainCodec accepts every answer as the endpoint's own answer to the request.
type plainCodec struct{}

func (plainCodec) AttemptHeaders(m *Message, _ AttemptInfo) []Header { return m.Headers }

func (plainCodec) ParseHead(id string, _ int, _ http.Header) AnswerHead {
	return AnswerHead{ID: id, Sealed: true}
}

func (plainCodec) Events(body io.Reader) EventReader { return NewSSEReader(body) }

// newForwarder returns a forwarder with one endpoint, and a counter of the connections that the endpoint accepted.
func newForwarder(t *testing.T) (*Forwarder, *atomic.Int64) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	var accepted atomic.Int64
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			_ = conn.Close()
		}
	}()
	f := &Forwarder{Endpoints: &placement.Endpoints{}, Log: zap.NewNop()}
	config := endpoint.Endpoint{Name: "e", Serves: []string{"s"}, Slots: 8}
	f.Endpoints.Configure(time.Now(), []placement.EndpointConfig{{Endpoint: config, Address: ln.Addr().String()}}, nil)
	return f, &accepted
}

// TestNothingIsSentAfterTheDeadline guards against sending a request whose
// deadline passed before the endpoint decision was handled, as happens when the
// process is stalled.
func TestNothingIsSentAfterTheDeadline(t *testing.T) {
	f, accepted := newForwarder(t)
	for i := range 30 {
		now := time.Now()
		out := f.Forward(&Request{
			Message:  Message{ID: "id", Method: http.MethodPost, Target: "/"},
			Terms:    Terms{Service: "s"},
			RunID:    "run-" + string(rune('a'+i)),
			Arrived:  now,
			Deadline: now.Add(-time.Millisecond),
			Codec:    plainCodec{},
		})
		require.NotNil(t, out.Refusal)
		require.Equal(t, refusal.NotRun, out.Refusal.Kind.Answer().Ran, out.Refusal.Kind)
	}
	require.Zero(t, accepted.Load())
}

// earlyCodec treats a stream as complete after its first event.
type earlyCodec struct{ plainCodec }

func (earlyCodec) Events(body io.Reader) EventReader { return &earlyReader{in: NewSSEReader(body)} }

type earlyReader struct {
	in   *SSEReader
	read bool
}

func (r *earlyReader) Next() (Event, error) {
	if r.read {
		return Event{}, io.EOF
	}
	r.read = true
	return r.in.Next()
}

// TestConnectionWithUnreadAnswerIsNotReused guards against returning a
// connection to the pool while the rest of an answer is still unread. It ends a
// stream before the server has sent all of it.
func TestConnectionWithUnreadAnswerIsNotReused(t *testing.T) {
	var connections, requests atomic.Int64
	rest := make(chan struct{}) // Closed to let the first answer continue.
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				connections.Add(1)
			}
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			first := requests.Add(1) == 1
			_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
			w.(http.Flusher).Flush()
			if first {
				<-rest
			}
			_, _ = io.WriteString(w, "id: 2\ndata: x\n\n")
		}),
	}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	f := &Forwarder{Endpoints: &placement.Endpoints{}, Log: zap.NewNop()}
	config := endpoint.Endpoint{Name: "e", Serves: []string{"s"}, Slots: 8}
	f.Endpoints.Configure(time.Now(), []placement.EndpointConfig{{Endpoint: config, Address: ln.Addr().String()}}, nil)
	forward := func(run string, codec Codec) {
		out := f.Forward(&Request{
			Message:  Message{ID: run, Method: http.MethodPost, Target: "/", Host: "h"},
			Terms:    Terms{Service: "s", Streams: true, Repeatable: true},
			RunID:    run,
			Deadline: time.Now().Add(5 * time.Second),
			Codec:    codec,
		})
		require.NotNil(t, out.Stream)
		_, err := io.ReadAll(out.Stream)
		require.NoError(t, err)
		require.NoError(t, out.Stream.Close())
	}
	forward("run-1", earlyCodec{})
	forward("run-2", plainCodec{})
	close(rest)
	require.EqualValues(t, 2, connections.Load(), "the first connection still has an unread answer, so the second request needs a new one")
	forward("run-3", plainCodec{})
	require.EqualValues(t, 2, connections.Load(), "a connection whose answer was read to its end is reused")
}

// leavingCallerPeers grants every reservation after the caller has disconnected.
type leavingCallerPeers struct{ leave func() }

func (leavingCallerPeers) Self() string { return "self" }

func (leavingCallerPeers) Homes(string) []string { return []string{"home"} }

func (l leavingCallerPeers) Reserve(string, ledger.Loan) (ledger.LoanReply, error) {
	l.leave()
	return ledger.LoanReply{Granted: true}, nil
}

func (leavingCallerPeers) Settle(string, ledger.Settlement) {}

// TestNothingIsSentAfterTheCallerDisconnects guards against sending a request
// whose caller disconnected while its tokens were being reserved. This happened
// when a reservation took 1.5 s.
func TestNothingIsSentAfterTheCallerDisconnects(t *testing.T) {
	f, accepted := newForwarder(t)
	f.Background = func(run func()) { run() }
	for i := range 30 {
		gone := make(chan struct{})
		f.Peers = leavingCallerPeers{func() { close(gone) }}
		now := time.Now()
		out := f.Forward(&Request{
			Message:    Message{ID: "id", Method: http.MethodPost, Target: "/", HasPrompt: true, PromptTokens: 10},
			Terms:      Terms{Service: "s", Budget: "b"},
			RunID:      "run-" + string(rune('a'+i)),
			Arrived:    now,
			Deadline:   now.Add(time.Minute),
			CallerGone: gone,
			Codec:      plainCodec{},
		})
		require.NotNil(t, out.Refusal)
		require.Equal(t, refusal.CallerGone, out.Refusal.Kind)
	}
	require.Zero(t, accepted.Load())
}

// TestNothingIsSentWhileTheCloseOfItsCallerIsNotNoticed guards against sending a request whose caller has closed its
// connection while the goroutine that closes CallerGone still waits for the processor.
func TestNothingIsSentWhileTheCloseOfItsCallerIsNotNoticed(t *testing.T) {
	f, accepted := newForwarder(t)
	now := time.Now()
	out := f.Forward(&Request{
		Message:    Message{ID: "id", Method: http.MethodPost, Target: "/"},
		Terms:      Terms{Service: "s", Repeatable: true, MaxAttempts: 3},
		RunID:      "run",
		Arrived:    now,
		Deadline:   now.Add(time.Minute),
		CallerGone: make(chan struct{}),
		CallerLeft: func() bool { return true },
		Codec:      plainCodec{},
	})
	require.NotNil(t, out.Refusal)
	require.Equal(t, refusal.CallerGone, out.Refusal.Kind)
	require.False(t, out.Ran)
	require.Zero(t, accepted.Load())
}

// lenderPeers are two homes of a budget: the answer of the first is lost although it reserved the tokens, and the second
// refers to the first. Settlements are kept until the end and then applied in the order in which they were made.
type lenderPeers struct {
	open        map[string]bool // Loans at the first home.
	settlements []ledger.Settlement
	billed      int64
}

func (*lenderPeers) Self() string { return "self" }

func (*lenderPeers) Homes(string) []string { return []string{"first", "second"} }

func (l *lenderPeers) Reserve(peer string, loan ledger.Loan) (ledger.LoanReply, error) {
	if peer == "second" {
		return ledger.LoanReply{Peer: "first"}, nil
	}
	lost := len(l.open) == 0
	l.open[loan.Request] = true
	if lost {
		return ledger.LoanReply{}, io.ErrUnexpectedEOF
	}
	return ledger.LoanReply{Granted: true}, nil
}

func (l *lenderPeers) Settle(_ string, s ledger.Settlement) { l.settlements = append(l.settlements, s) }

func (l *lenderPeers) settle() {
	for _, s := range l.settlements {
		if l.open[s.Request] {
			delete(l.open, s.Request)
			l.billed += s.Tokens
		}
	}
}

// TestRequestIsBilledAtALenderWhoseFirstAnswerWasLost guards against overspending: the settlement of the lost loan closed
// the second one of the same request at the same lender, and the request's own settlement found no loan.
func TestRequestIsBilledAtALenderWhoseFirstAnswerWasLost(t *testing.T) {
	f, _ := newForwarder(t) // The endpoint breaks off each connection, so the request may have run.
	peers := &lenderPeers{open: map[string]bool{}}
	f.Peers = peers
	f.Background = func(run func()) { run() }
	now := time.Now()
	out := f.Forward(&Request{
		Message:  Message{ID: "id", Method: http.MethodPost, Target: "/", HasPrompt: true, PromptTokens: 10},
		Terms:    Terms{Service: "s", Budget: "b"},
		RunID:    "run",
		Arrived:  now,
		Deadline: now.Add(time.Minute),
		Codec:    plainCodec{},
	})
	require.True(t, out.Ran)
	peers.settle()
	require.EqualValues(t, 10, peers.billed)
	require.Empty(t, peers.open)
}
