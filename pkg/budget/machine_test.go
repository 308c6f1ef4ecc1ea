package budget

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	testBudget    = "polish"
	testSealAfter = 2 * time.Second
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// fakeStore applies conditional writes to one record.
type fakeStore struct {
	version uint64
	record  Record
}

func (s *fakeStore) put(base uint64, r Record) bool {
	if base != s.version {
		return false
	}
	s.version++
	s.record = r
	return true
}

// envelope is an action of a holder on its way, or an event on its way to one.
type envelope struct {
	holder string
	action Action
	event  Event
}

// origin remembers who waits for the answer to a forwarded request or a recall.
type origin struct {
	holder, request, budget, peer string
	raise                         *Raise
}

// lost is the event that tells the origin that its peer died before it answered.
func (o origin) lost() Event {
	switch {
	case o.raise != nil:
		return RaiseDone{*o.raise, false}
	case o.budget != "":
		return RecallDone{o.budget, o.peer}
	default:
		return ForwardTaken{o.request}
	}
}

// fleetMachine drives holders, a store and a lossy network; its fields run and finals are the oracle.
type fleetMachine struct {
	store    fakeStore
	holders  map[string]*Holder
	names    []string
	offset   map[string]time.Duration
	now      time.Time
	transit  []envelope
	late     []Commit // Writes whose outcome was reported as unknown and that may still land.
	running  map[string]int64
	reserved map[string]int64
	run      int64   // Tokens run by endpoints, less refunds.
	billed   []int64 // Bills that were not refunded.
	finals   map[string]int
	origins  map[string]origin
	answered map[string]bool // Forwards and recalls whose answer was sent.
	trace    []step
	home     map[string]string // Holder by request that a caller sent.
	next     int
	fate     int   // Of the envelope that is delivered.
	total    int64 // Highest prepaid total that was told to a holder.
}

func newFleetMachine() *fleetMachine {
	m := &fleetMachine{
		holders: map[string]*Holder{}, offset: map[string]time.Duration{}, now: start,
		running: map[string]int64{}, reserved: map[string]int64{}, finals: map[string]int{},
		origins: map[string]origin{}, answered: map[string]bool{}, home: map[string]string{},
	}
	m.store.record.Budget = testBudget
	for range 3 {
		m.addHolder()
	}
	return m
}

func (m *fleetMachine) id(prefix string) string {
	m.next++
	return fmt.Sprintf("%s-%d", prefix, m.next)
}

func (m *fleetMachine) addHolder() {
	name := m.id("vm")
	m.holders[name] = &Holder{Name: name, Policy: Policy{MaxForwards: 2, SealAfter: testSealAfter, Step: time.Second, RetireAfter: 30 * time.Second}}
	m.names = append(m.names, name)
	for _, other := range m.names {
		m.tellPeers(other, "")
	}
}

// kill replaces a holder by a new incarnation; the connections of its peers break.
func (m *fleetMachine) kill(i int) {
	victim := m.names[i]
	delete(m.holders, victim)
	m.names = append(m.names[:i], m.names[i+1:]...)
	for _, id := range slices.Sorted(maps.Keys(m.origins)) {
		o := m.origins[id]
		if o.peer != victim || m.answered[id] {
			continue
		}
		lost := o.lost()
		if taken, ok := lost.(ForwardTaken); ok {
			m.finals[taken.Request]++
		}
		m.transit = append(m.transit, envelope{holder: o.holder, event: lost})
	}
	m.addHolder()
}

func (m *fleetMachine) handle(holder string, ev Event) {
	h, ok := m.holders[holder]
	if !ok {
		return
	}
	for _, action := range h.Handle(m.now.Add(m.offset[holder]), ev) {
		m.note(holder, action)
	}
}

func (m *fleetMachine) note(holder string, action Action) {
	switch action := action.(type) {
	case Dispatch:
		m.running[holder+" "+action.Request] = m.reserved[action.Request]
		m.run += m.reserved[action.Request]
		m.answerForward(action.Request, true)
	case Bill:
		m.finals[action.Request]++
	case Refuse:
		if !m.answerForward(action.Request, false) {
			m.finals[action.Request]++
		}
	case AnswerRaise:
		o := m.origins[action.ID]
		m.answered[action.ID] = true
		m.transit = append(m.transit, envelope{holder: o.holder, event: RaiseDone{*o.raise, action.Acknowledged && m.fate != 2}})
	case AnswerRecall:
		o := m.origins[action.ID]
		m.answered[action.ID] = true
		m.transit = append(m.transit, envelope{holder: o.holder, event: RecallDone{o.budget, o.peer}})
	default:
		m.transit = append(m.transit, envelope{holder: holder, action: action})
	}
}

