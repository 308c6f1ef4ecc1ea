package router

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/internal/chat"
	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/internal/ledger"
	"github.com/foxtaillanding/foxtaillanding/internal/standin"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/settings"
)

// benchRouter starts a router in front of one stand-in engine that answers without delay, and returns both addresses.
func benchRouter(b *testing.B) (routed, direct string) {
	engine, err := standin.Serve("127.0.0.1:0", (&standin.Engine{TokensPerSecond: 1e9, Slots: 64}).Handle)
	require.NoError(b, err)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(b, err)
	tree := settings.Tree{
		Fleet: settings.Fleet{
			Name: "bench", PeerKey: testPeerKey, AdminSHA256: settings.HashKey("admin"), DataCentres: []string{"a"},
			VMs:       []settings.VM{{Name: "vm-1", DataCentre: "a", Address: ln.Addr().String(), Size: 1}},
			Endpoints: []settings.Endpoint{{Name: "e", DataCentre: "a", Address: engine.Address, Serves: []string{"m"}, Slots: 64}},
		},
		Teams: []settings.Team{{Name: "t", Budget: "t", Accounts: []settings.Account{{Name: "x", KeySHA256: settings.HashKey("secret")}}}},
	}
	store := &keyvalue.Memory{}
	record, err := budget.Record{Budget: "t"}.TopUp("first", 1<<50)
	require.NoError(b, err)
	require.NoError(b, ledger.PutRecord(context.Background(), store, record))
	r, err := New(Config{VM: "vm-1", Listen: ln, Initial: tree, Store: store})
	require.NoError(b, err)
	require.NoError(b, r.Start(b.Context()))
	b.Cleanup(func() {
		r.Kill()
		_ = engine.Close()
	})
	return r.Address(), engine.Address
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// requestLoop sends streamed requests sequentially, each with the given number of words in the prompt and tokens in the output.
func requestLoop(b *testing.B, address string, tokens int) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + chat.Path)
	req.Header.Set("Authorization", "Bearer secret")
	words := make([]byte, 0, 4*tokens)
	for i := range tokens {
		words = fmt.Appendf(words, "%d ", i)
	}
	req.SetBodyString(fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"%s"}]}`, tokens, words))
	client := keyvalue.NewHTTPClient(time.Minute, 1)
	start := cpuTime()
	b.ReportAllocs()
	for b.Loop() {
		require.NoError(b, client.DoTimeout(req, resp, time.Minute))
		require.Equal(b, fasthttp.StatusOK, resp.StatusCode(), string(resp.Body()))
	}
	b.ReportMetric(float64((cpuTime()-start).Microseconds())/float64(b.N), "cpu-us/op")
}

// BenchmarkOverhead compares a request through a router with the same request sent directly to the engine.
func BenchmarkOverhead(b *testing.B) {
	for _, tokens := range []int{1, 100, 500} {
		routed, direct := benchRouter(b)
		b.Run(fmt.Sprint("routed-", tokens), func(b *testing.B) { requestLoop(b, routed, tokens) })
		b.Run(fmt.Sprint("direct-", tokens), func(b *testing.B) { requestLoop(b, direct, tokens) })
	}
}
