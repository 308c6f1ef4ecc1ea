package request

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/foxtaillanding/foxtaillanding/internal/placement"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
)

// Times of the tests of silent endpoints.
const (
	testStall  = 50 * time.Millisecond  // Silence after which a router looks for another endpoint.
	testPause  = 300 * time.Millisecond // Silence of an endpoint that goes on afterwards.
	testEvents = 8                      // Number of events of a stream.
)

// resumeCodec is a plainCodec that tells the endpoint after which event to resume.
type resumeCodec struct{ plainCodec }

func (resumeCodec) AttemptHeaders(_ *Message, info AttemptInfo) []Header {
	return []Header{{"Last-Event-ID", info.LastEventID}}
}

// received is a request that a scriptedEndpoint has received.
type received struct {
	conn  net.Conn
	after int // Number of the event after which it resumes.
}

// head begins the answer.
func (x *received) head() {
	_, _ = io.WriteString(x.conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
}

// events writes the events from first to last, without those that the caller has.
func (x *received) events(first, last int) {
	for n := max(first, x.after+1); n <= last; n++ {
		event := fmt.Sprintf("id: %d\ndata: x\n\n", n)
		_, _ = fmt.Fprintf(x.conn, "%x\r\n%s\r\n", len(event), event)
	}
}

// end completes the answer.
func (x *received) end() { _, _ = io.WriteString(x.conn, "0\r\n\r\n") }

// answer writes a whole answer.
func (x *received) answer() {
	x.head()
	x.events(1, testEvents)
	x.end()
}

// closed reports whether the router has closed the connection by now.
func (x *received) closed(t *testing.T) bool {
	raw, err := x.conn.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	var n int
	var peekErr error
	require.NoError(t, raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, peekErr = unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	}))
	return n <= 0 && peekErr != unix.EAGAIN
}

// scriptedEndpoint serves each request with a function of the test.
type scriptedEndpoint struct {
	config placement.EndpointConfig
	count  atomic.Int64 // Requests received.
}

func startEndpoint(t *testing.T, name string, serve func(*received)) *scriptedEndpoint {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	e := &scriptedEndpoint{config: placement.EndpointConfig{
		Endpoint: endpoint.Endpoint{Name: name, Serves: []string{"s"}, Slots: 64},
		Address:  ln.Addr().String(),
	}}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go e.serve(conn, serve)
		}
	}()
	return e
}

func (e *scriptedEndpoint) serve(conn net.Conn, serve func(*received)) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		e.count.Add(1)
		after, _ := strconv.Atoi(req.Header.Get("Last-Event-ID"))
		serve(&received{conn, after})
	}
}

// refusingEndpoint returns an endpoint whose address refuses connections.
func refusingEndpoint(t *testing.T, name string) *scriptedEndpoint {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := ln.Addr().String()
	require.NoError(t, ln.Close())
	return &scriptedEndpoint{config: placement.EndpointConfig{
		Endpoint: endpoint.Endpoint{Name: name, Serves: []string{"s"}, Slots: 64},
		Address:  address,
	}}
}

// pausing returns an answer that pauses after its third event.
func pausing(pause time.Duration) func(*received) {
	return func(x *received) {
		x.head()
		x.events(1, 3)
		time.Sleep(pause)
		x.events(4, testEvents)
		x.end()
	}
}

func configure(f *Forwarder, endpoints ...*scriptedEndpoint) {
	var all []placement.EndpointConfig
	for _, e := range endpoints {
		all = append(all, e.config)
	}
	f.Endpoints.Configure(time.Now(), all, nil)
}

func newStallForwarder(policy endpoint.Policy) *Forwarder {
	f := &Forwarder{Endpoints: &placement.Endpoints{}, Log: zap.NewNop()}
	f.Endpoints.Init(policy)
	return f
}

// stallTerms are the terms of a request that is moved away from a silent endpoint soon.
var stallTerms = Terms{Service: "s", Repeatable: true, MaxAttempts: 3, StallTimeout: testStall}

func streamTerms() Terms {
	terms := stallTerms
	terms.Streams = true
	terms.Resumable = true
	return terms
}

func newStallRequest(run string, terms Terms) *Request {
	now := time.Now()
	return &Request{
		Message:     Message{ID: run, Method: http.MethodPost, Target: "/", Host: "h"},
		Terms:       terms,
		RunID:       run,
		Fingerprint: uint64(len(run)),
		Arrived:     now,
		Deadline:    now.Add(20 * time.Second),
		Codec:       resumeCodec{},
	}
}