func (m *fleetMachine) answerForward(request string, taken bool) bool {
	o, ok := m.origins[request]
	if !ok {
		return false
	}
	m.answered[request] = true
	if taken {
		m.finals[o.request]++
	}
	var ev Event = ForwardRefused{o.request, o.peer}
	if taken {
		ev = ForwardTaken{o.request}
	}
	m.transit = append(m.transit, envelope{holder: o.holder, event: ev})
	return true
}

// deliver carries out one envelope with the given fate; fate 0 is the faultless one.
func (m *fleetMachine) deliver(i, fate int) {
	e := m.transit[i]
	m.transit = append(m.transit[:i], m.transit[i+1:]...)
	if e.event != nil {
		m.handle(e.holder, e.event)
		return
	}
	m.fate = fate
	switch action := e.action.(type) {
	case Raise:
		m.raise(e.holder, action, fate)
	case Load:
		var ev Event = Loaded{action.Budget, m.store.version, m.store.record}
		if fate == 1 {
			ev = LoadFailed{action.Budget}
		}
		m.transit = append(m.transit, envelope{holder: e.holder, event: ev})
	case Commit:
		m.commit(e.holder, action, fate)
	case Forward:
		m.forward(e.holder, action, fate)
	case Recall:
		m.recall(e.holder, action, fate)
	case Entrust:
		if fate == 0 {
			for _, peer := range action.Peers {
				m.handle(peer, action.LeftBehind)
			}
		}
	}
}

func (m *fleetMachine) commit(holder string, c Commit, fate int) {
	done := Committed{Budget: c.Budget}
	switch fate {
	case 1: // The answer is lost after the write took effect, or it had no effect.
		m.store.put(c.Version, c.Record)
	case 2: // The write may land later.
		m.late = append(m.late, c)
	case 3:
		done.Outcome = NoEffect
	default:
		done.Outcome = NoEffect
		if m.store.put(c.Version, c.Record) {
			done.Outcome = TookEffect
			done.Version = m.store.version
		} else if m.store.version%2 == 0 { // The store does not always tell what stood in the way.
			done.Current = &Loaded{c.Budget, m.store.version, m.store.record}
		}
	}
	m.transit = append(m.transit, envelope{holder: holder, event: done})
}

func (m *fleetMachine) forward(holder string, f Forward, fate int) {
	if fate != 0 || m.holders[f.Peer] == nil {
		m.transit = append(m.transit, envelope{holder: holder, event: ForwardRefused{f.Request, f.Peer}})
		return
	}
	request := m.id("forwarded")
	m.reserved[request] = m.reserved[f.Request]
	m.origins[request] = origin{holder: holder, request: f.Request, peer: f.Peer}
	m.handle(f.Peer, Reserve{Request: request, Budget: testBudget, Tokens: m.reserved[f.Request], Forwarded: true})
}

// raise asks the witness; with fate 2 its answer is lost.
func (m *fleetMachine) raise(holder string, r Raise, fate int) {
	if fate == 1 || m.holders[r.Witness] == nil {
		m.transit = append(m.transit, envelope{holder: holder, event: RaiseDone{r, false}})
		return
	}
	id := m.id("raise")
	m.origins[id] = origin{holder: holder, peer: r.Witness, raise: &r}
	m.handle(r.Witness, RaiseWanted{r.Budget, holder, r.Seals, r.Ceiling, r.Spent, id})
}

// tellPeers tells a holder which others it can reach, all but the one that it wrongly misses.
func (m *fleetMachine) tellPeers(holder, missed string) {
	var peers []string
	for _, other := range m.names {
		if other != holder && other != missed {
			peers = append(peers, other)
		}
	}
	m.handle(holder, PeersChanged{Peers: peers})
}

// suspect lets a holder's witness miss it for so long that the witness seals its account.
func (m *fleetMachine) suspect(holder string) {
	a := m.holders[holder].accounts[testBudget]
	if a == nil || m.holders[a.mine.Witness] == nil {
		return
	}
	witness := a.mine.Witness
	m.tellPeers(witness, holder)
	m.now = m.now.Add(testSealAfter)
	m.handle(witness, Tick{})
}

func (m *fleetMachine) recall(holder string, r Recall, fate int) {
	if fate != 0 || m.holders[r.Peer] == nil {
		m.transit = append(m.transit, envelope{holder: holder, event: RecallDone{r.Budget, r.Peer}})
		return
	}
	id := m.id("recall")
	m.origins[id] = origin{holder: holder, budget: r.Budget, peer: r.Peer}
	m.handle(r.Peer, RecallWanted{r.Budget, id})
}

func (m *fleetMachine) request(holder string, tokens int64, passing bool) {
	id := m.id("request")
	m.home[id] = holder
	m.reserved[id] = tokens
	m.handle(holder, Reserve{Request: id, Budget: testBudget, Tokens: tokens, Deadline: m.now.Add(time.Hour), Passing: passing})
}

