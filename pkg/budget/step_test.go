package budget

import (
	"slices"
	"time"

	"github.com/stretchr/testify/require"
)

// step is one operation of a trace; fields that its Op does not use are zero.
type step struct {
	Op           string
	Holder       string `json:",omitempty"`
	Tokens       int64  `json:",omitempty"`
	Index        int    `json:",omitempty"` // Index into a list, number of deliveries for Run, or 1 for true: on demand, home or initial grant.
	Fate         int    `json:",omitempty"` // See deliver.
	Milliseconds int64  `json:",omitempty"`
	Missed       string `json:",omitempty"` // Live holder that is left out of the peers of Holder.

	DataCentres []string `json:",omitempty"` // Of the first holders; only in the first step of a trace.
}

// apply executes one step; a step that refers to a missing envelope, write, bill or account has no effect.
func (m *fleetMachine) apply(t require.TestingT, s step) {
	m.trace = append(m.trace, s)
	switch s.Op {
	case "Request":
		m.request(s.Holder, s.Tokens, s.Index > 0)
	case "Deliver":
		if s.Index < len(m.inTransit) {
			m.deliver(s.Index, s.Fate)
		}
	case "Run":
		m.run(s.Index)
	case "LandLate":
		if s.Index < len(m.lateWrites) {
			m.store.put(m.lateWrites[s.Index].Version, m.lateWrites[s.Index].Record)
		}
		if n := len(m.lateRaises); s.Index < n {
			late := m.lateRaises[n-1-s.Index]
			m.handle(late.holder, late.event)
		}
	case "Settle":
		if key := sampleKey(m.running); key != "" {
			m.settle(key, min(s.Tokens, m.running[key]))
		}
	case "Refund":
		if s.Index < len(m.billed) {
			m.refund(s.Holder, s.Index)
		}
	case "Miss":
		m.setPeers(s.Holder, s.Missed)
	case "MissWitness":
		if a := m.holders[s.Holder].accounts[testBudget]; a != nil {
			m.setPeers(s.Holder, a.own.Witness)
		}
	case "Suspect":
		m.suspect(s.Holder)
	case "SuspectBy":
		m.suspectBy(s.Holder, s.Missed)
	case "Pause":
		m.paused[s.Holder] = true
	case "Resume":
		delete(m.paused, s.Holder)
	case "SealPaused":
		m.sealPaused(s.Holder)
	case "LoseDataCentre":
		m.loseDataCentre(s.Holder)
	case "Tick":
		m.now = m.now.Add(time.Duration(s.Milliseconds) * time.Millisecond)
		m.handle(s.Holder, Tick{})
	case "ClockStep":
		m.clockOffset[s.Holder] = time.Duration(s.Milliseconds) * time.Millisecond
	case "TopUp":
		m.topUp(t, m.id("top-up"), s.Tokens)
	case "TopUpAgain":
		for id, tokens := range m.store.record.TopUps {
			m.topUp(t, id, tokens)
		}
	case "Kill":
		m.kill(slices.Index(m.names, s.Holder))
	case "Drain":
		m.handle(s.Holder, Drain{})
	case "Leave":
		m.handle(s.Holder, Leave{})
		m.kill(slices.Index(m.names, s.Holder))
	case "Homed":
		m.handle(s.Holder, HomeChanged{testBudget, s.Index > 0})
	case "Total":
		m.maxTotal = max(m.maxTotal, s.Tokens)
		m.handle(s.Holder, PrepaidTotal{testBudget, s.Tokens, s.Index > 0})
	}
}
