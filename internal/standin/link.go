package standin

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Link is a TCP proxy in front of a target that can be cut, stalled or delayed; it forwards bytes unchanged.
type Link struct {
	Address string // Host and port that it listens on.

	target string
	ln     net.Listener

	mu      sync.Mutex
	cut     bool              // Guarded by mu; no connections are forwarded.
	stalled Directions        // Guarded by mu; directions whose bytes are held back.
	delay   time.Duration     // Guarded by mu; added to each read of a connection.
	conns   map[net.Conn]bool // Guarded by mu; open connections.
}

// Directions selects directions of a link, relative to its target.
type Directions struct{ ToTarget, FromTarget bool }

// Stall holds back the bytes of the selected directions until the next call; connections stay open.
func (l *Link) Stall(d Directions) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalled = d
}

// Delay sets the time for which the bytes of each read are held back.
func (l *Link) Delay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

// holdBack blocks while a direction is stalled, then for the delay of the link.
func (l *Link) holdBack(toTarget bool) {
	const pollInterval = 10 * time.Millisecond
	for {
		l.mu.Lock()
		delay, held := l.delay, toTarget && l.stalled.ToTarget || !toTarget && l.stalled.FromTarget
		l.mu.Unlock()
		if !held {
			time.Sleep(delay)
			return
		}
		time.Sleep(pollInterval)
	}
}

// forward copies bytes in one direction until either connection ends.
func (l *Link) forward(to, from net.Conn, toTarget bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			l.holdBack(toTarget)
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// NewLink starts a link to target.
func NewLink(target string) (*Link, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listening for a link")
	}
	l := &Link{Address: ln.Addr().String(), target: target, ln: ln, conns: map[net.Conn]bool{}}
	go l.accept()
	return l, nil
}

// Cut interrupts the link or restores it; while it is cut, open and new connections are closed immediately.
func (l *Link) Cut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if !cut {
		return
	}
	for c := range l.conns {
		_ = c.Close()
	}
}

// Close closes the link and its connections.
func (l *Link) Close() error {
	l.Cut(true)
	return l.ln.Close()
}

func (l *Link) accept() {
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return
		}
		if !l.track(c) {
			_ = c.Close()
			continue
		}
		go l.proxy(c)
	}
}

// track records an open connection and reports true, unless the link is cut.
func (l *Link) track(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return false
	}
	l.conns[c] = true
	return true
}

// proxy forwards the bytes of a connection in both directions until it ends.
func (l *Link) proxy(c net.Conn) {
	defer l.closeConn(c)
	to, err := net.DialTimeout("tcp4", l.target, time.Second)
	if err != nil || !l.track(to) {
		return
	}
	defer l.closeConn(to)
	go func() {
		l.forward(to, c, true)
		_ = to.Close()
	}()
	l.forward(c, to, false)
}

func (l *Link) closeConn(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	_ = c.Close()
}
