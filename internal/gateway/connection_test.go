package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/foxtaillanding/foxtaillanding/internal/request"
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
	server := g.newServer(handler)
	go func() { _ = server.Serve(&listener{Listener: ln, log: g.log, timeouts: g.timeouts}) }()
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
		beginAnswer(ctx, &r)
		_, _ = ctx.Conn().Read(make([]byte, 1)) // Returns when the caller has reset the connection.
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
