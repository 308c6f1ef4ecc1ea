package standin

import (
	"encoding/json"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// FaultsPath is the path at which the faults of every stand-in are read and replaced.
const FaultsPath = "/Faults"

// Server is the HTTP server of a stand-in.
type Server struct {
	Address string // Host and port that it listens on.

	http *fasthttp.Server
}

// Serve starts serving handler on address; port 0 selects a free one.
func Serve(address string, handler fasthttp.RequestHandler) (*Server, error) {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listening on %s", address)
	}
	s := &Server{
		Address: ln.Addr().String(),
		http: &fasthttp.Server{
			Name:                  "standin",
			Handler:               handler,
			MaxRequestBodySize:    4 << 20,
			ReadTimeout:           time.Minute,
			WriteTimeout:          5 * time.Minute,
			IdleTimeout:           time.Minute,
			CloseOnShutdown:       true,
			NoDefaultServerHeader: true,
			Logger:                silentLogger{},
		},
	}
	go func() { _ = s.http.Serve(ln) }()
	return s, nil
}

// Close stops the server; it waits at most 100 ms for open connections.
func (s *Server) Close() error {
	done := make(chan error, 1)
	go func() { done <- s.http.Shutdown() }()
	select {
	case err := <-done:
		return err
	case <-time.After(100 * time.Millisecond):
		return nil
	}
}

// silentLogger discards the log lines of fasthttp.
type silentLogger struct{}

func (silentLogger) Printf(string, ...any) {}

// Var is a variable that is read and replaced over HTTP, such as the faults of a stand-in.
type Var[T any] struct {
	mu    sync.Mutex
	value T // Guarded by mu.
}

// Get returns the value.
func (s *Var[T]) Get() T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value
}

// Set replaces the value.
func (s *Var[T]) Set(value T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value = value
}

// Update applies change to the value under the lock.
func (s *Var[T]) Update(change func(*T)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.value)
}

// Serve replaces the value with the body of a PUT, and responds to any other method with the value.
func (s *Var[T]) Serve(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPut() {
		WriteJSON(ctx, s.Get())
		return
	}
	var value T
	if err := json.Unmarshal(ctx.PostBody(), &value); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.Set(value)
}

// WriteJSON responds with v as JSON.
func WriteJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// BreakConnection closes the connection without a response.
func BreakConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

// SilenceConnection keeps the connection of a request open without a response until the client closes it.
func SilenceConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	})
}
