package budget

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// witnessedKey identifies an account for which this router is the witness.
type witnessedKey struct{ budget, holder string }

func (k witnessedKey) compare(other witnessedKey) int {
	return cmp.Or(cmp.Compare(k.budget, other.budget), cmp.Compare(k.holder, other.holder))
}

// witnessedAccount is what this router, as a witness, has acknowledged to a holder.
//
// Once it is sealed, no further ceiling is acknowledged for the same seal count.
// A sealed entry is never removed, since the holder may only be paused.
type witnessedAccount struct {
	ceiling     int64
	spent       int64     // Tokens spent according to the holder's raises.
	seals       uint64    // Seal count of the account for which the ceiling is acknowledged.
	sealed      bool      // The account is to be sealed or has been; no ceiling is acknowledged.
	absentSince time.Time // Time since which the holder is unreachable; zero while it is among the peers.
}

func (h *Holder) peersChanged(now time.Time, ev PeersChanged) {
	h.peers = slices.Clone(ev.Peers)
	h.witnesses = slices.Clone(ev.Witnesses)
	h.replaced = slices.Clone(ev.Replaced)
	if len(h.witnesses) == 0 {
		h.witnesses = h.peers
	}
	for key, w := range h.witnessed {
		switch {
		case slices.Contains(h.peers, key.holder):
			w.absentSince = time.Time{}
		case w.absentSince.IsZero():
			w.absentSince = now
		}
	}
}

// raiseRequested acknowledges a ceiling unless the account was sealed, the seal count is outdated or this router drains.
func (h *Holder) raiseRequested(ev RaiseRequested) []Action {
	key := witnessedKey{ev.Budget, ev.Holder}
	w, ok := h.witnessed[key]
	if !ok || w.seals < ev.Seals {
		w = &witnessedAccount{seals: ev.Seals}
		if h.witnessed == nil {
			h.witnessed = map[witnessedKey]*witnessedAccount{}
		}
		h.witnessed[key] = w
	}
	if h.draining || w.sealed || w.seals > ev.Seals {
		return []Action{AnswerRaise{ev.ID, false}}
	}
	w.ceiling = max(w.ceiling, ev.Ceiling)
	w.spent = max(w.spent, ev.Spent)
	return []Action{AnswerRaise{ev.ID, true}}
}

// sealAbsent marks the accounts of holders that have been absent for SealAfter as sealed and queues the writes that return the tokens above their ceilings.
//
// It does not wait for a holder that a later incarnation has replaced, which is dead. While this router drains, it seals the
// accounts of all absent holders at once, since what it acknowledged is forgotten with it; a holder that is alive draws again.
func (h *Holder) sealAbsent(now time.Time) {
	for _, key := range slices.SortedFunc(maps.Keys(h.witnessed), witnessedKey.compare) {
		w := h.witnessed[key]
		if w.sealed || w.absentSince.IsZero() || now.Sub(w.absentSince) < h.sealAfter(key.holder) {
			continue
		}
		w.sealed = true
		a := h.account(key.budget)
		a.closed = false // Closed again once the seal is written.
		a.sealing = append(a.sealing, key)
		a.sealsUnread = true
	}
}

// sealAfter returns the absence after which the accounts of a holder are sealed.
func (h *Holder) sealAfter(holder string) time.Duration {
	if h.draining || slices.Contains(h.replaced, holder) {
		return 0
	}
	return h.Policy.withDefaults().SealAfter
}

// seal writes the next queued seal; seals that the record no longer permits are dropped.
//
// The record is read first: a witness need not use the budget itself, so that its copy may be older than the account.
func (h *Holder) seal(now time.Time, a *account) []Action {
	if len(a.sealing) > 0 && a.sealsUnread {
		return []Action{h.load(now, a)}
	}
	for len(a.sealing) > 0 {
		key := a.sealing[0]
		w := h.witnessed[key]
		record, err := a.record.seal(key.holder, h.Name, *w)
		if err == nil {
			before, after := a.record.Holders[key.holder], record.Holders[key.holder]
			sealed := Sealed{Budget: a.budget, Holder: key.holder, Returned: after.Returned - before.Returned, Kept: after.Held()}
			return h.startWrite(now, a, &write{record: record, before: a.own, seal: &sealed})
		}
		a.sealing = a.sealing[1:]
	}
	return nil
}

// chooseWitness returns the current witness while it is reachable and acknowledges raises, and otherwise another peer by rendezvous hashing, or "" if there is none.
func (h *Holder) chooseWitness(now time.Time, a *account) string {
	failing := now.Sub(a.raiseFailedAt) < h.Policy.withDefaults().Backoff
	if slices.Contains(h.peers, a.own.Witness) && !failing {
		return a.own.Witness
	}
	best := ""
	var bestScore uint64
	for _, peer := range h.witnesses {
		score := xxhash.Sum64String(a.budget + "\x00" + h.Name + "\x00" + peer)
		if peer != a.own.Witness && (best == "" || score > bestScore) {
			best = peer
			bestScore = score
		}
	}
	return best
}

// raise asks the witness for a higher ceiling if less than half a ceiling step is usable or a waiting request needs it.
//
// A new witness is asked immediately, since it seals only accounts for which it has received a raise.
func (h *Holder) raise(now time.Time, a *account) []Action {
	p := h.Policy.withDefaults()
	enough := a.acked > 0 && a.usable() >= a.ceilingStep(p)/2 && !h.needsRaise(a)
	raisable := a.own.Granted > a.ceiling()
	if enough || !raisable || a.raising || h.witnessChanging(a) || a.own.Witness == "" {
		return nil
	}
	if now.Sub(a.raiseFailedAt) < p.Backoff || !slices.Contains(h.peers, a.own.Witness) {
		return nil
	}
	a.raising = true
	return []Action{Raise{
		Budget:  a.budget,
		Witness: a.own.Witness,
		Seals:   a.own.Seals,
		Ceiling: min(a.own.Granted, max(h.wantedCeiling(a), a.ceiling()+1)),
		Spent:   a.own.Spent,
	}}
}

// needsRaise reports whether the grant covers a waiting request but its usable part does not.
func (h *Holder) needsRaise(a *account) bool {
	for _, id := range a.waiting {
		if n := h.requests[id].Tokens; n <= a.headroom() && n > a.usable() {
			return true
		}
	}
	return false
}

// witnessChanging reports whether a pending write that names another witness, or none, may still take effect.
func (h *Holder) witnessChanging(a *account) bool {
	if a.write == nil {
		return false
	}
	stored, ok := a.write.record.Holders[h.Name]
	return !ok || stored.Witness != a.own.Witness
}

func (h *Holder) raiseDone(now time.Time, ev RaiseDone) []Action {
	a := h.account(ev.Budget)
	a.raising = false
	valid := ev.Witness == a.own.Witness && ev.Seals == a.own.Seals && !h.witnessChanging(a)
	switch {
	case ev.Acknowledged && valid:
		a.acked = max(a.acked, ev.Ceiling)
	default:
		a.raiseFailedAt = now
	}
	return h.advance(now, a)
}

// adoptAccount updates the holder's own account from the stored one.
//
// A stored account with another witness or seal count already includes all that
// was acknowledged before, so that earlier acknowledgements are discarded.
func (a *account) adoptAccount(stored Account) {
	if stored.Witness != a.own.Witness || stored.Seals != a.own.Seals {
		a.acked = 0
	}
	a.own.Granted = stored.Granted
	a.own.Ceiling = stored.Ceiling
	a.own.Returned = stored.Returned
	a.own.Witness = stored.Witness
	a.own.Seals = stored.Seals
}
