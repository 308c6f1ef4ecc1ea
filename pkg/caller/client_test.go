package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// fakeFleet starts a server that is the only entry of its own entry list and answers the n-th request with the n-th
// handler, or with the last one. It returns a client of that server and the idempotency keys that the server received.
func fakeFleet(t *testing.T, handlers ...http.HandlerFunc) (*Client, *[]string) {
	var keys []string
	mux := http.NewServeMux()
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	mux.HandleFunc("/Entries", func(w http.ResponseWriter, _ *http.Request) {
		list := fleet.EntryList{KeepSeconds: 60, Entries: []fleet.Entry{{VM: "vm-1", Address: s.Listener.Addr().String()}}}
		_ = json.NewEncoder(w).Encode(list)
	})
	mux.HandleFunc("/work", func(w http.ResponseWriter, r *http.Request) {
		keys = append(keys, r.Header.Get("Idempotency-Key"))
		handlers[min(len(keys), len(handlers))-1](w, r)
	})
	return &Client{Seeds: []string{"127.0.0.1:1", s.Listener.Addr().String()}, APIKey: "secret"}, &keys
}

func refuse(kind refusal.Kind, retryAfter string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if retryAfter != "" {
			w.Header().Set("Retry-After", retryAfter)
		}
		w.WriteHeader(kind.Answer().Status)
		_, _ = w.Write(refusal.New(kind, "").JSON())
	}
}

func succeed(w http.ResponseWriter, r *http.Request) {
	_, _ = io.WriteString(w, "done "+r.Header.Get("Authorization"))
}

func resetConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, _ := w.(http.Hijacker).Hijack()
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

func TestRetriesUseSameIdempotencyKey(t *testing.T) {
	c, keys := fakeFleet(t, refuse(refusal.Overloaded, "1"), resetConnection, succeed)
	var out bytes.Buffer
	got, err := c.Do(context.Background(), Request{Path: "/work", Body: []byte("{}")}, &out)
	require.NoError(t, err)
	require.Equal(t, "done Bearer secret", string(got.Body))
	require.Equal(t, "done Bearer secret", out.String())
	require.Equal(t, 3, got.Attempts)
	require.Len(t, *keys, 3)
	require.NotEmpty(t, (*keys)[0])
	require.Equal(t, (*keys)[0], (*keys)[1])
	require.Equal(t, (*keys)[0], (*keys)[2])
}

func TestRefusalWithoutRetryAfterIsFinal(t *testing.T) {
	c, keys := fakeFleet(t, refuse(refusal.OrderUnknown, ""))
	_, err := c.Do(context.Background(), Request{Path: "/work"}, io.Discard)
	require.Equal(t, refusal.OrderUnknown, refusal.From(err).Kind)
	require.Len(t, *keys, 1)
}

func TestEntryListIsCachedForItsLifetime(t *testing.T) {
	c, _ := fakeFleet(t, succeed)
	now := time.Now()
	entries, err := c.Entries(now)
	require.NoError(t, err)
	require.Equal(t, "vm-1", entries[0].VM)
	c.Seeds = nil
	c.entries = append(c.entries, fleet.Entry{VM: "cached"})
	cached, err := c.Entries(now.Add(59 * time.Second))
	require.NoError(t, err)
	require.Len(t, cached, 2)
	_, err = (&Client{}).Entries(now)
	require.ErrorIs(t, err, ErrNoEntry)
}

// TestRetriesGoOnWithTheKnownEntries lets all sources of the entry list fail after the first attempt has failed.
func TestRetriesGoOnWithTheKnownEntries(t *testing.T) {
	c, keys := fakeFleet(t, resetConnection, succeed)
	entries, err := c.Entries(time.Now())
	require.NoError(t, err)
	down := httptest.NewServer(http.NotFoundHandler()) // Knows no list.
	t.Cleanup(down.Close)
	mux := http.NewServeMux()
	mux.HandleFunc("/work", func(w http.ResponseWriter, r *http.Request) {
		*keys = append(*keys, r.Header.Get("Idempotency-Key"))
		if len(*keys) == 1 {
			resetConnection(w, r)
			return
		}
		succeed(w, r)
	})
	router := httptest.NewServer(mux) // Serves, but has no list of entries for now.
	t.Cleanup(router.Close)
	entries[0].Address = router.Listener.Addr().String()
	c.Seeds = []string{down.Listener.Addr().String()}
	response, err := c.Do(context.Background(), Request{Path: "/work"}, io.Discard)
	require.NoError(t, err)
	require.Equal(t, 2, response.Attempts)
}
