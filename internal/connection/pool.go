package connection

import (
	"bufio"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// ErrNotSent marks an attempt of which no byte can have reached the endpoint.
var ErrNotSent = errors.New("no connection could be opened")

// Limits of connections to endpoints.
const (
	dialTimeout    = 800 * time.Millisecond
	userTimeout    = 2 * time.Second // Unacknowledged bytes end a connection after this time.
	keepIdle       = 3 * time.Second // For a connection whose endpoint names no time of its own.
	idlePerAddress = 24
	probes         = 2                      // Unanswered ones that end a connection.
	FreshFor       = 300 * time.Millisecond // Age of the last use up to which a kept connection may carry a request that must not be repeated.
)

// Pool keeps idle connections to endpoints; its zero value is empty.
type Pool struct {
	// ProbeAfter is the silence after which the other side is probed, so that a
	// connection on which an answer is long awaited ends when it went dead;
	// zero never probes.
	ProbeAfter time.Duration

	mu   sync.Mutex
	idle map[string][]*Conn // By address, the last used at the end; guarded by mu.
}

// Conn is one connection to an endpoint; it carries one request at a time.
type Conn struct {
	net.Conn

	In   *bufio.Reader
	Kept bool // It carried a request before.

	address string
	usedAt  time.Time
	until   time.Time // The endpoint may close it after this time.
}

// Address returns where the connection goes.
func (c *Conn) Address() string { return c.address }

// Take returns a connection to an address that was used after the given time, or opens one.
func (p *Pool) Take(now time.Time, address string, usedAfter time.Time) (*Conn, error) {
	for {
		kept := p.pop(address)
		if kept == nil {
			return p.dial(address)
		}
		if now.After(kept.until) || kept.usedAt.Before(usedAfter) || !kept.quiet() {
			_ = kept.Close()
			continue
		}
		kept.Kept = true
		return kept, nil
	}
}

func (p *Pool) pop(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return last
}

// Put keeps a connection after a whole answer.
func (p *Pool) Put(now time.Time, kept *Conn, idle time.Duration) {
	if idle <= 0 {
		idle = keepIdle
	}
	kept.usedAt = now
	kept.until = now.Add(idle * 3 / 4) // A margin for requests that are on their way when the endpoint closes.
	if kept.In.Buffered() > 0 || kept.SetDeadline(time.Time{}) != nil {
		_ = kept.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*Conn{}
	}
	if len(p.idle[kept.address]) >= idlePerAddress {
		_ = kept.Close()
		return
	}
	p.idle[kept.address] = append(p.idle[kept.address], kept)
}

// Expire closes the connections that have been idle for too long.
func (p *Pool) Expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		var left []*Conn
		for _, kept := range list {
			if now.After(kept.until) {
				_ = kept.Close()
				continue
			}
			left = append(left, kept)
		}
		if len(left) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = left
	}
}

func (p *Pool) dial(address string) (*Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: boundSilence}
	if p.ProbeAfter > 0 {
		d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: p.ProbeAfter, Interval: p.ProbeAfter, Count: probes}
	}
	conn, err := d.Dial("tcp4", address)
	if err != nil {
		return nil, errors.Wrapf(ErrNotSent, "dialling %s: %v", address, err)
	}
	return &Conn{Conn: conn, In: bufio.NewReaderSize(conn, 4<<10), address: address}, nil
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
func (c *Conn) quiet() bool {
	if c.In.Buffered() > 0 {
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
