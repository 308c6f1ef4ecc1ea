package router

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/internal/chat"
	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/internal/operators"
	"github.com/foxtaillanding/foxtaillanding/internal/peer"
	"github.com/foxtaillanding/foxtaillanding/internal/standin"
	"github.com/foxtaillanding/foxtaillanding/internal/strict"
	"github.com/foxtaillanding/foxtaillanding/pkg/bill"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/order"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
	"github.com/foxtaillanding/foxtaillanding/pkg/settings"
)

const testPeerKey = "a-shared-peer-key"

// testRouter starts a router with an in-memory store and one unreachable engine.
func testRouter(t testing.TB) *Router { return testRouterWith(t, "127.0.0.1:1") }

// testRouterWith starts a router with an in-memory store and one engine at the given address.
func testRouterWith(t testing.TB, engine string) *Router {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := ln.Addr().String()
	tree := settings.Tree{
		Fleet: settings.Fleet{
			Name: "test", PeerKey: testPeerKey, AdminSHA256: settings.HashKey("admin"), DataCentres: []string{"a"},
			VMs:       []settings.VM{{Name: "vm-1", DataCentre: "a", Address: address, Size: 1}},
			Endpoints: []settings.Endpoint{{Name: "e", DataCentre: "a", Address: engine, Serves: []string{"m", "orders"}, Slots: 1}},
			Services:  []settings.Service{{Name: "orders", Calls: []settings.Call{{Name: "place", Path: "/place"}}}},
			Limits:    settings.Limits{BodyBytes: 4096, OutputTokens: 100, EntryKeepSeconds: 1, FirstTokenSeconds: 1},
		},
		Teams: []settings.Team{{Name: "t", Budget: "t", Accounts: []settings.Account{{Name: "x", KeySHA256: settings.HashKey("secret")}}}},
	}
	r, err := New(Config{VM: "vm-1", Listen: ln, Initial: tree, Store: &keyvalue.Memory{}})
	require.NoError(t, err)
	require.NoError(t, r.Start(t.Context()))
	t.Cleanup(r.Kill)
	return r
}

// send sends one request and returns its refusal, or nil if it was answered.
func send(t testing.TB, r *Router, method, path string, headers map[string]string, body string) *refusal.Error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + r.Address() + path)
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	req.SetBodyString(body)
	require.NoError(t, fasthttp.DoTimeout(req, resp, time.Minute))
	if resp.StatusCode() < fasthttp.StatusBadRequest {
		return nil
	}
	refused := refusal.Parse(resp.Body())
	require.Equal(t, refused.Kind.Answer().Status, resp.StatusCode())
	require.Equal(t, refusal.Seconds(refused.RetryAfter()) > 0, len(resp.Header.Peek(fasthttp.HeaderRetryAfter)) > 0)
	return refused
}

func TestRejectedRequestsGetTypedNotRunRefusals(t *testing.T) {
	r := testRouter(t)
	key := map[string]string{"Authorization": "Bearer secret"}
	good := `{"model":"m","messages":[{"role":"user","content":"x"}]}`
	for _, c := range []struct {
		name, method, path string
		headers            map[string]string
		body               string
		kind               refusal.Kind
	}{
		{"no key", "POST", chat.Path, nil, good, refusal.Unauthenticated},
		{"wrong key", "POST", chat.Path, map[string]string{"Authorization": "Bearer sEcret"}, good, refusal.Unauthenticated},
		{"malformed", "POST", chat.Path, key, `{"model":`, refusal.BadRequest},
		{"wrong type", "POST", chat.Path, key, `{"model":["m"]}`, refusal.BadRequest},
		{"unknown field", "POST", chat.Path, key, `{"model":"m","n":2,"messages":[]}`, refusal.BadRequest},
		{"unknown model", "POST", chat.Path, key, `{"model":"z","messages":[{"role":"user","content":"x"}]}`, refusal.UnknownModel},
		{"large body", "POST", chat.Path, key, good + string(make([]byte, 5000)), refusal.TooLarge},
		{"large output", "POST", chat.Path, key, `{"model":"m","max_tokens":101,"messages":[{"role":"user","content":"x"}]}`, refusal.TooLarge},
		{"no budget", "POST", chat.Path, key, good, refusal.BudgetExhausted},
		{"order without key", "POST", "/v1/services/orders/place", key, `{}`, refusal.KeyRequired},
		{"unknown call", "POST", "/v1/services/orders/burn", key, `{}`, refusal.UnknownService},
		{"unknown path", "GET", "/nothing", nil, "", refusal.NotFound},
		{"admin without key", "GET", operators.StatusPath, key, "", refusal.Forbidden},
		{"peer without key", "POST", peer.ProbePath, nil, "[]", refusal.Forbidden},
		{"peer with a malformed message", "POST", peer.ProbePath, map[string]string{peer.KeyHeader: testPeerKey}, "{", refusal.BadRequest},
		{"unknown account", "POST", chat.Path, map[string]string{peer.KeyHeader: testPeerKey, headerAccount: "t/y"}, good, refusal.Unauthenticated},
	} {
		refused := send(t, r, c.method, c.path, c.headers, c.body)
		require.NotNil(t, refused, c.name)
		require.Equal(t, c.kind.String(), refused.Kind.String(), c.name)
		require.Equal(t, refusal.NotRun, refused.Kind.Answer().Ran, c.name)
	}
}

