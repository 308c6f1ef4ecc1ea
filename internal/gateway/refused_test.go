package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// TestConnectionsBeyondTheLimitAreRefusedUnread sends a request on a connection beyond those that the HTTP library serves at
// once. The library itself answers 503, before it reads the request.
func TestConnectionsBeyondTheLimitAreRefusedUnread(t *testing.T) {
	g := newTestGateway(t)
	var served atomic.Int64
	begun, finish := make(chan struct{}), make(chan struct{})
	server := g.newServer(func(*fasthttp.RequestCtx) {
		if served.Add(1) == 1 {
			close(begun)
			<-finish
		}
	}, false)
	server.Concurrency = 1
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	post := func() (int, error) {
		client := http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
		resp, err := client.Post("http://"+ln.Addr().String()+"/order", "text/plain", strings.NewReader("body"))
		if err != nil {
			return 0, err
		}
		defer func() { _ = resp.Body.Close() }()
		_, err = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode, err
	}
	first := make(chan error, 1)
	go func() {
		_, err := post()
		first <- err
	}()
	<-begun
	for range 5 {
		if status, err := post(); err == nil { // The close of a connection with unread bytes may overtake its answer.
			require.Equal(t, http.StatusServiceUnavailable, status)
		}
	}
	close(finish)
	require.NoError(t, <-first)
	require.EqualValues(t, 1, served.Load())
}
