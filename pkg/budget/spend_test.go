package budget

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// deliverAny delivers a random envelope with a random fate.
func (m *fleetMachine) deliverAny(t *rapid.T) {
	if len(m.inTransit) == 0 {
		t.Skip("nothing in transit")
	}
	m.apply(t, step{
		Op:    "Deliver",
		Index: rapid.IntRange(0, len(m.inTransit)-1).Draw(t, "envelope"),
		Fate:  rapid.IntRange(0, 3).Draw(t, "fate"),
	})
}

// spendSteps draws the steps of one run of a fleet.
type spendSteps struct {
	t *rapid.T
	m *fleetMachine
}

func (d spendSteps) draw(label string, low, high int64) int64 {
	return rapid.Int64Range(low, high).Draw(d.t, label)
}

func (d spendSteps) holder() string { return rapid.SampledFrom(d.m.names).Draw(d.t, "holder") }

func (d spendSteps) act(s step) { d.m.apply(d.t, s) }

// serve lets a holder serve two requests; the demand makes its next grant exceed its ceiling.
func (d spendSteps) serve(holder string) {
	for range 2 {
		d.act(step{Op: "Request", Holder: holder, Tokens: d.draw("tokens", 1, 300)})
		d.act(step{Op: "Run", Index: 12})
		d.act(step{Op: "Settle", Tokens: d.draw("used", 0, 300)})
		d.act(step{Op: "Run", Index: 12})
	}
}

// deliver delivers up to n envelopes, each one of the oldest 1+disorder, with random fates.
func (d spendSteps) deliver(n, disorder int64) {
	for range n {
		d.act(step{Op: "Deliver", Index: int(d.draw("envelope", 0, disorder)), Fate: int(d.draw("fate", 0, 3))})
	}
}

// askAgain lets a holder whose account was sealed meanwhile ask for more.
func (d spendSteps) askAgain(holder string) {
	d.act(step{Op: "Request", Holder: holder, Tokens: d.draw("tokens", 1, 900)})
	d.act(step{Op: "Run", Index: int(d.draw("deliveries", 0, 12))})
}

// pausedBeyondSeal pauses a holder until its account is sealed, lets others draw what was returned, and lets it ask again.
func (d spendSteps) pausedBeyondSeal() {
	name := d.holder()
	d.serve(name)
	d.act(step{Op: "SealPaused", Holder: name})
	d.serve(d.holder())
	d.act(step{Op: "Resume", Holder: name})
	d.askAgain(name)
}

// changedWitness lets a holder change its witness with a raise under way, and an earlier or the new witness seal its account.
func (d spendSteps) changedWitness() {
	name := d.holder()
	d.serve(name)
	for range d.draw("earlier changes", 0, 2) {
		d.act(step{Op: "MissWitness", Holder: name})
		d.serve(name)
	}
	d.act(step{Op: "Request", Holder: name, Tokens: d.draw("tokens", 1, 900)})
	d.act(step{Op: "MissWitness", Holder: name})
	d.act(step{Op: "Tick", Holder: name, Milliseconds: d.draw("ms", 1, 8000)})
	d.deliver(d.draw("deliveries", 0, 8), 2)
	d.act(step{Op: "Run", Index: int(d.draw("deliveries", 0, 12))})
	d.act(step{Op: "SuspectBy", Holder: d.holder(), Missed: name})
	d.act(step{Op: "Run", Index: sealDeliveries})
	d.askAgain(name)
}

// lateRaise lets a raise reach the witness only after a later one, before the witness seals the account.
func (d spendSteps) lateRaise() {
	name := d.holder()
	d.serve(name)
	d.act(step{Op: "Request", Holder: name, Tokens: d.draw("tokens", 1, 300)})
	d.deliver(d.draw("deliveries", 1, 2), 0)
	d.act(step{Op: "Tick", Holder: name, Milliseconds: d.draw("ms", 1, 8000)})
	d.act(step{Op: "Request", Holder: name, Tokens: d.draw("tokens", 1, 300)})
	d.act(step{Op: "Run", Index: 12})
	d.act(step{Op: "LandLate"})
	d.act(step{Op: "Suspect", Holder: name})
	d.act(step{Op: "Run", Index: sealDeliveries})
}

