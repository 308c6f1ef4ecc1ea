package standin

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Link is a network path to another address that can be cut, silenced or slowed; bytes pass unchanged.
type Link struct {
	Address string // Host and port that it listens on.

	target string
	ln     net.Listener

	mu   sync.Mutex
	cut  bool              // Guarded by mu.
	mute Mute              // Guarded by mu.
	wait time.Duration     // Of each piece; guarded by mu.
	open map[net.Conn]bool // Guarded by mu.
}

// Mute tells in which directions a link holds bytes back; connections stay open.
type Mute struct{ Forth, Back bool }

// Silence holds bytes back until it is called again.
func (l *Link) Silence(m Mute) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mute = m
}

// Delay holds each piece back for a time.
func (l *Link) Delay(wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wait = wait
}

// pass waits until a piece may go on in a direction.
func (l *Link) pass(forth bool) {
	const look = 10 * time.Millisecond
	for {
		l.mu.Lock()
		wait, held := l.wait, forth && l.mute.Forth || !forth && l.mute.Back
		l.mu.Unlock()
		if !held {
			time.Sleep(wait)
			return
		}
		time.Sleep(look)
	}
}

// copy passes bytes on in one direction until a connection ends.
func (l *Link) copy(to, from net.Conn, forth bool) {
	piece := make([]byte, 32<<10)
	for {
		n, err := from.Read(piece)
		if n > 0 {
			l.pass(forth)
			if _, err := to.Write(piece[:n]); err != nil {
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
	l := &Link{Address: ln.Addr().String(), target: target, ln: ln, open: map[net.Conn]bool{}}
	go l.accept()
	return l, nil
}

// Cut breaks the open connections and refuses new ones until the link is healed.
func (l *Link) Cut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if !cut {
		return
	}
	for c := range l.open {
		_ = c.Close()
	}
}

// Close ends the link.
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
		if !l.admit(c) {
			_ = c.Close()
			continue
		}
		go l.carry(c)
	}
}

// admit notes an open connection unless the link is cut.
func (l *Link) admit(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return false
	}
	l.open[c] = true
	return true
}

func (l *Link) carry(c net.Conn) {
	defer l.end(c)
	to, err := net.DialTimeout("tcp4", l.target, time.Second)
	if err != nil || !l.admit(to) {
		return
	}
	defer l.end(to)
	go func() {
		l.copy(to, c, true)
		_ = to.Close()
	}()
	l.copy(c, to, false)
}

func (l *Link) end(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
	_ = c.Close()
}
