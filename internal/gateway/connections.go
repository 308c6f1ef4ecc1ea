package gateway

import (
	"bufio"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// errNotSent marks an attempt of which no byte can have reached the endpoint.
var errNotSent = errors.New("no connection could be opened")

// Limits of connections to endpoints.
const (
	dialTimeout    = 800 * time.Millisecond
	userTimeout    = 2 * time.Second // Unacknowledged bytes end a connection after this time.
	keepIdle       = 3 * time.Second // For a connection whose endpoint names no time of its own.
	idlePerAddress = 24
	freshFor       = 300 * time.Millisecond // Age of the last use up to which a kept connection may carry a request that must not be repeated.
)

// connections keeps idle connections to endpoints.
type connections struct {
	mu   sync.Mutex
	idle map[string][]*connection // By address, the last used at the end; guarded by mu.
}

// connection is one connection to an endpoint; it carries one request at a time.
type connection struct {
	net.Conn

	in      *bufio.Reader
	address string
	kept    bool // It carried a request before.
	usedAt  time.Time
	until   time.Time // The endpoint may close it after this time.
}

// take returns a connection to an address that was used after the given time, or opens one.
func (c *connections) take(now time.Time, address string, usedAfter time.Time) (*connection, error) {
	for {
		kept := c.pop(address)
		if kept == nil {
			return dial(address)
		}
		if now.After(kept.until) || kept.usedAt.Before(usedAfter) || !kept.quiet() {
			_ = kept.Close()
			continue
		}
		kept.kept = true
		return kept, nil
	}
}

func (c *connections) pop(address string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	return last
}

// put keeps a connection after a whole answer.
func (c *connections) put(now time.Time, kept *connection, idle time.Duration) {
	if idle <= 0 {
		idle = keepIdle
	}
	kept.usedAt = now
	kept.until = now.Add(idle * 3 / 4) // A margin for requests that are on their way when the endpoint closes.
	if kept.in.Buffered() > 0 || kept.SetDeadline(time.Time{}) != nil {
		_ = kept.Close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = map[string][]*connection{}
	}
	if len(c.idle[kept.address]) >= idlePerAddress {
		_ = kept.Close()
		return
	}
	c.idle[kept.address] = append(c.idle[kept.address], kept)
}

// expire closes the connections that have been idle for too long.
func (c *connections) expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idle {
		var left []*connection
		for _, kept := range list {
			if now.After(kept.until) {
				_ = kept.Close()
				continue
			}
			left = append(left, kept)
		}
		if len(left) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = left
	}
}

func dial(address string) (*connection, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: boundSilence}
	conn, err := d.Dial("tcp4", address)
	if err != nil {
		return nil, errors.Wrapf(errNotSent, "dialling %s: %v", address, err)
	}
	return &connection{Conn: conn, in: bufio.NewReaderSize(conn, 4<<10), address: address}, nil
}

// boundSilence makes the system end a connection whose other side acknowledges nothing.
func boundSilence(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
}

// quiet reports whether an idle connection is open and has no bytes pending.
func (c *connection) quiet() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) { quiet = peek(fd) == peekNothing })
	return err == nil && quiet
}

// peeked tells what waits on a connection.
type peeked uint8

const (
	peekNothing peeked = iota
	peekBytes
	peekClosed
)

// peek looks at what waits on a socket without taking it.
func peek(fd uintptr) peeked {
	var buf [1]byte
	for {
		n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return peekNothing
		case err == nil && n > 0:
			return peekBytes
		default:
			return peekClosed
		}
	}
}
