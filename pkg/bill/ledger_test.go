package bill

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/foxtaillanding/foxtaillanding/internal/proof"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

func TestMain(m *testing.M) { proof.Main(m) }

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// TestOneBillPerKey runs the same keys at two partitioned routers and delivers their bills to the home late, twice and in any order.
//
// After the refunds, each key must have been billed exactly once.
func TestOneBillPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledgers := []*Ledger{{}, {}}
		running := map[string]int{} // Router by running request ID.
		keyOf := map[string]string{}
		results := map[string]int{}
		var bills []Billed
		net := map[string]int64{}
		n := 0
		handle := func(router int, ev Event) {
			for _, action := range ledgers[router].Handle(start, ev) {
				switch action := action.(type) {
				case Start:
					running[action.Request] = router
				case Replay:
					results[action.Request]++
				case Refuse:
					results[action.Request]++
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for request, count := range results {
					require.LessOrEqual(t, count, 1, request)
				}
				require.LessOrEqual(t, len(running), 4, "one run for each key and router")
			},
			"begin": func(t *rapid.T) {
				n++
				request := fmt.Sprintf("request-%d", n)
				keyOf[request] = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
				handle(rapid.IntRange(0, 1).Draw(t, "router"), Received{request, keyOf[request], 1})
			},
			"finish": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip("no request is running")
				}
				request := firstRunning(running)
				router := running[request]
				delete(running, request)
				results[request]++
				bills = append(bills, Billed{keyOf[request], request, "polish", 5})
				net[keyOf[request]] += 5
				handle(router, Finished{request, Answer{Content: request}})
			},
		})
		delivered := rapid.Permutation(append(append([]Billed{}, bills...), bills...)).Draw(t, "bills")
		home := &Ledger{}
		for _, b := range delivered {
			for _, action := range home.Handle(start, b) {
				net[b.Key] -= action.(Refund).Tokens
			}
		}
		for key, tokens := range net {
			require.EqualValues(t, 5, tokens, "key %s", key)
		}
	})
}

// firstRunning returns the running request that sorts first, so that a seed determines the choice.
func firstRunning(running map[string]int) string {
	smallest := ""
	for request := range running {
		if smallest == "" || request < smallest {
			smallest = request
		}
	}
	return smallest
}

func TestKeyReuseAndExpiry(t *testing.T) {
	var l Ledger
	require.Equal(t, []Action{Start{"1"}}, l.Handle(start, Received{"1", "k", 1}))
	require.Equal(t, []Action{Refuse{"2", refusal.KeyReused}}, l.Handle(start, Received{"2", "k", 9}))
	require.Empty(t, l.Handle(start, Received{"3", "k", 1}))
	require.Equal(t, []Action{Replay{"3", Answer{Content: "x"}}}, l.Handle(start, Finished{"1", Answer{Content: "x"}}))
	require.Equal(t, []Action{Replay{"4", Answer{Content: "x"}}}, l.Handle(start, Received{"4", "k", 1}))
	late := start.Add(DefaultRetention)
	require.Equal(t, []Action{Start{"5"}}, l.Handle(late, Received{"5", "k", 1}))
	require.Empty(t, l.Handle(late, Failed{"5", refusal.AnswerBroken}))
	require.Equal(t, []Action{Start{"6"}}, l.Handle(late, Received{"6", "k", 1}))
}

func TestLossOfVMMovesOnlyItsKeys(t *testing.T) {
	vms := []string{"a", "b", "c"}
	for i := range 100 {
		key := fmt.Sprint(i)
		if home := Home(key, vms); home != "c" {
			require.Equal(t, home, Home(key, vms[:2]))
		}
	}
	require.Empty(t, Home("k", nil))
}
