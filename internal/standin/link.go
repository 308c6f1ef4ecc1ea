package standin

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Link is a network path to another address that can be cut; bytes pass unchanged.
type Link struct {
	Address string // Host and port that it listens on.

	target string
	ln     net.Listener

	mu   sync.Mutex
	cut  bool              // Guarded by mu.
	open map[net.Conn]bool // Guarded by mu.
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
		_, _ = io.Copy(to, c)
		_ = to.Close()
	}()
	_, _ = io.Copy(c, to)
}

func (l *Link) end(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
	_ = c.Close()
}
