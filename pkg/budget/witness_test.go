package budget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// witnessedFleet returns a fleet whose first holder has a grant above its ceiling, which its witness has raised.
func witnessedFleet(t *testing.T) (m *fleetMachine, holder, witness string) {
	m = newFleetMachine()
	holder = m.names[0]
	m.apply(t, step{Op: "TopUp", Tokens: 10_000})
	for range 2 {
		m.apply(t, step{Op: "Request", Holder: holder, Tokens: 100})
		m.apply(t, step{Op: "Run", Index: 100})
		m.apply(t, step{Op: "Settle", Tokens: 100})
		m.apply(t, step{Op: "Run", Index: 100})
	}
	a := m.holders[holder].accounts[testBudget]
	require.Greater(t, a.own.Granted, a.ceiling())
	require.Positive(t, a.acked)
	return m, holder, a.own.Witness
}

// pass lets time pass without faults, in ticks of 100 ms.
func (m *fleetMachine) pass(t *testing.T, d time.Duration) {
	for range d / (100 * time.Millisecond) {
		for _, name := range m.names {
			m.apply(t, step{Op: "Tick", Holder: name})
		}
		m.apply(t, step{Op: "Run", Index: 100})
		m.now = m.now.Add(100 * time.Millisecond)
	}
}

// TestHoldersAreSealedOnlyAfterALongAbsence keeps a holder in sight, lets it be missed for a shorter time, and then for longer.
func TestHoldersAreSealedOnlyAfterALongAbsence(t *testing.T) {
	m, holder, witness := witnessedFleet(t)
	seals := func() uint64 { return m.store.record.Holders[holder].Seals }
	m.pass(t, 3*testSealAfter)
	require.Zero(t, seals(), "in sight")
	m.setPeers(witness, holder)
	m.pass(t, testSealAfter-200*time.Millisecond)
	require.Zero(t, seals(), "absent for a shorter time")
	m.setPeers(witness, "")
	m.pass(t, 3*testSealAfter)
	require.Zero(t, seals(), "in sight again")
	m.setPeers(witness, holder)
	m.pass(t, testSealAfter+time.Second)
	require.EqualValues(t, 1, seals())
}

// TestSealCostsOneWrite lets time pass after a seal.
func TestSealCostsOneWrite(t *testing.T) {
	m, holder, witness := witnessedFleet(t)
	m.apply(t, step{Op: "Kill", Holder: holder})
	m.pass(t, testSealAfter+time.Second)
	require.EqualValues(t, 1, m.store.record.Holders[holder].Seals)
	version := m.store.version
	for range 100 {
		m.now = m.now.Add(time.Second)
		require.Empty(t, m.holders[witness].Handle(m.now, Tick{}), "store calls after the seal")
	}
	require.Equal(t, version, m.store.version)
}

// TestSealedHolderThatReturnsIsWitnessedAgain seals the account of a paused holder, which then draws and raises again.
func TestSealedHolderThatReturnsIsWitnessedAgain(t *testing.T) {
	m, holder, witness := witnessedFleet(t)
	m.apply(t, step{Op: "SealPaused", Holder: holder})
	m.apply(t, step{Op: "Resume", Holder: holder})
	m.setPeers(witness, "")
	a := m.holders[holder].accounts[testBudget]
	for range 10 { // The witness refuses what the holder asks before it has read of the seal; the holder then does without for a while.
		m.pass(t, time.Second)
		m.apply(t, step{Op: "Request", Holder: holder, Tokens: 500})
		m.pass(t, time.Second)
		m.apply(t, step{Op: "Settle", Tokens: 500})
	}
	require.EqualValues(t, 1, a.own.Seals)
	require.Equal(t, witness, a.own.Witness)
	require.Positive(t, a.acked, "the witness acknowledges ceilings of the account as it is since the seal")
}

// TestAccountOpenedAgainIsNotSealedForTheEarlierOne guards against a witness that remembers the account that a holder closed:
// its seal reported the earlier account's spend for the new one, and the holder could write nothing any more.
func TestAccountOpenedAgainIsNotSealedForTheEarlierOne(t *testing.T) {
	m, holder, _ := witnessedFleet(t)
	m.pass(t, m.holders[holder].Policy.RetireAfter+5*time.Second)
	require.NotContains(t, m.store.record.Holders, holder, "closed while idle")
	spent := m.store.record.Spent()
	m.apply(t, step{Op: "Request", Holder: holder, Tokens: 300})
	m.apply(t, step{Op: "Run", Index: 100})
	m.apply(t, step{Op: "SealPaused", Holder: holder})
	m.apply(t, step{Op: "Resume", Holder: holder})
	require.Equal(t, spent, m.store.record.Spent())
	m.apply(t, step{Op: "Settle", Tokens: 20})
	m.apply(t, step{Op: "Request", Holder: holder, Tokens: 500})
	m.apply(t, step{Op: "Run", Index: 100})
	require.NotEmpty(t, m.running, "the holder goes on")
}

