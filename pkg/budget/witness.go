package budget

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// pledgeKey names an account that this router is the witness of.
type pledgeKey struct{ budget, holder string }

func (k pledgeKey) compare(other pledgeKey) int {
	return cmp.Or(cmp.Compare(k.budget, other.budget), cmp.Compare(k.holder, other.holder))
}

// pledge is what a witness acknowledged to a holder.
//
// Once sealed, no ceiling is acknowledged any more for the same number of
// seals. A sealed pledge is never forgotten, since the holder may only be paused.
type pledge struct {
	ceiling     int64
	spent       int64 // As the holder reported it with its last raise.
	seals       uint64
	sealed      bool
	absentSince time.Time // Zero while the holder is among the peers.
}

func (h *Holder) peersChanged(now time.Time, ev PeersChanged) {
	h.peers = slices.Clone(ev.Peers)
	h.witnesses = slices.Clone(ev.Witnesses)
	if len(h.witnesses) == 0 {
		h.witnesses = h.peers
	}
	for key, p := range h.pledges {
		switch {
		case slices.Contains(h.peers, key.holder):
			p.absentSince = time.Time{}
		case p.absentSince.IsZero():
			p.absentSince = now
		}
	}
}

// raiseWanted acknowledges a ceiling unless the account was sealed.
func (h *Holder) raiseWanted(ev RaiseWanted) []Action {
	key := pledgeKey{ev.Budget, ev.Holder}
	p, ok := h.pledges[key]
	if !ok || p.seals < ev.Seals {
		p = &pledge{seals: ev.Seals}
		if h.pledges == nil {
			h.pledges = map[pledgeKey]*pledge{}
		}
		h.pledges[key] = p
	}
	if h.draining || p.sealed || p.seals > ev.Seals {
		return []Action{AnswerRaise{ev.ID, false}}
	}
	p.ceiling = max(p.ceiling, ev.Ceiling)
	p.spent = max(p.spent, ev.Spent)
	return []Action{AnswerRaise{ev.ID, true}}
}

// sealAbsent stops acknowledging ceilings to holders that have been absent for long and plans to give back what lies above them.
func (h *Holder) sealAbsent(now time.Time) {
	if h.draining {
		return
	}
	after := h.Policy.withDefaults().SealAfter
	for _, key := range slices.SortedFunc(maps.Keys(h.pledges), pledgeKey.compare) {
		p := h.pledges[key]
		if p.sealed || p.absentSince.IsZero() || now.Sub(p.absentSince) < after {
			continue
		}
		p.sealed = true
		a := h.account(key.budget)
		a.sealing = append(a.sealing, key)
	}
}

// seal writes the next planned seal; one that the record no longer allows is dropped.
func (h *Holder) seal(now time.Time, a *account) []Action {
	for len(a.sealing) > 0 {
		key := a.sealing[0]
		p := h.pledges[key]
		record, err := a.record.seal(key.holder, h.Name, *p)
		if err == nil {
			return h.send(now, a, &write{record: record, before: a.mine})
		}
		a.sealing = a.sealing[1:]
	}
	return nil
}

// chooseWitness keeps the witness while it can be reached and answers, and picks another peer otherwise.
func (h *Holder) chooseWitness(now time.Time, a *account) string {
	failing := now.Sub(a.raisedAt) < h.Policy.withDefaults().Backoff
	if slices.Contains(h.peers, a.mine.Witness) && !failing {
		return a.mine.Witness
	}
	best := ""
	var most uint64
	for _, peer := range h.witnesses {
		score := xxhash.Sum64String(a.budget + "\x00" + h.Name + "\x00" + peer)
		if peer != a.mine.Witness && (best == "" || score > most) {
			best = peer
			most = score
		}
	}
	return best
}

// raise asks the witness for a higher ceiling when less than half a step is usable or a request waits for it.
//
// A new witness is asked at once: it seals only the accounts that it was asked about.
func (h *Holder) raise(now time.Time, a *account) []Action {
	p := h.Policy.withDefaults()
	enough := a.acked > 0 && a.usable() >= a.step(p)/2 && !h.awaitsRaise(a)
	above := a.mine.Granted > a.ceiling()
	if enough || !above || a.raising || h.switching(a) || a.mine.Witness == "" {
		return nil
	}
	if now.Sub(a.raisedAt) < p.Backoff || !slices.Contains(h.peers, a.mine.Witness) {
		return nil
	}
	a.raising = true
	return []Action{Raise{
		Budget:  a.budget,
		Witness: a.mine.Witness,
		Seals:   a.mine.Seals,
		Ceiling: min(a.mine.Granted, max(h.wantedCeiling(a), a.ceiling()+1)),
		Spent:   a.mine.Spent,
	}}
}

// awaitsRaise reports whether a request waits that the grant covers but not the usable part of it.
func (h *Holder) awaitsRaise(a *account) bool {
	for _, id := range a.waiting {
		if n := h.requests[id].Tokens; n <= a.headroom() && n > a.usable() {
			return true
		}
	}
	return false
}

// switching reports whether a write that names another witness, or none, may still land.
func (h *Holder) switching(a *account) bool {
	if a.write == nil {
		return false
	}
	row, ok := a.write.record.Holders[h.Name]
	return !ok || row.Witness != a.mine.Witness
}

func (h *Holder) raiseDone(now time.Time, ev RaiseDone) []Action {
	a := h.account(ev.Budget)
	a.raising = false
	valid := ev.Witness == a.mine.Witness && ev.Seals == a.mine.Seals && !h.switching(a)
	switch {
	case ev.Acknowledged && valid:
		a.acked = max(a.acked, ev.Ceiling)
	default:
		a.raisedAt = now
	}
	return h.advance(now, a)
}

// adoptRow takes over the holder's own account as the store proves it.
//
// A row with another witness or more seals holds all that was acknowledged
// before, so that older acknowledgements are dropped.
func (a *account) adoptRow(row Account) {
	if row.Witness != a.mine.Witness || row.Seals != a.mine.Seals {
		a.acked = 0
	}
	a.mine.Granted = row.Granted
	a.mine.Ceiling = row.Ceiling
	a.mine.Returned = row.Returned
	a.mine.Witness = row.Witness
	a.mine.Seals = row.Seals
}
