package gateway

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// callerWatch notices that a caller closes its connection while its request is served.
//
// It parks in the runtime's poller. While it watches, nothing else reads from
// the connection. Bytes that arrive belong to the next request and end the watch.
type callerWatch struct {
	conn net.Conn
	gone chan struct{} // Closed when the caller left.
	done chan struct{} // Closed when the watch ended.
	once sync.Once
}

// watchCaller starts to watch the connection of a request.
func watchCaller(conn net.Conn) *callerWatch {
	w := &callerWatch{conn: conn, gone: make(chan struct{}), done: make(chan struct{})}
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

func (w *callerWatch) run(raw syscall.RawConn) {
	defer close(w.done)
	found := peekNothing
	err := raw.Read(func(fd uintptr) bool {
		found = peek(fd)
		return found != peekNothing
	})
	if err == nil && found == peekClosed {
		close(w.gone)
	}
}

// stop ends the watch, after which the connection may be read again.
func (w *callerWatch) stop() {
	w.once.Do(func() {
		_ = w.conn.SetReadDeadline(time.Unix(1, 0))
		<-w.done
		_ = w.conn.SetReadDeadline(time.Time{})
	})
}
