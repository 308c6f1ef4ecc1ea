package connection

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// CallerWatch notices that a caller closes its connection while its request is served.
//
// It parks in the runtime's poller. While it watches, nothing else reads from
// the connection. Bytes that arrive belong to the next request and end the watch.
type CallerWatch struct {
	Gone chan struct{} // Closed when the caller left.

	conn net.Conn
	done chan struct{} // Closed when the watch ended.
	once sync.Once
}

// WatchCaller starts to watch the connection of a request.
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
	go w.run(raw)
	return w
}

func (w *CallerWatch) run(raw syscall.RawConn) {
	defer close(w.done)
	found := peekNothing
	err := raw.Read(func(fd uintptr) bool {
		found = peek(fd)
		return found != peekNothing
	})
	if err == nil && found == peekClosed {
		close(w.Gone)
	}
}

// Stop ends the watch, after which the connection may be read again.
func (w *CallerWatch) Stop() {
	w.once.Do(func() {
		_ = w.conn.SetReadDeadline(time.Unix(1, 0))
		<-w.done
		_ = w.conn.SetReadDeadline(time.Time{})
	})
}
