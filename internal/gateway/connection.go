package gateway

import (
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/internal/request"
)

// listener accepts connections of callers and of other routers.
type listener struct {
	net.Listener

	log      *zap.Logger
	timeouts func() timeouts // The ones in force.
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		return accepted, nil
	}
	return &conn{TCPConn: tcp, log: l.log, timeouts: l.timeouts, idle: true, since: time.Now()}, nil
}

// conn is an accepted connection. It limits how long the gateway waits for a request and for each write, and logs which
// request is left without a complete answer when a write fails.
//
// The timeouts of the HTTP library are not used: they are fixed when it starts,
// and that of a write covers the whole answer, which would cut long streams. It
// logs a failed write without the request or not at all.
// One goroutine serves the connection, so its fields need no lock.
type conn struct {
	*net.TCPConn

	log      *zap.Logger
	timeouts func() timeouts
	idle     bool      // No byte of the next request has been read.
	since    time.Time // When the connection became idle or, unless it is, when the first byte of a request was read.
	request  string    // ID of the request that was last read, as its caller chose it.
	run      string    // Its run ID; empty if it was not admitted.
	written  int64     // Bytes written since then.
	failed   bool      // A write failed.
}

// beginAnswer records which request the next writes answer, if its connection is a conn.
func beginAnswer(ctx *fasthttp.RequestCtx, r *request.Request) {
	c, ok := ctx.Conn().(*conn)
	if !ok {
		return
	}
	c.request = r.ID
	c.run = r.RunID
	c.written = 0
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		if err := c.SetReadDeadline(c.readDeadline()); err != nil {
			return 0, err
		}
		n, err := c.TCPConn.Read(p)
		if errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(c.readDeadline()) {
			continue // The timeouts in force have become longer.
		}
		if n > 0 && c.idle {
			c.idle = false
			c.since = time.Now()
		}
		return n, err
	}
}

// readDeadline returns the time at which the gateway gives up waiting for the rest of a request, or for one to begin.
func (c *conn) readDeadline() time.Time {
	if c.idle {
		return c.since.Add(c.timeouts().idle)
	}
	return c.since.Add(c.timeouts().read)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := 0, c.SetWriteDeadline(time.Now().Add(c.timeouts().write))
	if err == nil {
		n, err = c.TCPConn.Write(p)
	}
	c.written += int64(n)
	c.idle = true
	c.since = time.Now()
	if err != nil && !c.failed {
		c.failed = true
		c.log.Info("answer not written", zap.String("Request", c.request), zap.String("Run", c.run), zap.Stringer("Caller", c.RemoteAddr()),
			zap.Int64("Bytes", c.written), logfile.Error(err))
	}
	return n, err
}

// answerStream is the body of a streamed answer.
type answerStream struct {
	*request.Stream

	log *zap.Logger
	req *request.Request
}

// CloseWithError implements fasthttp.ReadCloserWithError; err is why the answer is not complete, or nil.
func (s *answerStream) CloseWithError(err error) error {
	if err != nil {
		s.log.Info("answer cut", zap.String("Request", s.req.ID), zap.String("Run", s.req.RunID), zap.Int64("Events", s.EventCount()), logfile.Error(err))
	}
	return nil
}
