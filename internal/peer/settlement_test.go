package peer

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/internal/ledger"
)

// serveSilently accepts messages of other routers and does not answer before the test ends. It counts the calls.
func serveSilently(t *testing.T) (address string, calls *atomic.Int64) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	calls = new(atomic.Int64)
	ended := make(chan struct{})
	server := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {
		calls.Add(1)
		<-ended
	}}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() {
		close(ended)
		_ = ln.Close()
	})
	return ln.Addr().String(), calls
}

// TestLateRouterDoesNotMultiplySettlements replays a router that is too late to read its lender's answers, so that all
// its calls time out: the settlements of many requests must not become calls of their own, each of them repeated.
func TestLateRouterDoesNotMultiplySettlements(t *testing.T) {
	const (
		requests = 50
		maxCalls = 6
	)
	address, calls := serveSilently(t)
	c := newClient(address)
	c.Background = func(f func()) { go f() }
	var settled sync.WaitGroup
	for i := range requests {
		settled.Go(func() { c.Settle("vm-1.1", ledger.Settlement{Request: fmt.Sprint("run-", i), Tokens: 10}) })
	}
	settled.Wait()
	time.Sleep(1500 * time.Millisecond)
	require.NotZero(t, calls.Load())
	require.LessOrEqual(t, calls.Load(), int64(maxCalls))
}
