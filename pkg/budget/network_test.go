package budget

// envelope is an action from a holder or an event to a holder that is in transit.
type envelope struct {
	holder string
	action Action
	event  Event
}

// origin identifies the holder that waits for the answer to a forwarded request, a recall or a raise.
type origin struct {
	holder, request, budget, peer string
	raise                         *Raise
}

// peerDied returns the event that the origin receives if its peer dies before it answers.
func (o origin) peerDied() Event {
	switch {
	case o.raise != nil:
		return RaiseDone{*o.raise, false}
	case o.budget != "":
		return RecallDone{o.budget, o.peer}
	default:
		return ForwardAccepted{o.request}
	}
}

func (m *fleetMachine) collect(holder string, action Action) {
	switch action := action.(type) {
	case Dispatch:
		m.running[holder+" "+action.Request] = m.reserved[action.Request]
		m.used += m.reserved[action.Request]
		m.answerForward(action.Request, true)
	case Bill:
		m.outcomes[action.Request]++
	case Refuse:
		if !m.answerForward(action.Request, false) {
			m.outcomes[action.Request]++
		}
	case AnswerRaise:
		o, awaited := m.origins[action.ID]
		if !awaited {
			return
		}
		m.answered[action.ID] = true
		m.inTransit = append(m.inTransit, envelope{holder: o.holder, event: RaiseDone{*o.raise, action.Acknowledged && m.fate != 2}})
	case AnswerRecall:
		o := m.origins[action.ID]
		m.answered[action.ID] = true
		m.inTransit = append(m.inTransit, envelope{holder: o.holder, event: RecallDone{o.budget, o.peer}})
	default:
		m.inTransit = append(m.inTransit, envelope{holder: holder, action: action})
	}
}

func (m *fleetMachine) answerForward(request string, accepted bool) bool {
	o, ok := m.origins[request]
	if !ok {
		return false
	}
	m.answered[request] = true
	if accepted {
		m.outcomes[o.request]++
	}
	var ev Event = ForwardRefused{o.request, o.peer}
	if accepted {
		ev = ForwardAccepted{o.request}
	}
	m.inTransit = append(m.inTransit, envelope{holder: o.holder, event: ev})
	return true
}

// deliver processes one envelope with the given fate; fate 0 means that no fault occurs, and the action determines what the others mean.
func (m *fleetMachine) deliver(i, fate int) {
	e := m.inTransit[i]
	if m.paused[e.holder] {
		return
	}
	m.inTransit = append(m.inTransit[:i], m.inTransit[i+1:]...)
	if e.event != nil {
		m.handle(e.holder, e.event)
		return
	}
	m.fate = fate
	switch action := e.action.(type) {
	case Raise:
		m.raise(e.holder, action, fate)
	case Load:
		var ev Event = Loaded{Budget: action.Budget, Version: m.store.version, Record: m.store.record}
		switch {
		case action.Stale && fate != 1:
			version, record := m.store.stale(fate)
			ev = Loaded{Budget: action.Budget, Version: version, Record: record, Stale: true}
		case fate == 1:
			ev = LoadFailed{action.Budget}
		}
		m.inTransit = append(m.inTransit, envelope{holder: e.holder, event: ev})
	case Commit:
		m.commit(e.holder, action, fate)
	case Forward:
		m.forward(e.holder, action, fate)
	case Recall:
		m.recall(e.holder, action, fate)
	case Entrust:
		if fate == 0 {
			for _, peer := range action.Peers {
				m.handle(peer, action.OrphanedAccount)
			}
		}
	}
}

func (m *fleetMachine) commit(holder string, c Commit, fate int) {
	done := Committed{Budget: c.Budget}
	switch fate {
	case 1: // The answer is lost, whether or not the write took effect.
		m.store.put(c.Version, c.Record)
	case 2: // The write may take effect later.
		m.lateWrites = append(m.lateWrites, c)
	case 3:
		done.Outcome = NoEffect
	default:
		done.Outcome = NoEffect
		if m.store.put(c.Version, c.Record) {
			done.Outcome = TookEffect
			done.Version = m.store.version
		} else if m.store.version%2 == 0 { // The store does not always return the conflicting record.
			done.Current = &Loaded{Budget: c.Budget, Version: m.store.version, Record: m.store.record}
		}
	}
	m.inTransit = append(m.inTransit, envelope{holder: holder, event: done})
}

func (m *fleetMachine) forward(holder string, f Forward, fate int) {
	if fate != 0 || m.holders[f.Peer] == nil {
		m.inTransit = append(m.inTransit, envelope{holder: holder, event: ForwardRefused{f.Request, f.Peer}})
		return
	}
	request := m.id("forwarded")
	m.reserved[request] = m.reserved[f.Request]
	m.origins[request] = origin{holder: holder, request: f.Request, peer: f.Peer}
	m.handle(f.Peer, Reserve{Request: request, Budget: testBudget, Tokens: m.reserved[f.Request], Forwarded: true})
}

// raise delivers a raise to the witness; with fate 1 it is lost, with fate 2 its answer is lost, with fate 3 it arrives late.
func (m *fleetMachine) raise(holder string, r Raise, fate int) {
	id := m.id("raise")
	if fate == 3 {
		late := RaiseRequested{r.Budget, holder, r.Seals, r.Ceiling, r.Spent, id}
		m.lateRaises = append(m.lateRaises, envelope{holder: r.Witness, event: late})
	}
	if fate == 1 || fate == 3 || m.holders[r.Witness] == nil {
		m.inTransit = append(m.inTransit, envelope{holder: holder, event: RaiseDone{r, false}})
		return
	}
	m.origins[id] = origin{holder: holder, peer: r.Witness, raise: &r}
	m.handle(r.Witness, RaiseRequested{r.Budget, holder, r.Seals, r.Ceiling, r.Spent, id})
}

func (m *fleetMachine) recall(holder string, r Recall, fate int) {
	if fate != 0 || m.holders[r.Peer] == nil {
		m.inTransit = append(m.inTransit, envelope{holder: holder, event: RecallDone{r.Budget, r.Peer}})
		return
	}
	id := m.id("recall")
	m.origins[id] = origin{holder: holder, budget: r.Budget, peer: r.Peer}
	m.handle(r.Peer, RecallRequested{r.Budget, id})
}
