package gateway

import (
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// reopeningListener is a listener that can refuse new connections for a while. Accept waits meanwhile, because the HTTP
// library stops for good when Accept fails. Accepted connections are not affected.
type reopeningListener struct {
	address net.Addr

	mu      sync.Mutex
	inner   net.Listener  // Nil while connections are refused; guarded by mu.
	waiting []net.Conn    // Accepted by suspend and not returned by Accept yet; guarded by mu.
	changed chan struct{} // Closed and replaced at each change of inner, waiting and ended; guarded by mu.
	ended   bool          // Close was called; guarded by mu.
}

func newReopeningListener(inner net.Listener) *reopeningListener {
	return &reopeningListener{address: inner.Addr(), inner: inner, changed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *reopeningListener) Accept() (net.Conn, error) {
	for {
		accepted, inner, changed := l.next()
		switch {
		case accepted != nil:
			return accepted, nil
		case inner != nil:
			accepted, err := inner.Accept()
			if err == nil || l.isCurrent(inner) {
				return accepted, err
			}
		case changed == nil:
			return nil, net.ErrClosed
		default:
			<-changed
		}
	}
}

// next returns a connection that waits, otherwise the listener to accept from, otherwise a channel that is closed at the next
// change, or nothing after Close.
func (l *reopeningListener) next() (net.Conn, net.Listener, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.ended:
		return nil, nil, nil
	case len(l.waiting) > 0:
		accepted := l.waiting[0]
		l.waiting = l.waiting[1:]
		return accepted, nil, nil
	case l.inner != nil:
		return nil, l.inner, nil
	}
	return nil, nil, l.changed
}

// isCurrent reports whether an error of a listener is not due to suspend or Close.
func (l *reopeningListener) isCurrent(inner net.Listener) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner == inner
}

// suspend accepts the connections that wait and refuses new ones until resume.
func (l *reopeningListener) suspend() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inner == nil {
		return nil
	}
	inner := l.inner
	l.inner = nil
	waiting, err := acceptWaiting(inner)
	err = errors.CombineErrors(err, inner.Close())
	l.waiting = append(l.waiting, waiting...)
	l.notify()
	return errors.Wrapf(err, "closing the listener at %s", l.address)
}

// resume accepts new connections again.
func (l *reopeningListener) resume() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inner != nil || l.ended {
		return nil
	}
	inner, err := net.Listen("tcp4", l.address.String())
	if err != nil {
		return errors.Wrapf(err, "listening on %s again", l.address)
	}
	l.inner = inner
	l.notify()
	return nil
}

// Close implements net.Listener. Accept fails from then on.
func (l *reopeningListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	inner := l.inner
	l.inner = nil
	l.ended = true
	var err error
	for _, c := range l.waiting {
		err = errors.CombineErrors(err, c.Close())
	}
	l.waiting = nil
	l.notify()
	if inner != nil {
		err = errors.CombineErrors(err, inner.Close())
	}
	return err
}

// notify wakes Accept; mu must be held.
func (l *reopeningListener) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Addr implements net.Listener.
func (l *reopeningListener) Addr() net.Addr { return l.address }

// maxWaiting bounds the connections that are accepted before a listener closes, in case new ones come as fast.
const maxWaiting = 1024

// acceptWaiting returns the connections that wait to be accepted. The operating system resets those that are left when the
// listener closes, although their callers may have sent a request already.
//
// net.Listener has no Accept that does not wait: a deadline that is over fails before it looks for connections.
func acceptWaiting(ln net.Listener) ([]net.Conn, error) {
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return nil, errors.Newf("the listener is a %T", ln)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	var sockets []int
	var acceptErr error
	err = raw.Control(func(fd uintptr) { sockets, acceptErr = acceptSockets(int(fd)) })
	if errors.Is(acceptErr, unix.EAGAIN) {
		acceptErr = nil
	}
	err = errors.CombineErrors(err, acceptErr)
	var waiting []net.Conn
	for _, fd := range sockets {
		accepted, connErr := newConn(fd)
		if connErr != nil {
			err = errors.CombineErrors(err, connErr)
			continue
		}
		waiting = append(waiting, accepted)
	}
	return waiting, err
}

// acceptSockets accepts connections from a listening socket that does not block until none waits or it fails.
func acceptSockets(fd int) (sockets []int, err error) {
	for len(sockets) < maxWaiting {
		syscall.ForkLock.RLock()
		socket, _, err := unix.Accept(fd)
		if err == nil {
			unix.CloseOnExec(socket)
		}
		syscall.ForkLock.RUnlock()
		switch {
		case err == nil:
			sockets = append(sockets, socket)
		case !errors.Is(err, unix.EINTR) && !errors.Is(err, unix.ECONNABORTED):
			return sockets, err
		}
	}
	return sockets, nil
}

// newConn returns the connection of an accepted socket.
func newConn(socket int) (net.Conn, error) {
	file := os.NewFile(uintptr(socket), "")
	accepted, err := net.FileConn(file) // Duplicates the socket.
	return accepted, errors.CombineErrors(err, file.Close())
}
