package connection

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/foxtaillanding/foxtaillanding/internal/head"
)

// refusedTimeout limits a check whether an address refuses connections.
const refusedTimeout = 300 * time.Millisecond

// Refused reports whether the host at an address answers that nothing accepts connections there, as after the end of the
// process.
func Refused(address string) bool {
	return IsRefused(Probe(address, refusedTimeout))
}

// Probe opens a connection to an address within a time and closes it at once.
func Probe(address string, timeout time.Duration) error {
	conn, err := net.DialTimeout("tcp4", address, timeout)
	if err == nil {
		_ = conn.Close()
	}
	return err
}

// ErrNotSent reports that no byte of a request can have reached the endpoint.
var ErrNotSent = errors.New("request not sent")

// IsRefused reports whether an error says that nothing accepts connections at an address.
func IsRefused(err error) bool { return errors.Is(err, unix.ECONNREFUSED) }

// Limits of connections to endpoints.
const (
	dialTimeout        = 800 * time.Millisecond
	minDialTimeout     = 100 * time.Millisecond // Long enough for an endpoint that accepts connections.
	defaultIdleTimeout = 3 * time.Second        // For an endpoint that sends no Keep-Alive timeout.
	maxIdlePerAddress  = 24
	maxProbes          = 2 // Unanswered keep-alive probes that end a connection.

	// unacknowledgedTimeout is the time after which bytes that are not
	// acknowledged end a connection without probes. Retransmissions are up to
	// 1.6 s apart in the first 3 s, so that a host that was silent for 2 s
	// acknowledges in time.
	unacknowledgedTimeout = 5 * time.Second

	// maxCarried is the number of requests after which a connection is replaced. It bounds the IDs to keep and to search.
	maxCarried = 1024

	// NonRepeatableMaxIdle is the longest idle time after which a pooled
	// connection may carry a request that must not be repeated.
	NonRepeatableMaxIdle = 300 * time.Millisecond
)

// Pool holds idle connections to endpoints. The zero value is an empty pool.
//
// A Pool is safe for concurrent use.
type Pool struct {
	// ProbeAfter is the idle time after which TCP keep-alive probes are sent, so
	// that a dead connection is detected while a response is still awaited on
	// it. Zero disables probes.
	ProbeAfter time.Duration

	mu   sync.Mutex
	idle map[string][]*Conn // By address, most recently used last; guarded by mu.
}

// Conn is a connection to an endpoint. It carries one request at a time.
type Conn struct {
	net.Conn

	Reader *bufio.Reader // Buffers reads from the connection.
	Reused bool          // The connection has carried an earlier request.

	address  string
	limit    readLimit
	carried  []uint64 // Hashes of the IDs of the requests that were sent.
	lastUsed time.Time
	expires  time.Time // Not reused after this time, since the endpoint may close it.
}

// ErrTooLong reports that a peer sent more bytes than LimitReads allows.
var ErrTooLong = errors.New("the peer sent too many bytes")

// LimitReads makes reads fail with ErrTooLong after n more bytes; a negative n removes the limit.
//
// Reader may read ahead, so n has to allow for its buffer.
func (c *Conn) LimitReads(n int64) { c.limit.left, c.limit.on = n, n >= 0 }

// readLimit is a reader that checks the heads of answers and may be limited; the zero value of its other fields does neither.
type readLimit struct {
	in   io.Reader
	left int64
	on   bool
	head head.Checker
}

