package budget

import (
	"fmt"
	"time"
)

// escrow is the sharing method of this package: a Holder for each router.
type escrow struct{ policy Policy }

func (e escrow) holder(s *script, r *scriptRouter) *Holder {
	if r.holder != nil {
		return r.holder
	}
	h := &Holder{Name: e.name(r), Policy: e.policy}
	r.holder = h
	epoch := r.epoch
	var tick func()
	tick = func() {
		if r.epoch != epoch {
			return
		}
		e.handle(s, r, PeersChanged{Peers: e.peers(s, r)})
		e.handle(s, r, Tick{})
		s.After(50*time.Millisecond, tick)
	}
	s.After(0, tick)
	return h
}

func (e escrow) name(r *scriptRouter) string { return routerName(r) }

func routerName(r *scriptRouter) string { return fmt.Sprintf("vm-%d.%d", r.index, r.epoch) }

func (e escrow) peers(s *script, r *scriptRouter) []string {
	var peers []string
	for _, other := range s.routers {
		if other != r && !other.dead && !other.partitioned && !r.partitioned {
			peers = append(peers, e.name(other))
		}
	}
	return peers
}

func (e escrow) request(s *script, r *scriptRouter, id string, tokens int64) {
	e.holder(s, r)
	e.handle(s, r, PeersChanged{Peers: e.peers(s, r)})
	e.reserve(s, r, id, tokens, false, func(accepted bool) {
		if !accepted {
			s.refuse(tokens)
		}
	})
}

// reserve requests a reservation at one router; answer is called once.
func (e escrow) reserve(s *script, r *scriptRouter, id string, tokens int64, forwarded bool, answer func(accepted bool)) {
	s.pending[id+e.name(r)] = pendingReservation{tokens, answer}
	e.handle(s, r, Reserve{Request: id, Budget: testBudget, Tokens: tokens, Deadline: s.Now.Add(10 * time.Second), Forwarded: forwarded})
}

// pendingReservation is a reservation that a holder has not decided on.
type pendingReservation struct {
	tokens int64
	answer func(bool)
}

func (e escrow) handle(s *script, r *scriptRouter, ev Event) {
	epoch := r.epoch
	later := func(d time.Duration, ev Event) {
		s.After(d, func() {
			if r.epoch == epoch {
				e.handle(s, r, ev)
			}
		})
	}
	for _, action := range e.holder(s, r).Handle(s.Now, ev) {
		switch action := action.(type) {
		case Dispatch:
			p := s.pending[action.Request+e.name(r)]
			s.dispatch(r, action.Request, p.tokens)
			p.answer(true)
		case Refuse:
			s.pending[action.Request+e.name(r)].answer(false)
		case Load:
			if s.storeDown || r.partitioned {
				later(storeDelay, LoadFailed{action.Budget})
				continue
			}
			later(storeDelay, Loaded{Budget: action.Budget, Version: s.store.version, Record: s.store.record, Stale: action.Stale})
		case Commit:
			later(storeDelay, e.commit(s, r, action))
		case Forward:
			e.forward(s, r, action, later)
		case Recall:
			e.recall(s, r, action, later)
		case Raise:
			e.raise(s, r, action, later)
		case AnswerRaise:
			s.raises[action.ID](action.Acknowledged)
		case AnswerRecall:
			s.recalls[action.ID]()
		}
	}
}

func (e escrow) commit(s *script, r *scriptRouter, c Commit) Event {
	s.figures.writes++
	switch {
	case s.storeDown || r.partitioned:
		return Committed{Budget: c.Budget}
	case s.store.put(c.Version, c.Record):
		return Committed{Budget: c.Budget, Outcome: TookEffect, Version: s.store.version}
	default:
		return Committed{Budget: c.Budget, Outcome: NoEffect}
	}
}

func (e escrow) peer(s *script, r *scriptRouter, name string) *scriptRouter {
	for _, other := range s.routers {
		if e.name(other) == name && !other.dead && !other.partitioned && !r.partitioned {
			return other
		}
	}
	return nil
}

func (e escrow) forward(s *script, r *scriptRouter, f Forward, later func(time.Duration, Event)) {
	p := s.pending[f.Request+e.name(r)]
	other := e.peer(s, r, f.Peer)
	if other == nil {
		later(peerDelay, ForwardRefused{f.Request, f.Peer})
		return
	}
	s.After(peerDelay, func() {
		if other.dead {
			later(0, ForwardRefused{f.Request, f.Peer})
			return
		}
		e.reserve(s, other, f.Request+">"+f.Peer, p.tokens, true, func(accepted bool) {
			if accepted {
				later(peerDelay, ForwardAccepted{f.Request})
				return
			}
			later(peerDelay, ForwardRefused{f.Request, f.Peer})
		})
	})
}

func (e escrow) recall(s *script, r *scriptRouter, c Recall, later func(time.Duration, Event)) {
	other := e.peer(s, r, c.Peer)
	if other == nil {
		later(peerDelay, RecallDone{c.Budget, c.Peer})
		return
	}
	s.Sequence++
	id := fmt.Sprint("recall-", s.Sequence)
	answered := false
	done := func() {
		if !answered {
			answered = true
			later(peerDelay, RecallDone{c.Budget, c.Peer})
		}
	}
	s.recalls[id] = done
	s.After(time.Second, done)
	e.handle(s, other, RecallRequested{c.Budget, id})
}

func (e escrow) raise(s *script, r *scriptRouter, raise Raise, later func(time.Duration, Event)) {
	s.figures.raises++
	other := e.peer(s, r, raise.Witness)
	if other == nil {
		later(peerDelay, RaiseDone{raise, false})
		return
	}
	s.Sequence++
	id := fmt.Sprint("raise-", s.Sequence)
	s.raises[id] = func(ok bool) { later(2*peerDelay, RaiseDone{raise, ok}) }
	e.handle(s, other, RaiseRequested{raise.Budget, e.name(r), raise.Seals, raise.Ceiling, raise.Spent, id})
}

func (e escrow) settled(s *script, r *scriptRouter, id string, used, _ int64) {
	e.handle(s, r, Settle{id, used})
}

func (e escrow) stranded(s *script, holder string) int64 {
	return s.store.record.Holders[holder].Held()
}