// TestDrainingWitnessAcknowledgesNothing guards against acknowledgements that are lost when the witness ends soon after.
func TestDrainingWitnessAcknowledgesNothing(t *testing.T) {
	h := &Holder{Name: "w"}
	h.Handle(start, Drain{})
	require.Equal(t, []Action{AnswerRaise{"1", false}}, h.Handle(start, RaiseRequested{Budget: testBudget, Holder: "h", Ceiling: 5, ID: "1"}))
}

// TestWitnessSealsAnAccountThatItsRecordDoesNotShow guards against a seal that a witness drops, because it last read the
// record before the lost router drew from the budget: the tokens stayed with the lost router for good.
func TestWitnessSealsAnAccountThatItsRecordDoesNotShow(t *testing.T) {
	m := newFleetMachine()
	holder, witness := m.names[0], m.names[1]
	m.apply(t, step{Op: "TopUp", Tokens: 1000})
	for _, name := range []string{witness, holder, holder} { // The last grant covers the demand of the one before.
		m.apply(t, step{Op: "Request", Holder: name, Tokens: 1})
		m.apply(t, step{Op: "Run", Index: 100})
		m.apply(t, step{Op: "Settle", Tokens: int64(len(m.billed))})
		m.apply(t, step{Op: "Run", Index: 100})
	}
	before := m.store.record.Holders[holder]
	require.Equal(t, witness, before.Witness)
	require.Greater(t, before.Granted, before.Ceiling)
	m.apply(t, step{Op: "Kill", Holder: holder})
	m.heal(t)
	require.EqualValues(t, 1, m.store.record.Holders[holder].Seals)
}

// TestDrainingWitnessSealsTheAccountsOfLostHolders guards against tokens that stay with a router which has died, because its witness
// was stopped before it had missed the router for long enough, and forgot what it had acknowledged: a few routers that die during
// a rolling restart then keep their grants for good.
func TestDrainingWitnessSealsTheAccountsOfLostHolders(t *testing.T) {
	for _, tc := range []struct {
		name  string
		lose  func(m *fleetMachine, holder, witness string)
		drain time.Duration // For which the witness drains.
	}{
		{"holder dies first", func(m *fleetMachine, holder, witness string) {
			m.apply(t, step{Op: "Kill", Holder: holder})
			m.pass(t, testSealAfter/4)
			m.handle(witness, Drain{})
		}, testSealAfter / 2},
		{"holder dies while the witness drains", func(m *fleetMachine, holder, witness string) {
			m.handle(witness, Drain{})
			m.apply(t, step{Op: "Kill", Holder: holder})
		}, testSealAfter / 2},
		{"holder dies after the witness has closed its account", func(m *fleetMachine, holder, witness string) {
			m.handle(witness, Drain{})
			m.apply(t, step{Op: "Run", Index: 100})
			m.apply(t, step{Op: "Kill", Holder: holder})
		}, testSealAfter / 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m, holder, witness := witnessedFleet(t)
			tc.lose(m, holder, witness)
			m.pass(t, tc.drain)
			require.True(t, m.holders[witness].Drained())
			a := m.store.record.Holders[holder]
			require.Equal(t, a.Granted, a.Ceiling, "sealed")
			require.Positive(t, a.Returned)
			require.NoError(t, m.store.record.Check())
		})
	}
}

// TestReplacedHolderIsSealedAtOnce guards against tokens that stay with a router which has died although a later incarnation of it
// runs, in which time its witness may die as well.
func TestReplacedHolderIsSealedAtOnce(t *testing.T) {
	m, holder, witness := witnessedFleet(t)
	m.apply(t, step{Op: "Kill", Holder: holder})
	m.handle(witness, PeersChanged{Peers: m.names[1:], Replaced: []string{holder}})
	m.pass(t, testSealAfter/4)
	require.EqualValues(t, 1, m.store.record.Holders[holder].Seals)
}
