package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sys/unix"

	"github.com/foxtaillanding/foxtaillanding/internal/request"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
	"github.com/foxtaillanding/foxtaillanding/pkg/route"
)

// Waits for a state.
const (
	eventually   = 5 * time.Second
	pollInterval = time.Millisecond
)

// serveTest serves callers with a handler and returns the address.
func serveTest(t *testing.T, g *Gateway, handler fasthttp.RequestHandler) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go g.serve("Front", ln, handler)
	return ln.Addr().String()
}

// TestAnswerThatIsNotWrittenNamesItsRequest closes a caller's connection before its answer, of which the HTTP library
// logs nothing.
func TestAnswerThatIsNotWrittenNamesItsRequest(t *testing.T) {
	g := newTestGateway(t)
	core, lines := observer.New(zap.InfoLevel)
	g.log = zap.New(core)
	address := serveTest(t, g, func(ctx *fasthttp.RequestCtx) {
		r := request.Request{RunID: "run-1"}
		r.ID = "id-1"
		beginAnswer(ctx, &r, func() {})
		_, _ = ctx.Conn().(*conn).TCPConn.Read(make([]byte, 1)) // Returns when the caller has reset the connection.
		ctx.SetBodyString("well")
	})
	caller, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	_, err = caller.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	require.NoError(t, err)
	require.NoError(t, caller.(*net.TCPConn).SetLinger(0))
	require.NoError(t, caller.Close())
	found := func() *observer.ObservedLogs { return lines.FilterMessage("answer not written") }
	require.Eventually(t, func() bool { return found().Len() > 0 }, eventually, pollInterval)
	line := found().All()[0].ContextMap()
	require.Equal(t, "id-1", line["Request"])
	require.Equal(t, "run-1", line["Run"])
	require.Zero(t, line["Bytes"])
	require.NotEmpty(t, line["Error"])
}

// TestStreamMayTakeLongerThanOneWrite sends a stream that takes several times the timeout of a write, while its caller
// reads each event at once.
func TestStreamMayTakeLongerThanOneWrite(t *testing.T) {
	g := newTestGateway(t)
	g.timeouts.write = 300 * time.Millisecond
	const events = 10
	address := serveTest(t, g, func(ctx *fasthttp.RequestCtx) {
		ctx.Response.ImmediateHeaderFlush = true
		ctx.SetBodyStream(&slowEvents{left: events, pause: 100 * time.Millisecond}, -1)
	})
	resp, err := http.Get("http://" + address)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, strings.Repeat("event", events), string(body))
}

// TestCallerThatDoesNotReadEndsItsAnswer guards against answers that wait for their callers for ever.
func TestCallerThatDoesNotReadEndsItsAnswer(t *testing.T) {
	g := newTestGateway(t)
	core, lines := observer.New(zap.InfoLevel)
	g.log = zap.New(core)
	g.timeouts.write = 300 * time.Millisecond
	address := serveTest(t, g, func(ctx *fasthttp.RequestCtx) { ctx.SetBody(make([]byte, 64<<20)) })
	caller, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	defer func() { _ = caller.Close() }()
	_, err = caller.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return lines.FilterMessage("answer not written").Len() > 0 }, eventually, pollInterval)
}

// slowEvents is a stream of events with a pause before each.
type slowEvents struct {
	left  int
	pause time.Duration
}

// Read implements io.Reader.
func (s *slowEvents) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	s.left--
	time.Sleep(s.pause)
	return copy(p, "event"), nil
}

