package gateway

import (
	"container/list"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/internal/request"
)

// listener accepts connections of callers and of other routers.
type listener struct {
	net.Listener

	log      *zap.Logger
	timeouts func() timeouts // The ones in force.
	bodies   *byteBudget
	idle     *idleConnections // Of callers; closed when descriptors are lacking.
	callers  bool             // The connections are those of callers, and belong to idle while they wait for a request.
}

// idleCloseBatch is the number of idle connections that are closed when a descriptor is lacking.
const idleCloseBatch = 64

// acceptRetryDelay is the time between two attempts to accept a connection while that fails.
const acceptRetryDelay = 50 * time.Millisecond

// Accept implements net.Listener. It fails only when the listener is closed, because the HTTP library stops for good at the
// first error, whereas a lack of file descriptors passes.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	for err != nil && !errors.Is(err, net.ErrClosed) {
		closed := 0
		if errors.IsAny(err, unix.EMFILE, unix.ENFILE) {
			closed = l.idle.closeLongest(idleCloseBatch)
		}
		l.log.Warn("connection not accepted", zap.Int("IdleClosed", closed), logfile.Error(err))
		time.Sleep(acceptRetryDelay)
		accepted, err = l.Listener.Accept()
	}
	if err != nil {
		return nil, err
	}
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		return accepted, nil
	}
	c := &conn{TCPConn: tcp, log: l.log, timeouts: l.timeouts, bodies: l.bodies, idle: true, since: time.Now()}
	if l.callers {
		c.idleSet = l.idle
		l.idle.add(c)
	}
	return c, nil
}

// conn is an accepted connection. It limits how long the gateway waits for a request and for each write, and logs which
// request is left without a complete answer when a write fails.
//
// The timeouts of the HTTP library are not used: they are fixed when it starts,
// and that of a write covers the whole answer, which would cut long streams. It
// logs a failed write without the request or not at all.
//
// One goroutine serves the connection, so its fields need no lock.
type conn struct {
	*net.TCPConn

	log      *zap.Logger
	timeouts func() timeouts
	bodies   *byteBudget
	reserved int64     // Bytes of bodies for a body whose caller was told to send it.
	lingers  bool      // When the connection is closed, the caller may still be sending a body.
	active   bool      // A request is being read or served.
	idle     bool      // No byte of the next request has been read from the socket; some may have come with the one before.
	since    time.Time // When the connection became idle or, unless it is, when the first byte of a request was read.
	request  string    // ID of the request that was last read, as its caller chose it.
	run      string    // Its run ID; empty if it was not admitted.
	written  int64     // Bytes written since then.
	failed   bool      // A write failed.

	onWritten func() // Called when the answer is written or can no longer be; nil if there is none.

	idleSet     *idleConnections // Nil for a connection that is not a caller's.
	idleElement *list.Element    // Guarded by idleSet.mu; nil while the connection is not in it.
	ending      atomic.Bool      // The connection is not to wait for another request.
}

// endIdle makes the connection end as soon as it would wait for a request. It is called from other goroutines.
func (c *conn) endIdle() {
	c.ending.Store(true)
	if err := c.SetReadDeadline(time.Now()); err != nil {
		c.log.Info("idle connection not ended", zap.Stringer("Caller", c.RemoteAddr()), logfile.Error(err))
	}
}

// beginAnswer records which request the next writes answer. It calls onWritten when the answer is written or can no longer
// be, or at once if the connection is no conn.
func beginAnswer(ctx *fasthttp.RequestCtx, r *request.Request, onWritten func()) {
	c, ok := ctx.Conn().(*conn)
	if !ok {
		onWritten()
		return
	}
	c.endAnswer() // Of a pipelined request.
	c.onWritten = onWritten
	c.request = r.ID
	c.run = r.RunID
	c.written = 0
}

// endAnswer records that the answer is written, since the next request is read, or that the connection ends.
func (c *conn) endAnswer() {
	if c.onWritten != nil {
		c.onWritten()
		c.onWritten = nil
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.leaveIdleSet()
	c.endAnswer()
	c.bodies.release(c.reserved)
	c.reserved = 0
	if c.lingers {
		c.linger()
	}
	return c.TCPConn.Close()
}

// Limits of reading on after the refusal of a request whose body was not read.
const (
	lingerTime  = 2 * time.Second
	lingerBytes = 1 << 20
)

// lingerOnClose makes the connection of a request read on for a while before it is closed.
func lingerOnClose(ctx *fasthttp.RequestCtx) {
	if c, ok := ctx.Conn().(*conn); ok {
		c.lingers = true
	}
}

// linger discards what the caller still sends. A connection that is closed with unread bytes is reset, which may take the
// answer from a caller that has not read it yet.
func (c *conn) linger() {
	if c.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return // The caller has left.
	}
	_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes) // Ends with an error when the caller closes the connection or lingerTime is over.
}

// recordState records whether a request is being read or served. The HTTP library calls it in the goroutine that serves the
// connection.
func recordState(accepted net.Conn, state fasthttp.ConnState) {
	c, ok := accepted.(*conn)
	switch {
	case !ok:
	case state == fasthttp.StateActive:
		c.active = true
		c.leaveIdleSet()
	case state == fasthttp.StateIdle:
		c.active = false
		if c.idleSet != nil {
			c.idleSet.add(c)
		}
	}
}

// leaveIdleSet removes the connection from those that wait for a request.
func (c *conn) leaveIdleSet() {
	if c.idleSet != nil {
		c.idleSet.remove(c)
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.endAnswer()
	for {
		if err := c.setReadDeadline(); err != nil {
			return 0, err
		}
		n, err := c.TCPConn.Read(p)
		if errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(c.readDeadline()) {
			continue // The timeouts in force have become longer.
		}
		if errors.Is(err, io.EOF) && c.active {
			err = io.ErrUnexpectedEOF // The HTTP library reports no other end of a request as an error.
		}
		if n > 0 && c.idle {
			c.idle = false
			c.since = time.Now()
		}
		return n, err
	}
}

// setReadDeadline sets the deadline of the next read. endIdle may run meanwhile, and its deadline must not be overwritten.
func (c *conn) setReadDeadline() error {
	ending := c.ending.Load()
	err := c.SetReadDeadline(c.readDeadline())
	if err == nil && c.ending.Load() != ending {
		err = c.SetReadDeadline(c.readDeadline())
	}
	return err
}

// readDeadline returns the time at which the gateway gives up waiting for the rest of a request, or for one to begin.
func (c *conn) readDeadline() time.Time {
	if c.idle && c.ending.Load() {
		return c.since // No further request is awaited.
	}
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