// doubtfulReturn lets a holder return tokens with writes whose outcome it does not know and that may take effect late.
func (d spendSteps) doubtfulReturn() {
	name := d.holder()
	d.act(step{Op: "Request", Holder: name, Tokens: d.draw("tokens", 1, 900), Index: 1})
	d.act(step{Op: "Run", Index: 12})
	d.act(step{Op: "Settle", Tokens: 0})
	d.act(step{Op: "Tick", Holder: name, Milliseconds: d.draw("ms", 1000, 4000)})
	d.deliver(d.draw("deliveries", 1, 6), 0)
	d.act(step{Op: "LandLate"})
	d.act(step{Op: "Request", Holder: name, Tokens: d.draw("tokens", 1, 900), Index: int(d.draw("passing", 0, 1))})
	d.deliver(d.draw("deliveries", 0, 4), 0)
	d.act(step{Op: "LandLate", Index: int(d.draw("late", 0, 1))})
}

func TestSpendNeverExceedsPrepaid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetMachineOf("north", "north", "south", "south")
		defer m.save(t)
		d := spendSteps{t, m}
		d.act(step{Op: "TopUp", Tokens: d.draw("prepaid", 1, 4000)})
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"request": func(*rapid.T) {
				d.act(step{Op: "Request", Holder: d.holder(), Tokens: d.draw("tokens", 1, 900), Index: int(d.draw("passing", 0, 1))})
			},
			"deliver":      m.deliverAny,
			"run":          func(*rapid.T) { d.act(step{Op: "Run", Index: int(d.draw("deliveries", 1, 8))}) },
			"land late":    func(*rapid.T) { d.act(step{Op: "LandLate", Index: int(d.draw("late", 0, 3))}) },
			"settle":       func(*rapid.T) { d.act(step{Op: "Settle", Tokens: d.draw("used", 0, 900)}) },
			"refund":       func(*rapid.T) { d.act(step{Op: "Refund", Holder: d.holder(), Index: int(d.draw("bill", 0, 3))}) },
			"miss":         func(*rapid.T) { d.act(step{Op: "Miss", Holder: d.holder(), Missed: d.holder()}) },
			"miss witness": func(*rapid.T) { d.act(step{Op: "MissWitness", Holder: d.holder()}) },
			"suspect":      func(*rapid.T) { d.act(step{Op: "Suspect", Holder: d.holder()}) },
			"tick":         func(*rapid.T) { d.act(step{Op: "Tick", Holder: d.holder(), Milliseconds: d.draw("ms", 1, 20000)}) },
			"clock step": func(*rapid.T) {
				d.act(step{Op: "ClockStep", Holder: d.holder(), Milliseconds: d.draw("ms", -60000, 60000)})
			},
			"top up":             func(*rapid.T) { d.act(step{Op: "TopUp", Tokens: d.draw("tokens", 1, 500)}) },
			"top up again":       func(*rapid.T) { d.act(step{Op: "TopUpAgain"}) },
			"serve":              func(*rapid.T) { d.serve(d.holder()) },
			"pause":              func(*rapid.T) { d.act(step{Op: "Pause", Holder: d.holder()}) },
			"resume":             func(*rapid.T) { d.act(step{Op: "Resume", Holder: d.holder()}) },
			"paused beyond seal": func(*rapid.T) { d.pausedBeyondSeal() },
			"changed witness":    func(*rapid.T) { d.changedWitness() },
			"late raise":         func(*rapid.T) { d.lateRaise() },
			"doubtful return":    func(*rapid.T) { d.doubtfulReturn() },
			"lose data centre":   func(*rapid.T) { d.act(step{Op: "LoseDataCentre", Holder: d.holder()}) },
			"kill":               func(*rapid.T) { d.act(step{Op: "Kill", Holder: d.holder()}) },
			"leave":              func(*rapid.T) { d.act(step{Op: "Leave", Holder: d.holder()}) },
			"drain":              func(*rapid.T) { d.act(step{Op: "Drain", Holder: d.holder()}) },
			"homed":              func(*rapid.T) { d.act(step{Op: "Homed", Holder: d.holder(), Index: int(d.draw("home", 0, 1))}) },
		})
		m.finish(t)
	})
}