// TestLargeHeaderIsRefused sends the request in a single write: the server answers and closes the connection without
// reading all of it, which is an error for a client that is still writing.
func TestLargeHeaderIsRefused(t *testing.T) {
	r := testRouter(t)
	conn, err := net.Dial("tcp4", r.Address())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nX-Large: %s\r\n\r\n", chat.Path, strings.Repeat("x", 2*maxHeaderBytes))
	require.NoError(t, err)
	var resp fasthttp.Response
	require.NoError(t, resp.Read(bufio.NewReader(conn)))
	refused := refusal.Parse(resp.Body())
	require.Equal(t, refusal.TooLarge.String(), refused.Kind.String())
	require.Equal(t, refused.Kind.Answer().Status, resp.StatusCode())
	require.Equal(t, refusal.NotRun, refused.Kind.Answer().Ran)
}

// TestUnreachableEndpointIsNotRun checks that a failed dial is reported as NotRun and that the order's key can be used again.
func TestUnreachableEndpointIsNotRun(t *testing.T) {
	r := testRouter(t)
	headers := map[string]string{"Authorization": "Bearer secret", chat.HeaderIdempotencyKey: "order-1"}
	for range 2 {
		refused := send(t, r, "POST", "/v1/services/orders/place", headers, `{}`)
		require.NotNil(t, refused)
		require.Equal(t, refusal.NotRun, refused.Kind.Answer().Ran, refused.Error())
	}
}

// TestEngineErrorsBecomeRefusals checks that a failure of the engine, a bad request of the caller and a request that
// the engine did not run lead to different refusals.
func TestEngineErrorsBecomeRefusals(t *testing.T) {
	engine := &standin.Engine{}
	s, err := standin.Serve("127.0.0.1:0", engine.Handle)
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	r := testRouterWith(t, s.Address)
	headers := map[string]string{"Authorization": "Bearer secret"}
	require.Nil(t, send(t, r, "POST", "/Admin/Budgets/t/TopUps", map[string]string{"Authorization": "Bearer admin"}, `{"ID":"first","Tokens":1000}`))
	for _, stream := range []string{"true", "false"} {
		for status, kind := range map[int]refusal.Kind{500: refusal.AnswerBroken, 400: refusal.BadRequest, 503: refusal.NoEndpoint, 429: refusal.NoEndpoint} {
			engine.SetFaults(standin.EngineFaults{Status: status})
			body := `{"model":"m","stream":` + stream + `,"messages":[{"role":"user","content":"x` + fmt.Sprint(status) + `"}]}`
			refused := send(t, r, "POST", chat.Path, headers, body)
			require.NotNil(t, refused, status)
			require.Equal(t, kind.String(), refused.Kind.String(), "status %d, stream %s", status, stream)
		}
	}
	engine.SetFaults(standin.EngineFaults{})
	require.Eventually(t, func() bool {
		return send(t, r, "POST", chat.Path, headers, `{"model":"m","messages":[{"role":"user","content":"again"}]}`) == nil
	}, time.Minute, 50*time.Millisecond, "the engine is used again after its faults end")
}

func TestOlderSettingsAreNotApplied(t *testing.T) {
	r := testRouter(t)
	tree := r.snapshot().tree
	r.apply(time.Now(), newSnapshot(1006, tree))
	r.apply(time.Now(), newSnapshot(1005, tree))
	require.EqualValues(t, 1006, r.snapshot().revision)
}

// TestExpiredClaimsAreRemoved checks that a claim is removed only after its expiry plus the margin for clock differences,
// and that a claim of unknown format is not removed.
func TestExpiredClaimsAreRemoved(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	entry := func(key string, until time.Time) keyvalue.Entry {
		value, err := json.Marshal(storedClaim{order.Claim{Attempt: key, State: order.Done}, until.Unix()})
		require.NoError(t, err)
		return keyvalue.Entry{Key: key, Value: value, Version: 1}
	}
	found := expiredClaims(now, []keyvalue.Entry{
		entry("kept", now.Add(time.Minute)),
		entry("just passed", now.Add(-sweepMargin/2)),
		entry("old", now.Add(-2*sweepMargin)),
		{Key: "of a newer router", Value: []byte(`{"Shape":2}`), Version: 1},
	})
	require.Len(t, found, 1)
	require.Equal(t, "old", found[0].Key)
}

// FuzzMessages decodes arbitrary bytes as messages from other routers, stored values, a status, a load report and a list of VMs.
func FuzzMessages(f *testing.F) {
	f.Add([]byte(`{"Budget":"t","Holders":{"a":{"Granted":5,"Ceiling":9}}}`))
	f.Add([]byte(`[{"VM":"a","Incarnation":1,"State":9}]`))
	f.Add([]byte(`{"Attempt":"x","State":2,"Answer":{"Body":"eA=="}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var record budget.Record
		if strict.Decode(data, &record) == nil && record.Check() == nil {
			require.GreaterOrEqual(t, record.Free(), int64(0))
		}
		_ = strict.Decode(data, &storedClaim{})
		var billed bill.Billed
		_ = json.Unmarshal(data, &billed)
		_, _ = operators.DecodeStatus(data)
		_ = json.Unmarshal(data, &chat.LoadReport{})
		_ = json.Unmarshal(data, &keyvalue.VMList{})
	})
}