// Read implements io.Reader.
func (l *readLimit) Read(p []byte) (int, error) {
	if l.on {
		if l.left <= 0 {
			return 0, ErrTooLong
		}
		p = p[:min(int64(len(p)), l.left)]
	}
	n, err := l.in.Read(p)
	l.left -= int64(n)
	if malformed := l.head.Feed(p[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

// ReadHead reads the head of an answer to a request with a method, which may be an interim one. A malformed one is an error.
func (c *Conn) ReadHead(method string) (*http.Response, error) {
	c.limit.head.Begin()
	buffered, err := c.Reader.Peek(c.Reader.Buffered())
	if err != nil {
		return nil, err
	}
	if err := c.limit.head.Feed(buffered); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.Reader, &http.Request{Method: method})
}

// Address returns the address that the connection was opened to.
func (c *Conn) Address() string { return c.address }

// Carry records that a request with an ID is sent.
func (c *Conn) Carry(id string) { c.carried = append(c.carried, xxhash.Sum64String(id)) }

// hasCarried reports whether a request with an ID may have been sent.
func (c *Conn) hasCarried(id string) bool { return slices.Contains(c.carried, xxhash.Sum64String(id)) }

// Terms are what a connection must meet to carry a request. The zero value permits every connection.
type Terms struct {
	UsedSince time.Time // The connection was last used at or after this time.

	// NewTo is the ID of a request that the connection has not carried, so that
	// an answer with this ID answers no earlier one. Empty permits every connection.
	NewTo string

	OpenBy time.Time // A new connection is open by then; zero leaves dialTimeout.
}

// Get returns a pooled connection to address that meets the terms, or opens a new one.
func (p *Pool) Get(now time.Time, address string, terms Terms) (*Conn, error) {
	for {
		conn := p.pop(address, terms.NewTo)
		if conn == nil {
			return p.dial(now, address, terms.OpenBy)
		}
		if now.After(conn.expires) || conn.lastUsed.Before(terms.UsedSince) || !conn.reusable() {
			_ = conn.Close()
			continue
		}
		conn.Reused = true
		return conn, nil
	}
}

// pop removes and returns the connection that was used last, of those that have not carried a request with an ID; nil if
// there is none.
func (p *Pool) pop(address, newTo string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i, conn := range slices.Backward(list) {
		if newTo == "" || !conn.hasCarried(newTo) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return conn
		}
	}
	return nil
}

// Put returns a connection to the pool after its response was read to the end.
//
// The idle argument is the idle timeout that the endpoint announced; if it is
// not positive, a default applies.
func (p *Pool) Put(now time.Time, conn *Conn, idle time.Duration) {
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	conn.lastUsed = now
	conn.expires = now.Add(idle * 3 / 4) // The margin covers requests that are in transit when the endpoint closes the connection.
	if len(conn.carried) >= maxCarried || conn.Reader.Buffered() > 0 || conn.SetDeadline(time.Time{}) != nil {
		_ = conn.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*Conn{}
	}
	if len(p.idle[conn.address]) >= maxIdlePerAddress {
		_ = conn.Close()
		return
	}
	p.idle[conn.address] = append(p.idle[conn.address], conn)
}

// Expire closes the pooled connections that have been idle for too long.
func (p *Pool) Expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		var left []*Conn
		for _, conn := range list {
			if now.After(conn.expires) {
				_ = conn.Close()
				continue
			}
			left = append(left, conn)
		}
		if len(left) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = left
	}
}

// CloseIdle closes all pooled connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, conn := range list {
			_ = conn.Close()
		}
	}
	p.idle = nil
}

func (p *Pool) dial(now time.Time, address string, openBy time.Time) (*Conn, error) {
	timeout := dialTimeout
	if !openBy.IsZero() {
		timeout = min(timeout, max(openBy.Sub(now), minDialTimeout))
	}
	d := net.Dialer{Timeout: timeout, KeepAlive: -1, Control: p.setUserTimeout}
	if p.ProbeAfter > 0 {
		d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: p.ProbeAfter, Interval: p.ProbeAfter, Count: maxProbes}
	}
	conn, err := d.Dial("tcp4", address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "dialling %s", address), ErrNotSent)
	}
	c := &Conn{Conn: conn, address: address}
	c.limit.in = conn
	c.Reader = bufio.NewReaderSize(&c.limit, 4<<10)
	return c, nil
}

// userTimeout returns the TCP_USER_TIMEOUT of new connections.
//
// It also decides when probes give up, whatever their number: at the first
// unanswered probe that is due after it. So it covers maxProbes of them.
func (p *Pool) userTimeout() time.Duration {
	if p.ProbeAfter > 0 {
		return (1 + maxProbes) * p.ProbeAfter
	}
	return unacknowledgedTimeout
}

// setUserTimeout sets TCP_USER_TIMEOUT, so that the kernel ends a connection whose peer does not acknowledge data.
func (p *Pool) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.userTimeout().Milliseconds()))
	})
	return errors.CombineErrors(err, optErr)
}

// reusable reports whether an idle connection is open and has no unread bytes.
func (c *Conn) reusable() bool {
	if c.Reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Control(func(fd uintptr) { idle = peek(fd) == socketIdle })
	return err == nil && idle
}

// socketState is what a non-blocking peek found on a socket.
type socketState uint8

const (
	socketIdle     socketState = iota // Open, nothing to read.
	socketReadable                    // At least one byte to read.
	socketClosed                      // Closed by the peer, or failed.
)

// peek returns the state of a socket without consuming any bytes.
func peek(fd uintptr) socketState {
	var buf [1]byte
	for {
		n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return socketIdle
		case err == nil && n > 0:
			return socketReadable
		default:
			return socketClosed
		}
	}
}
