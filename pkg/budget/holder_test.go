package budget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/internal/proof"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

func TestMain(m *testing.M) { proof.Main(m) }

// TestPeerClosesOrphanedAccount stops a holder that cannot reach the store; its peers close the account and free its unused tokens.
func TestPeerClosesOrphanedAccount(t *testing.T) {
	m := newFleetMachine()
	first := m.names[0]
	m.apply(t, step{Op: "Total", Holder: first, Tokens: 1000})
	m.apply(t, step{Op: "Request", Holder: first, Tokens: 400})
	m.apply(t, step{Op: "Run", Index: 20})
	m.apply(t, step{Op: "Settle", Tokens: 100})
	m.apply(t, step{Op: "Leave", Holder: first})
	m.heal(t)
	require.NotContains(t, m.store.record.Holders, first)
	require.EqualValues(t, 100, m.store.record.Spent())
	require.EqualValues(t, 900, m.store.record.Free()+m.store.record.Outstanding())
}

func TestTopUpIsCountedOnce(t *testing.T) {
	r, err := Record{}.TopUp("a", 10)
	require.NoError(t, err)
	r, err = r.TopUp("a", 10)
	require.NoError(t, err)
	require.EqualValues(t, 10, r.Prepaid())
	_, err = r.TopUp("a", 11)
	require.ErrorIs(t, err, ErrTopUpChanged)
	_, err = r.TopUp("", 1)
	require.ErrorIs(t, err, ErrTopUpAmount)
}

func TestHolderClosedByOperatorIsFenced(t *testing.T) {
	m := newFleetMachine()
	m.topUp(t, "first", 1000)
	name := m.names[0]
	m.request(name, 100, false)
	for len(m.inTransit) > 0 {
		m.deliver(0, 0)
	}
	closed, err := m.store.record.Close(name)
	require.NoError(t, err)
	m.store.put(m.store.version, closed)
	h := m.holders[name]
	require.Contains(t, h.Handle(m.now, Reserve{Request: "x", Budget: testBudget, Tokens: 900}), Commit{testBudget, m.store.version - 1, h.accounts[testBudget].write.record})
	require.Contains(t, h.Handle(m.now, Committed{Budget: testBudget, Outcome: NoEffect, Version: 0}), Load{Budget: testBudget})
	require.Contains(t, h.Handle(m.now, Loaded{Budget: testBudget, Version: m.store.version, Record: m.store.record}), Refuse{"x", refusal.BudgetUnavailable})
}

// TestOnDemandHolderDrawsNeedAndReturnsRest sends single requests to a router that is not a home of the budget.
//
// If each of 78 routers kept a grant of its own, the tokens of a budget would be
// spread over many accounts and stranded by a loss of all routers.
func TestOnDemandHolderDrawsNeedAndReturnsRest(t *testing.T) {
	m := newFleetMachine()
	m.topUp(t, "first", 1_000_000)
	name := m.names[0]
	for range 5 {
		m.request(name, 900, true)
		for len(m.inTransit) > 0 {
			m.deliver(0, 0)
		}
		require.EqualValues(t, 900, m.store.record.Holders[name].Held(), "an on-demand holder must draw only the needed tokens")
		m.settle(sampleKey(m.running), 100)
	}
	for range 4 {
		m.now = m.now.Add(time.Second)
		m.handle(name, Tick{})
		for len(m.inTransit) > 0 {
			m.deliver(0, 0)
		}
	}
	require.Zero(t, m.store.record.Holders[name].Held())
	require.EqualValues(t, 1_000_000-5*100, m.store.record.Free())
}

// TestNoRefusalRestsOnAStaleRecord checks that a stale read permits a conditional write but not a refusal: the tokens that
// another holder has returned since may cover the request.
func TestNoRefusalRestsOnAStaleRecord(t *testing.T) {
	h := &Holder{Name: "a"}
	record, err := Record{Budget: testBudget}.TopUp("first", 1000)
	require.NoError(t, err)
	record, err = record.Set("b", Account{Granted: 990, Ceiling: 990})
	require.NoError(t, err)
	h.Handle(start, Reserve{Request: "x", Budget: testBudget, Tokens: 5, Deadline: start.Add(time.Minute)})
	actions := h.Handle(start, Loaded{Budget: testBudget, Version: 7, Record: record})
	require.Len(t, actions, 1)
	write := actions[0].(Commit)
	h.Handle(start, Committed{Budget: testBudget, Outcome: TookEffect, Version: 8})
	h.Handle(start, Settle{Request: "x", Tokens: 5})

	now := start.Add(10 * time.Second)
	require.Equal(t, []Action{Load{Budget: testBudget, Stale: true}}, h.Handle(now, Tick{}), "usage is reported after a stale read")
	older := h.Handle(now, Loaded{Budget: testBudget, Version: 3, Record: record, Stale: true})
	require.Len(t, older, 1, "an older record changes nothing")
	require.EqualValues(t, 8, older[0].(Commit).Version)
	require.EqualValues(t, write.Record.Holders["b"], older[0].(Commit).Record.Holders["b"])
	h.Handle(now, Committed{Budget: testBudget, Outcome: NoEffect})
	later := now.Add(time.Minute)
	for _, action := range h.Handle(later, Reserve{Request: "y", Budget: testBudget, Tokens: 500, Deadline: later.Add(time.Minute)}) {
		require.NotEqual(t, Refuse{"y", refusal.BudgetExhausted}, action)
	}
}

// TestViewNamesTokensOfRoutersThatAreGone guards against a refusal whose log does not tell tokens that were spent from those
// that stand with routers which have died.
func TestViewNamesTokensOfRoutersThatAreGone(t *testing.T) {
	h := Holder{Name: "self"}
	now := time.Unix(0, 0)
	h.Handle(now, PeersChanged{Peers: []string{"alive"}})
	h.Handle(now, Reserve{Request: "r", Budget: testBudget, Tokens: 1})
	h.Handle(now, Loaded{Budget: testBudget, Version: 1, Record: Record{
		Budget: testBudget, TopUps: map[string]int64{"t": 1000},
		Holders: map[string]Account{"alive": {Granted: 100, Ceiling: 100}, "dead": {Granted: 300, Ceiling: 200, Spent: 50, Returned: 20}},
	}})
	v, ok := h.View(testBudget)
	require.True(t, ok)
	require.EqualValues(t, 230, v.Lost)
}
