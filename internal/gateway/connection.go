package gateway

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/internal/request"
)

// listener accepts connections of callers and of other routers.
type listener struct {
	net.Listener

	log      *zap.Logger
	timeouts timeouts
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
	return &conn{TCPConn: tcp, log: l.log, timeouts: l.timeouts}, nil
}

// conn is an accepted connection. It limits the time of each write, and logs which request is left without a complete
// answer when one fails.
//
// The HTTP library limits the time of the whole answer, which would cut long
// streams, and logs a failed write without the request or not at all.
// One goroutine serves the connection, so its fields need no lock.
type conn struct {
	*net.TCPConn

	log      *zap.Logger
	timeouts timeouts
	request  string // ID of the request that was last read, as its caller chose it.
	run      string // Its run ID; empty if it was not admitted.
	written  int64  // Bytes written since then.
	failed   bool   // A write failed.
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

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := 0, c.SetWriteDeadline(time.Now().Add(c.timeouts.write))
	if err == nil {
		n, err = c.TCPConn.Write(p)
	}
	c.written += int64(n)
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
