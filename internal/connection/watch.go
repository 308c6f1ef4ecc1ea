package connection

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// CallerWatch detects that a caller closes its connection while its request is served.
//
// Its goroutine waits in the runtime's network poller. Nothing else may read
// from the connection until Stop returns. Bytes that arrive belong to the next
// request and end the watch.
type CallerWatch struct {
	Gone chan struct{} // Closed when the caller disconnects.

	conn net.Conn
	done chan struct{} // Closed when the watch has ended.
	once sync.Once
}

// WatchCaller starts watching the connection of a request.
//
// A connection that gives no access to its file descriptor is not watched: Gone
// is then never closed.
func WatchCaller(conn net.Conn) *CallerWatch {
	w := &CallerWatch{Gone: make(chan struct{}), conn: conn, done: make(chan struct{})}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		close(w.done)
		return w
	}
	raw, err := socket.SyscallConn()
	if err != nil || conn.SetReadDeadline(time.Time{}) != nil {
		close(w.done)
		return w
	}
	go w.wait(raw)
	return w
}

// wait blocks until the socket is readable or closed, or until Stop sets a read deadline.
func (w *CallerWatch) wait(raw syscall.RawConn) {
	defer close(w.done)
	state := socketIdle
	err := raw.Read(func(fd uintptr) bool {
		state = peek(fd)
		return state != socketIdle
	})
	if err == nil && state == socketClosed {
		close(w.Gone)
	}
}

// Stop ends the watch; the connection may be read again when it returns.
func (w *CallerWatch) Stop() {
	w.once.Do(func() {
		_ = w.conn.SetReadDeadline(time.Unix(1, 0)) // A deadline in the past wakes the goroutine.
		<-w.done
		_ = w.conn.SetReadDeadline(time.Time{})
	})
}

// Left reports whether the caller has disconnected. Unlike Gone it does not depend on a goroutine being scheduled, so it
// is up to date also while the process waits for the processor.
func (w *CallerWatch) Left() bool {
	socket, ok := w.conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	left := false
	err = raw.Control(func(fd uintptr) { left = peek(fd) == socketClosed })
	return left || err != nil
}