// readEvents reads a stream to its end and closes it; begun is called after its first event.
func readEvents(reply *Reply, begun func()) error {
	if reply.Stream == nil {
		return fmt.Errorf("no stream: status %d, %w", reply.Status, reply.Refusal)
	}
	defer func() { _ = reply.Stream.Close() }()
	for n := 1; ; n++ {
		event, err := reply.Stream.Next()
		switch {
		case err == io.EOF && n == testEvents+1:
			return nil
		case err != nil:
			return fmt.Errorf("event %d: %w", n, err)
		case !strings.HasPrefix(string(event), fmt.Sprintf("id: %d\n", n)):
			return fmt.Errorf("event %d: got %q", n, event)
		case n == 1:
			begun()
		}
	}
}

func readStream(t *testing.T, reply *Reply, begun func()) {
	require.NoError(t, readEvents(reply, begun))
}

// TestStreamOfASilentEndpointGoesOnThere lets the only endpoint of a stream pause for several stall periods.
func TestStreamOfASilentEndpointGoesOnThere(t *testing.T) {
	f := newStallForwarder(endpoint.Policy{})
	e := startEndpoint(t, "e", pausing(testPause))
	configure(f, e)
	readStream(t, f.Forward(newStallRequest("run", streamTerms())), func() {})
	require.EqualValues(t, 1, e.count.Load())
}

// TestStreamWithoutStallTimeoutGoesOnAtASilentEndpoint is the same with the silence derived from the longest usual gap.
func TestStreamWithoutStallTimeoutGoesOnAtASilentEndpoint(t *testing.T) {
	f := newStallForwarder(endpoint.Policy{})
	e := startEndpoint(t, "e", pausing(1300*time.Millisecond))
	configure(f, e)
	terms := streamTerms()
	terms.StallTimeout = 0
	terms.Gap = 100 * time.Millisecond
	readStream(t, f.Forward(newStallRequest("run-gap", terms)), func() {})
	require.EqualValues(t, 1, e.count.Load())
}

// TestStreamStaysIfTheOtherEndpointRefusesConnections adds an endpoint that is down to that of the stream.
func TestStreamStaysIfTheOtherEndpointRefusesConnections(t *testing.T) {
	f := newStallForwarder(endpoint.Policy{})
	e := startEndpoint(t, "e", pausing(testPause))
	down := refusingEndpoint(t, "down")
	configure(f, e)
	readStream(t, f.Forward(newStallRequest("run", streamTerms())), func() { configure(f, e, down) })
	require.EqualValues(t, 1, e.count.Load())
}

// TestStreamStaysIfNoRetryIsLeft lets an endpoint pause while the retry budget is empty.
func TestStreamStaysIfNoRetryIsLeft(t *testing.T) {
	f := newStallForwarder(endpoint.Policy{RetryReserve: 0.5})
	e := startEndpoint(t, "e", pausing(testPause))
	other := startEndpoint(t, "other", (*received).answer)
	configure(f, e)
	readStream(t, f.Forward(newStallRequest("run", streamTerms())), func() { configure(f, e, other) })
	require.Zero(t, other.count.Load())
}

// TestStreamMovesFromASilentEndpoint lets an endpoint fall silent for good, while another one becomes available only after
// several stall periods. It checks that the first one's connection is closed when the second one has the request.
func TestStreamMovesFromASilentEndpoint(t *testing.T) {
	f := newStallForwarder(endpoint.Policy{})
	hung := make(chan *received, 1)
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	first := startEndpoint(t, "first", func(x *received) {
		x.head()
		x.events(1, 3)
		hung <- x
		<-ended
	})
	var together atomic.Bool
	second := startEndpoint(t, "second", func(x *received) {
		together.Store(!(<-hung).closed(t))
		x.answer()
	})
	configure(f, first)
	readStream(t, f.Forward(newStallRequest("run", streamTerms())), func() {
		time.AfterFunc(4*testStall, func() { configure(f, first, second) })
	})
	require.False(t, together.Load(), "both endpoints were at work at once")
	require.EqualValues(t, 1, first.count.Load())
	require.EqualValues(t, 1, second.count.Load())
}

// TestEndpointIsAvoidedUntilItSpeaksAgain lets an endpoint fall silent under a stream that has to stay, until the pool avoids it.
func TestEndpointIsAvoidedUntilItSpeaksAgain(t *testing.T) {
	f := newStallForwarder(endpoint.Policy{RetryReserve: 0.5})
	seen := make(chan struct{})
	a := startEndpoint(t, "a", func(x *received) {
		x.head()
		x.events(1, 3)
		<-seen
		x.events(4, testEvents)
		x.end()
	})
	b := startEndpoint(t, "b", (*received).answer)
	avoided := func() bool { return f.Endpoints.State(time.Now()).Endpoints[0].Down }
	configure(f, a)
	stream := f.Forward(newStallRequest("run", streamTerms()))
	configure(f, a, b)
	results := make(chan error, 1)
	go func() { results <- readEvents(stream, func() {}) }()
	require.Eventually(t, avoided, 10*time.Second, time.Millisecond)
	close(seen)
	require.NoError(t, <-results)
	require.False(t, avoided())
}
