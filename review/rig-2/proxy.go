package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// proxy passes TCP connections on to an address. Its connections can fall silent for good.
type proxy struct {
	address string
	target  string

	mu    sync.Mutex
	conns []*link
	local map[string]bool // Addresses from which the proxy has connected to its target.
}

// owns reports whether a connection with this remote address came through the proxy.
func (p *proxy) owns(remote string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.local[remote]
}

// link is one connection through a proxy.
type link struct {
	silent atomic.Bool
	a, b   net.Conn
}

func startProxy(target string) *proxy {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	p := &proxy{address: ln.Addr().String(), target: target}
	go func() {
		for {
			a, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(a)
		}
	}()
	return p
}

func (p *proxy) serve(a net.Conn) {
	b, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = a.Close()
		return
	}
	l := &link{a: a, b: b}
	p.mu.Lock()
	p.conns = append(p.conns, l)
	if p.local == nil {
		p.local = map[string]bool{}
	}
	p.local[b.LocalAddr().String()] = true
	p.mu.Unlock()
	go l.copy(a, b)
	go l.copy(b, a)
}

// copy passes bytes on. On a silent link it reads and drops them; the end of one side is not passed on either.
func (l *link) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !l.silent.Load() {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			_ = from.Close()
			if !l.silent.Load() {
				_ = to.Close()
			}
			return
		}
	}
}

// hush makes all open connections silent for good, without closing them. New connections work. It returns their number.
func (p *proxy) hush() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, l := range p.conns {
		if !l.silent.Swap(true) {
			n++
		}
	}
	p.conns = nil
	return n
}