// TestSpendNeverExceedsPrepaidTotal checks the spend of a budget given as totals, of which some holders have only outdated values.
func TestSpendNeverExceedsPrepaidTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetMachine()
		defer m.save(t)
		draw := func(label string, low, high int64) int64 { return rapid.Int64Range(low, high).Draw(t, label) }
		holder := func() string { return rapid.SampledFrom(m.names).Draw(t, "holder") }
		act := func(s step) { m.apply(t, s) }
		act(step{Op: "Total", Holder: m.names[0], Tokens: draw("prepaid", 1, 4000)})
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"request": func(*rapid.T) {
				act(step{Op: "Request", Holder: holder(), Tokens: draw("tokens", 1, 900), Index: int(draw("passing", 0, 1))})
			},
			"deliver":   m.deliverAny,
			"run":       func(*rapid.T) { act(step{Op: "Run", Index: int(draw("deliveries", 1, 8))}) },
			"land late": func(*rapid.T) { act(step{Op: "LandLate", Index: int(draw("late", 0, 3))}) },
			"settle":    func(*rapid.T) { act(step{Op: "Settle", Tokens: draw("used", 0, 900)}) },
			"suspect":   func(*rapid.T) { act(step{Op: "Suspect", Holder: holder()}) },
			"tick":      func(*rapid.T) { act(step{Op: "Tick", Holder: holder(), Milliseconds: draw("ms", 1, 20000)}) },
			"total": func(*rapid.T) {
				act(step{Op: "Total", Holder: holder(), Tokens: draw("total", 1, 8000), Index: int(draw("draw", 0, 1))})
			},
			"kill":  func(*rapid.T) { act(step{Op: "Kill", Holder: holder()}) },
			"leave": func(*rapid.T) { act(step{Op: "Leave", Holder: holder()}) },
			"drain": func(*rapid.T) { act(step{Op: "Drain", Holder: holder()}) },
		})
	})
}

// finish heals all faults and checks that each request had one outcome and that only tokens of killed holders stay held.
func (m *fleetMachine) finish(t require.TestingT) {
	for key := range m.running {
		var holder, request string
		_, _ = fmt.Sscan(key, &holder, &request)
		if m.holders[holder] == nil {
			delete(m.running, key)
		}
	}
	m.heal(t)
	for _, name := range m.names {
		m.handle(name, Drain{})
	}
	m.heal(t)
	m.verify(t)
	for request, holder := range m.receivedBy {
		if m.holders[holder] != nil {
			require.Equal(t, 1, m.outcomes[request], "request %s of %s must have one outcome", request, holder)
		}
	}
	r := m.store.record
	for _, name := range m.names {
		require.True(t, m.holders[name].Drained(), "holder %s has not drained: %+v", name, m.holders[name].accounts[testBudget])
		require.NotContains(t, r.Holders, name)
	}
	var held int64
	for _, a := range r.Holders {
		held += a.Held()
	}
	require.Equal(t, r.Prepaid(), held+r.Free()+r.Spent(), "held + free + spent = prepaid")
}

// TestLossOfADataCentreLeavesSealedAccounts loses all routers of a data centre after some demand; the witnesses elsewhere must
// return what the lost routers cannot have spent.
func TestLossOfADataCentreLeavesSealedAccounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetMachine()
		draw := func(label string, low, high int64) int64 { return rapid.Int64Range(low, high).Draw(t, label) }
		holder := func() string { return rapid.SampledFrom(m.names).Draw(t, "holder") }
		m.apply(t, step{Op: "TopUp", Tokens: draw("prepaid", 1000, 100_000)})
		for range draw("requests", 1, 12) {
			m.apply(t, step{Op: "Request", Holder: holder(), Tokens: draw("tokens", 1, 900)})
			m.apply(t, step{Op: "Run", Index: 100})
			m.apply(t, step{Op: "Settle", Tokens: draw("used", 0, 900)})
			m.apply(t, step{Op: "Run", Index: 100})
		}
		lost := holder()
		m.apply(t, step{Op: "LoseDataCentre", Holder: lost})
		m.heal(t)
		for name, a := range m.store.record.Holders {
			if m.dataCentre[name] == m.dataCentre[lost] && m.holders[name] == nil {
				require.Equal(t, a.Granted, a.Ceiling, "%s: what is above the ceiling stays with a lost router: %+v", name, a)
			}
		}
		m.finish(t)
	})
}