func (m *fleetMachine) settle(key string, tokens int64) {
	var holder, request string
	_, _ = fmt.Sscan(key, &holder, &request)
	m.run -= m.running[key] - tokens
	m.billed = append(m.billed, tokens)
	delete(m.running, key)
	m.handle(holder, Settle{request, tokens})
	m.handle(holder, Settle{request, tokens})
}

func (m *fleetMachine) refund(holder string, i int) {
	m.handle(holder, Refund{testBudget, m.billed[i]})
	m.run -= m.billed[i]
	m.billed = append(m.billed[:i], m.billed[i+1:]...)
}

func (m *fleetMachine) topUp(t require.TestingT, id string, tokens int64) {
	next, err := m.store.record.TopUp(id, tokens)
	require.NoError(t, err)
	m.store.put(m.store.version, next)
}

func (m *fleetMachine) check(t *rapid.T) { m.verify(t) }

func (m *fleetMachine) verify(t require.TestingT) {
	require.NoError(t, m.store.record.Check())
	require.LessOrEqual(t, m.run, m.store.record.Prepaid(), "tokens run by endpoints exceed the prepaid tokens")
	if m.total > 0 {
		require.LessOrEqual(t, m.run, m.total, "tokens run by endpoints exceed the total that was paid")
	}
	for name, h := range m.holders {
		if a := h.accounts[testBudget]; a != nil && !a.closed && !a.fenced {
			row, ok := m.store.record.Holders[name]
			owned := a.ceiling() - a.mine.Returned
			if !ok && a.write != nil && a.write.closing {
				// What the closing write reported as spent is retired with the account.
				owned -= a.write.before.Spent - a.write.before.Refunded
			}
			require.LessOrEqual(t, owned, row.Granted-row.Returned, "%s believes that it owns more than the store holds for it", name)
		}
	}
	for request, n := range m.finals {
		require.LessOrEqual(t, n, 1, "request %s has more than one outcome", request)
	}
}

func (m *fleetMachine) heal(t require.TestingT) {
	m.late = nil
	for _, name := range m.names {
		m.tellPeers(name, "")
	}
	for range 400 {
		for n := 0; len(m.transit) > 0; n++ {
			require.Less(t, n, 100000, "the holders keep sending although no fault is left")
			m.deliver(0, 0)
		}
		if key := sampleKey(m.running); key != "" {
			m.settle(key, m.running[key]/2)
		}
		m.now = m.now.Add(time.Second)
		for _, name := range m.names {
			m.handle(name, Tick{})
		}
	}
}

func sampleKey(running map[string]int64) string {
	first := ""
	for key := range running {
		if first == "" || key < first {
			first = key
		}
	}
	return first
}

// step is one event of a trace; fields that its Op does not need are zero.
type step struct {
	Op           string
	Holder       string `json:",omitempty"`
	Tokens       int64  `json:",omitempty"`
	Index        int    `json:",omitempty"`
	Fate         int    `json:",omitempty"`
	Milliseconds int64  `json:",omitempty"`
	Missed       string `json:",omitempty"`
}

// apply carries out one step; a step for which nothing is there does nothing.
func (m *fleetMachine) apply(t require.TestingT, s step) {
	m.trace = append(m.trace, s)
	switch s.Op {
	case "Request":
		m.request(s.Holder, s.Tokens, s.Index > 0)
	case "Deliver":
		if s.Index < len(m.transit) {
			m.deliver(s.Index, s.Fate)
		}
	case "Run":
		for n := s.Index; n > 0 && len(m.transit) > 0; n-- {
			m.deliver(0, 0)
		}
	case "LandLate":
		if s.Index < len(m.late) {
			m.store.put(m.late[s.Index].Version, m.late[s.Index].Record)
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
		m.tellPeers(s.Holder, s.Missed)
	case "MissWitness":
		if a := m.holders[s.Holder].accounts[testBudget]; a != nil {
			m.tellPeers(s.Holder, a.mine.Witness)
		}
	case "Suspect":
		m.suspect(s.Holder)
	case "Tick":
		m.now = m.now.Add(time.Duration(s.Milliseconds) * time.Millisecond)
		m.handle(s.Holder, Tick{})
	case "ClockStep":
		m.offset[s.Holder] = time.Duration(s.Milliseconds) * time.Millisecond
	case "TopUp":
		m.topUp(t, m.id("top-up"), s.Tokens)
	case "TopUpAgain":
		for id, tokens := range m.store.record.TopUps {
			m.topUp(t, id, tokens)
		}
	case "Kill":
		m.kill(slices.Index(m.names, s.Holder))
	case "Leave":
		m.handle(s.Holder, Leave{})
		m.kill(slices.Index(m.names, s.Holder))
	case "Homed":
		m.handle(s.Holder, Homed{testBudget, s.Index > 0})
	case "Total":
		m.total = max(m.total, s.Tokens)
		m.handle(s.Holder, Prepaid{testBudget, s.Tokens, s.Index > 0})
	}
}
