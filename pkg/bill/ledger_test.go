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

// TestOneBillForEachKey runs keys at two routers that are cut apart and delivers their bills to the home late, doubled and in any order.
func TestOneBillForEachKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledgers := []*Ledger{{}, {}}
		running := map[string]int{} // Router by running request.
		keyOf := map[string]string{}
		replies := map[string]int{}
		var bills []Billed
		net := map[string]int64{}
		n := 0
		handle := func(router int, ev Event) {
			for _, action := range ledgers[router].Handle(start, ev) {
				switch action := action.(type) {
				case Start:
					running[action.Request] = router
				case Replay:
					replies[action.Request]++
				case Refuse:
					replies[action.Request]++
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for request, count := range replies {
					require.LessOrEqual(t, count, 1, request)
				}
				require.LessOrEqual(t, len(running), 4, "one run for each key and router")
			},
			"begin": func(t *rapid.T) {
				n++
				request := fmt.Sprintf("request-%d", n)
				keyOf[request] = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
				handle(rapid.IntRange(0, 1).Draw(t, "router"), Began{request, keyOf[request], 1})
			},
			"finish": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip("nothing runs")
				}
				request := first(running)
				router := running[request]
				delete(running, request)
				replies[request]++
				bills = append(bills, Billed{keyOf[request], request, "polish", 5})
				net[keyOf[request]] += 5
				handle(router, Finished{request, Answer{Content: request}})
			},
		})
		sent := rapid.Permutation(append(append([]Billed{}, bills...), bills...)).Draw(t, "bills")
		home := &Ledger{}
		for _, b := range sent {
			for _, action := range home.Handle(start, b) {
				net[b.Key] -= action.(Refund).Tokens
			}
		}
		for key, tokens := range net {
			require.EqualValues(t, 5, tokens, "key %s", key)
		}
	})
}

func first(running map[string]int) string {
	least := ""
	for request := range running {
		if least == "" || request < least {
			least = request
		}
	}
	return least
}

func TestKeyReusedAndForgotten(t *testing.T) {
	var l Ledger
	require.Equal(t, []Action{Start{"1"}}, l.Handle(start, Began{"1", "k", 1}))
	require.Equal(t, []Action{Refuse{"2", refusal.KeyReused}}, l.Handle(start, Began{"2", "k", 9}))
	require.Empty(t, l.Handle(start, Began{"3", "k", 1}))
	require.Equal(t, []Action{Replay{"3", Answer{Content: "x"}}}, l.Handle(start, Finished{"1", Answer{Content: "x"}}))
	require.Equal(t, []Action{Replay{"4", Answer{Content: "x"}}}, l.Handle(start, Began{"4", "k", 1}))
	late := start.Add(DefaultRetain)
	require.Equal(t, []Action{Start{"5"}}, l.Handle(late, Began{"5", "k", 1}))
	require.Empty(t, l.Handle(late, Failed{"5", refusal.AnswerBroken}))
	require.Equal(t, []Action{Start{"6"}}, l.Handle(late, Began{"6", "k", 1}))
}

func TestHomeMovesOnlyTheKeysOfALostVM(t *testing.T) {
	vms := []string{"a", "b", "c"}
	for i := range 100 {
		key := fmt.Sprint(i)
		if home := Home(key, vms); home != "c" {
			require.Equal(t, home, Home(key, vms[:2]))
		}
	}
	require.Empty(t, Home("k", nil))
}
