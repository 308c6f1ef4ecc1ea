package endpoint

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func engines(n int) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		list[i] = Endpoint{Name: fmt.Sprintf("engine-%02d", i), Serves: []string{"m"}, Slots: 64, PromptTokensPerSecond: 30000, TokensPerSecond: 150}
	}
	return list
}

// documentRequest returns a request with a long prompt of three parts: one shared by
// every fourth document, one shared by the requests about the document, and a unique one.
func documentRequest(id string, document uint64, now time.Time) Request {
	parts := []Part{{1000 + document%4, 2500}, {2000 + document, 3800}, {rand.Uint64(), 2900}}
	return Request{ID: id, Service: "m", PromptTokens: 9200, OutputTokens: 50, Parts: parts, Deadline: now.Add(5 * time.Second), Repeatable: true}
}

func sentTo(t *testing.T, actions []Action) string {
	t.Helper()
	require.Len(t, actions, 1)
	require.IsType(t, Send{}, actions[0])
	return actions[0].(Send).Endpoint
}

func TestIndependentRoutersSendADocumentToTheSameEndpoint(t *testing.T) {
	homes := map[string]bool{}
	for document := range uint64(20) {
		chosen := map[string]bool{}
		for seed := range uint64(6) {
			p := Pool{Policy: Policy{Seed: seed + 1}}
			p.Handle(start, Configured{engines(9)})
			chosen[sentTo(t, p.Handle(start, Submitted{documentRequest("x", document, start)}))] = true
		}
		require.Len(t, chosen, 1, "document %d", document)
		for name := range chosen {
			homes[name] = true
		}
	}
	require.Greater(t, len(homes), 5, "documents spread over the endpoints")
}

// TestRoutersOfALargeServiceThatJustStartedDoNotCrowdOntoOneEndpoint guards against the overload of the one endpoint that all
// routers prefer for a document, of whose requests none knows after a start of all routers.
func TestRoutersOfALargeServiceThatJustStartedDoNotCrowdOntoOneEndpoint(t *testing.T) {
	const (
		routers   = 60
		endpoints = 1000
	)
	for document := range uint64(4) {
		chosen := map[string]int{}
		for seed := range uint64(routers) {
			p := Pool{Policy: Policy{Seed: seed + 1}}
			p.Handle(start, RoutersCounted{routers})
			p.Handle(start, Configured{engines(endpoints)})
			chosen[sentTo(t, p.Handle(start, Submitted{documentRequest("x", document, start)}))]++
		}
		require.Len(t, chosen, 1+endpoints/endpointsPerHome, "the document is read at few endpoints")
		for name, n := range chosen {
			require.Less(t, n, routers/2, name)
		}
	}
}

func TestHotDocumentSpillsOverWhenItsHomeIsBusy(t *testing.T) {
	p := Pool{Policy: Policy{Seed: 1}}
	p.Handle(start, Configured{engines(9)})
	chosen := map[string]int{}
	for i := range 40 {
		chosen[sentTo(t, p.Handle(start, Submitted{documentRequest(fmt.Sprint(i), 7, start)}))]++
	}
	require.Greater(t, len(chosen), 4)
	for name, n := range chosen {
		require.Less(t, n, 20, name)
	}
}

// TestBurstPrefillsFewSharedParts replays 300 requests about 70 documents at the
// rate of a busy day.
//
// The minimum is to prefill each of the 70 documents at one endpoint and each of
// the four first parts at every endpoint. Without cached parts, every request
// would prefill 6,300 shared tokens.
func TestBurstPrefillsFewSharedParts(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	p := Pool{Policy: Policy{Seed: 1}}
	p.Handle(start, Configured{engines(9)})
	cached := map[string]map[uint64]bool{}
	now := start
	var prefilled int64
	for i := range 300 {
		now = now.Add(50 * time.Millisecond)
		id := fmt.Sprint(i)
		r := documentRequest(id, random.Uint64N(70), now)
		name := sentTo(t, p.Handle(now, Submitted{r}))
		if cached[name] == nil {
			cached[name] = map[uint64]bool{}
		}
		for _, part := range r.Parts[:2] {
			if !cached[name][part.ID] {
				prefilled += part.Tokens
			}
			cached[name][part.ID] = true
		}
		p.Handle(now.Add(100*time.Millisecond), FirstToken{id})
		p.Handle(now.Add(200*time.Millisecond), Ended{id, Finished, 50})
	}
	const minimum = 70*3800 + 4*9*2500
	require.LessOrEqual(t, prefilled, int64(minimum*3/2))
}
