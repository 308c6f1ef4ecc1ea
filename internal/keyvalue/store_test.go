package keyvalue_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/internal/standin"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/platform"
	platformstandin "github.com/foxtaillanding/foxtaillanding/platform/standin"
)

const callTimeout = 30 * time.Second // Long, so that a slow machine fails no test.

// TestHTTPClientSendsEachRequestOnce counts the requests that reach a server which closes the connection without a response.
func TestHTTPClientSendsEachRequestOnce(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	var requests atomic.Int64
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if n, _ := conn.Read(make([]byte, 4096)); n > 0 {
				requests.Add(1)
			}
			_ = conn.Close()
		}
	}()
	client := keyvalue.NewHTTPClient(callTimeout, 8)
	for i, method := range []string{fasthttp.MethodPut, fasthttp.MethodGet, fasthttp.MethodPost, fasthttp.MethodDelete} {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.Header.SetMethod(method)
		req.SetRequestURI("http://" + ln.Addr().String() + "/Keys/a")
		require.Error(t, client.DoTimeout(req, resp, callTimeout))
		require.EqualValues(t, i+1, requests.Load(), method)
	}
}

// newStores returns the implementations of Store by name, which must behave alike, and the stand-in behind the client.
func newStores(t *testing.T) (map[string]keyvalue.Store, *platformstandin.Store) {
	server := &platformstandin.Store{}
	s, err := standin.Serve("127.0.0.1:0", server.Handle)
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return map[string]keyvalue.Store{"memory": &keyvalue.Memory{}, "client": platform.NewStore(s.Address, callTimeout)}, server
}

func TestConditionalWrites(t *testing.T) {
	stores, _ := newStores(t)
	for name, store := range stores {
		ctx := context.Background()
		key := "Settings/Tree/Teams/polish & шеберлер/1"
		first, err := store.Put(ctx, keyvalue.Put{Key: key, Value: []byte("one")})
		require.NoError(t, err, name)
		require.Equal(t, budget.TookEffect, first.Outcome, name)
		again, err := store.Put(ctx, keyvalue.Put{Key: key, Value: []byte("two")})
		require.NoError(t, err, name)
		require.Equal(t, budget.NoEffect, again.Outcome, name)
		next, err := store.Put(ctx, keyvalue.Put{Key: key, Value: []byte("two"), IfVersion: first.Version})
		require.NoError(t, err, name)
		require.Greater(t, next.Version, first.Version, name)
		entry, err := store.Get(ctx, key)
		require.NoError(t, err, name)
		require.Equal(t, keyvalue.Entry{Key: key, Value: []byte("two"), Version: next.Version}, entry, name)
		entry, err = store.GetStale(ctx, key)
		require.NoError(t, err, name)
		require.Equal(t, []byte("two"), entry.Value, name)
		missing, err := store.Get(ctx, "none")
		require.NoError(t, err, name)
		require.Zero(t, missing.Version, name)
		list, err := store.List(ctx, "Settings/")
		require.NoError(t, err, name)
		require.Len(t, list, 1, name)
		kept, err := store.Remove(ctx, key, first.Version)
		require.NoError(t, err, name)
		require.Equal(t, budget.NoEffect, kept.Outcome, name)
		removed, err := store.Remove(ctx, key, next.Version)
		require.NoError(t, err, name)
		require.Equal(t, budget.TookEffect, removed.Outcome, name)
		gone, err := store.Get(ctx, key)
		require.NoError(t, err, name)
		require.Zero(t, gone.Version, name)
		large, err := store.Put(ctx, keyvalue.Put{Key: "large", Value: make([]byte, keyvalue.MaxValueBytes+1)})
		require.ErrorIs(t, err, keyvalue.ErrTooLarge, name)
		require.Equal(t, budget.NoEffect, large.Outcome, name)
	}
}

func TestWatchReturnsTheNextWrite(t *testing.T) {
	stores, _ := newStores(t)
	for name, store := range stores {
		ctx := context.Background()
		seen := make(chan keyvalue.Entry, 1)
		go func() {
			entry, _ := store.Watch(ctx, "head", 0, callTimeout)
			seen <- entry
		}()
		_, err := store.Put(ctx, keyvalue.Put{Key: "head", Value: []byte("1")})
		require.NoError(t, err, name)
		require.Equal(t, []byte("1"), (<-seen).Value, name)
	}
}

func TestLostResponseIsUnknownAndRateLimitHasNoEffect(t *testing.T) {
	stores, server := newStores(t)
	store := stores["client"]
	ctx := context.Background()
	server.SetFaults(platformstandin.StoreFaults{LoseWriteAnswers: 1})
	written, err := store.Put(ctx, keyvalue.Put{Key: "a", Value: []byte("1")})
	require.ErrorIs(t, err, keyvalue.ErrUnavailable)
	require.Equal(t, budget.OutcomeUnknown, written.Outcome)
	entry, err := store.Get(ctx, "a")
	require.NoError(t, err)
	require.NotZero(t, entry.Version, "the write took effect")

	limited := keyvalue.NewGuardedStore(store, 1, 1)
	_, err = limited.Put(ctx, keyvalue.Put{Key: "b"})
	require.NoError(t, err)
	written, err = limited.Put(ctx, keyvalue.Put{Key: "c"})
	require.ErrorIs(t, err, keyvalue.ErrLimited)
	require.Equal(t, budget.NoEffect, written.Outcome)
	entry, err = store.Get(ctx, "c")
	require.NoError(t, err)
	require.Zero(t, entry.Version)
}

func TestBreakerClosesAfterAnOutage(t *testing.T) {
	stores, server := newStores(t)
	guarded := keyvalue.NewGuardedStore(stores["client"], 1000, 1000)
	server.SetFaults(platformstandin.StoreFaults{Down: true})
	for range 50 {
		_, err := guarded.Get(context.Background(), "a")
		require.Error(t, err)
	}
	server.SetFaults(platformstandin.StoreFaults{})
	require.Eventually(t, func() bool {
		_, err := guarded.Get(context.Background(), "a")
		return err == nil
	}, callTimeout, 10*time.Millisecond)
}