// TestIdleConnectionOutlivesTheLimitOfItsCaller reuses a connection that was idle for most of the limit that the
// configuration sets, which is above the router's own.
func TestIdleConnectionOutlivesTheLimitOfItsCaller(t *testing.T) {
	g := newTestGateway(t)
	g.timeouts.idle = 100 * time.Millisecond
	address := serveTest(t, g, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("well") })
	caller := dialTest(t, address)
	caller.exchange("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	// The limit is raised while the connection is idle.
	g.table.Store(route.NewTable(route.Configuration{Version: 2, Limits: route.Limits{IdleTimeout: 10 * time.Second}}))
	time.Sleep(500 * time.Millisecond)
	caller.exchange("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
}

// TestIdleConnectionIsClosedAfterTheLimit guards against connections that are kept for ever.
func TestIdleConnectionIsClosedAfterTheLimit(t *testing.T) {
	g := newTestGateway(t)
	g.timeouts.idle = 100 * time.Millisecond
	address := serveTest(t, g, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("well") })
	caller := dialTest(t, address)
	caller.exchange("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	caller.requireEnd()
}

// TestIdleConnectionsOfCallersAreClosedAfterTheConfiguredLimit guards against idle connections that are kept for longer than
// the configuration allows and use up the descriptors (review/7).
func TestIdleConnectionsOfCallersAreClosedAfterTheConfiguredLimit(t *testing.T) {
	g := newTestGateway(t)
	g.table.Store(route.NewTable(route.Configuration{Version: 1, Limits: route.Limits{IdleTimeout: 100 * time.Millisecond}}))
	address := serveTest(t, g, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("well") })
	caller := dialTest(t, address)
	caller.exchange("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	caller.requireEnd()
	require.Equal(t, defaultTimeouts.idle, g.peerTimeouts().idle, "the limit is for callers")
}

// idleCount returns the number of callers' connections that wait for a request.
func idleCount(g *Gateway) int {
	g.idleCallers.mu.Lock()
	defer g.idleCallers.mu.Unlock()
	return g.idleCallers.oldest.Len()
}

// TestLackOfDescriptorsClosesTheLongestIdleConnections guards against a router that takes no new connection while callers keep
// idle ones open (review/7).
func TestLackOfDescriptorsClosesTheLongestIdleConnections(t *testing.T) {
	g := newTestGateway(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	go g.serve("Front", ln, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("well") })
	callers := make([]*testCaller, idleCloseBatch+1)
	for i := range callers {
		callers[i] = dialTest(t, ln.Addr().String())
		callers[i].exchange("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		// A connection may become idle after its caller has read the answer, and so after the next one.
		require.Eventually(t, func() bool { return idleCount(g) == i+1 }, eventually, pollInterval)
	}
	require.Equal(t, idleCloseBatch, g.idleCallers.closeLongest(idleCloseBatch))
	for _, c := range callers[:idleCloseBatch] {
		c.requireEnd()
	}
	callers[idleCloseBatch].exchange("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
}

// TestIdleConnectionEndsWhileItsDeadlineIsSet guards against an idle connection that is to end while its goroutine sets a later
// read deadline, and is kept then.
func TestIdleConnectionEndsWhileItsDeadlineIsSet(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	dialTest(t, ln.Addr().String())
	accepted, err := ln.Accept()
	require.NoError(t, err)
	defer func() { _ = accepted.Close() }()
	c := &conn{TCPConn: accepted.(*net.TCPConn), idle: true, since: time.Now()}
	c.timeouts = func() timeouts {
		c.endIdle()
		return defaultTimeouts
	}
	read := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		read <- err
	}()
	select {
	case err := <-read:
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	case <-time.After(eventually):
		require.Fail(t, "the connection still waits for a request")
	}
}

// TestAcceptClosesIdleConnectionsWhenDescriptorsAreLacking accepts with one idle connection, after a failure for want of descriptors.
func TestAcceptClosesIdleConnectionsWhenDescriptorsAreLacking(t *testing.T) {
	g := newTestGateway(t)
	first := dialTest(t, serveTest(t, g, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("well") }))
	first.exchange("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Eventually(t, func() bool { return idleCount(g) == 1 }, eventually, pollInterval)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	go g.serve("Front", &exhaustedListener{Listener: ln, failures: 1}, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("well") })
	dialTest(t, ln.Addr().String()).exchange("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	first.requireEnd()
}

// TestRequestMayArriveAsSlowlyAsTheLimit sends a head over most of the time that the configuration allows, which is more
// than the router's own.
func TestRequestMayArriveAsSlowlyAsTheLimit(t *testing.T) {
	g := newTestGateway(t)
	g.dialect = refusingDialect{}
	g.timeouts.read = 100 * time.Millisecond
	g.table.Store(route.NewTable(route.Configuration{Version: 2, Limits: route.Limits{HeaderTimeout: 10 * time.Second}}))
	address := serveTest(t, g, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("well") })
	caller := dialTest(t, address)
	_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost")
	require.NoError(t, err)
	time.Sleep(500 * time.Millisecond)
	caller.exchange(": h\r\n\r\n")
}

// TestRequestThatDoesNotArriveIsRefused guards against requests that are read for ever.
func TestRequestThatDoesNotArriveIsRefused(t *testing.T) {
	g := newTestGateway(t)
	g.dialect = refusingDialect{}
	g.timeouts.read = 100 * time.Millisecond
	address := serveTest(t, g, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("well") })
	caller := dialTest(t, address)
	_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost")
	require.NoError(t, err)
	require.NoError(t, caller.SetReadDeadline(time.Now().Add(eventually)))
	answer, err := io.ReadAll(caller.in)
	require.NoError(t, err, "the router closes the connection")
	require.Contains(t, string(answer), " 400 ")
}

// refusingDialect answers each refusal with status 400.
type refusingDialect struct{ entryDialect }

// Refuse implements Dialect.
func (refusingDialect) Refuse(resp *fasthttp.Response, _ *refusal.Error) {
	resp.SetStatusCode(fasthttp.StatusBadRequest)
}

// exhaustedListener fails a number of times as if the process had no file descriptors left.
type exhaustedListener struct {
	net.Listener

	failures int
}

// Accept implements net.Listener.
func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", unix.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestListenerOutlivesALackOfDescriptors accepts a connection after several attempts failed.
func TestListenerOutlivesALackOfDescriptors(t *testing.T) {
	g := newTestGateway(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	go g.serve("Front", &exhaustedListener{Listener: ln, failures: 3}, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("well") })
	dialTest(t, ln.Addr().String()).exchange("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
}

// longDialect answers each refusal with a long body.
type longDialect struct{ entryDialect }

const longBody = 64 << 20 // More than the buffers of a connection hold.

// Refuse implements Dialect.
func (longDialect) Refuse(resp *fasthttp.Response, _ *refusal.Error) {
	resp.SetBody(make([]byte, longBody))
}

// TestRequestIsInFlightUntilItsAnswerIsWritten guards against a router that stops, as nothing seems to be in flight, before
// it has written an answer.
func TestRequestIsInFlightUntilItsAnswerIsWritten(t *testing.T) {
	g := newTestGateway(t)
	g.dialect = longDialect{}
	g.closing.Store(true)
	caller := dialTest(t, serveTest(t, g, g.serveFront))
	_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(caller.in, nil)
	require.NoError(t, err)
	require.Equal(t, int64(1), g.inFlight.Load())
	n, err := io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, int64(longBody), n)
	require.Eventually(t, func() bool { return g.inFlight.Load() == 0 }, eventually, pollInterval)
}

// testCaller is a caller's connection.
type testCaller struct {
	net.Conn

	t  *testing.T
	in *bufio.Reader
}

func dialTest(t *testing.T, address string) *testCaller {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &testCaller{Conn: c, t: t, in: bufio.NewReader(c)}
}

// requireEnd requires that the router ends the connection.
func (c *testCaller) requireEnd() {
	c.t.Helper()
	require.NoError(c.t, c.SetReadDeadline(time.Now().Add(eventually)))
	_, err := c.in.ReadByte()
	require.ErrorIs(c.t, err, io.EOF)
}

// exchange sends the text of a request, or the rest of one, and reads its answer.
func (c *testCaller) exchange(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(c.t, err)
	require.NoError(c.t, c.SetReadDeadline(time.Now().Add(eventually)))
	resp, err := http.ReadResponse(c.in, nil)
	require.NoError(c.t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(c.t, err)
	require.NoError(c.t, resp.Body.Close())
	require.Equal(c.t, "well", string(body))
}
