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

// plainCodec takes every answer for the endpoint's own.
type plainCodec struct{}

func (plainCodec) Forward(m *Message, _ Forwarding) []Header { return m.Headers }

func (plainCodec) Answer(id string, _ int, _ http.Header) Facts { return Facts{ID: id, Sealed: true} }

func (plainCodec) Events(body io.Reader) EventReader { return NewCutter(body) }

// newForwarder returns a forwarder with one endpoint and the number of connections that the endpoint accepted.
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
	described := endpoint.Endpoint{Name: "e", Serves: []string{"s"}, Slots: 8}
	f.Endpoints.Configure(time.Now(), []placement.Located{{Endpoint: described, Address: ln.Addr().String()}}, nil)
	return f, &accepted
}

// TestNothingIsSentAfterTheDeadline lets the decision for an endpoint come when the deadline has passed, as when the process was held up.
func TestNothingIsSentAfterTheDeadline(t *testing.T) {
	f, accepted := newForwarder(t)
	for i := range 30 {
		now := time.Now()
		out := f.Carry(&Request{
			Message:  Message{ID: "id", Method: http.MethodPost, Target: "/"},
			Terms:    Terms{Service: "s"},
			Run:      "run-" + string(rune('a'+i)),
			Arrived:  now,
			Deadline: now.Add(-time.Millisecond),
			Codec:    plainCodec{},
		})
		require.NotNil(t, out.Refused)
		require.Equal(t, refusal.NotRun, out.Refused.Kind.Answer().Ran, out.Refused.Kind)
	}
	require.Zero(t, accepted.Load())
}

// earlyCodec takes a stream for whole after its first event.
type earlyCodec struct{ plainCodec }

func (earlyCodec) Events(body io.Reader) EventReader { return &earlyReader{in: NewCutter(body)} }

type earlyReader struct {
	in   *Cutter
	read bool
}

func (r *earlyReader) Next() (Event, error) {
	if r.read {
		return Event{}, io.EOF
	}
	r.read = true
	return r.in.Next()
}

// TestAConnectionWithTheRestOfAnAnswerIsNotUsedAgain ends streams of which more would come.
func TestAConnectionWithTheRestOfAnAnswerIsNotUsedAgain(t *testing.T) {
	var connections, requests atomic.Int64
	rest := make(chan struct{}) // Closed when the first answer may go on.
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
	described := endpoint.Endpoint{Name: "e", Serves: []string{"s"}, Slots: 8}
	f.Endpoints.Configure(time.Now(), []placement.Located{{Endpoint: described, Address: ln.Addr().String()}}, nil)
	carry := func(run string, codec Codec) {
		out := f.Carry(&Request{
			Message:  Message{ID: "id", Method: http.MethodPost, Target: "/", Host: "h"},
			Terms:    Terms{Service: "s", Streams: true, Repeatable: true},
			Run:      run,
			Deadline: time.Now().Add(5 * time.Second),
			Codec:    codec,
		})
		require.NotNil(t, out.Stream)
		_, err := io.ReadAll(out.Stream)
		require.NoError(t, err)
		require.NoError(t, out.Stream.Close())
	}
	carry("run-1", earlyCodec{})
	carry("run-2", plainCodec{})
	close(rest)
	require.EqualValues(t, 2, connections.Load(), "the rest of the first answer stood on the first connection")
	carry("run-3", plainCodec{})
	require.EqualValues(t, 2, connections.Load(), "a connection whose answer was read to its end is used again")
}

// slowLenders lend after a while, in which the caller leaves.
type slowLenders struct{ leave func() }

func (slowLenders) Self() string { return "self" }

func (slowLenders) Homes(string) []string { return []string{"home"} }

func (l slowLenders) Reserve(string, ledger.Loan) (ledger.Lent, error) {
	l.leave()
	return ledger.Lent{Granted: true}, nil
}

func (slowLenders) Settle(string, ledger.Settlement) {}

// TestNothingIsSentForACallerThatLeftMeanwhile keeps a finding: a request whose tokens were sought for 1.5 s was sent on after its caller had left (GONE, trouble-2 of gflm-charms-grown).
func TestNothingIsSentForACallerThatLeftMeanwhile(t *testing.T) {
	f, accepted := newForwarder(t)
	f.Background = func(run func()) { run() }
	for i := range 30 {
		gone := make(chan struct{})
		f.Lenders = slowLenders{func() { close(gone) }}
		now := time.Now()
		out := f.Carry(&Request{
			Message:  Message{ID: "id", Method: http.MethodPost, Target: "/", Model: true, PromptTokens: 10},
			Terms:    Terms{Service: "s", Budget: "b"},
			Run:      "run-" + string(rune('a'+i)),
			Arrived:  now,
			Deadline: now.Add(time.Minute),
			Gone:     gone,
			Codec:    plainCodec{},
		})
		require.NotNil(t, out.Refused)
		require.Equal(t, refusal.CallerGone, out.Refused.Kind)
	}
	require.Zero(t, accepted.Load())
}
