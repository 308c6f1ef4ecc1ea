package budget

import (
	"maps"
	"slices"
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// entrustPeerCount is the number of peers asked to close an account; more than one, since a peer may stop as well.
const entrustPeerCount = 2

// leave asks peers to close the accounts that this holder could not close; afterwards it reserves no tokens.
//
// A write of this holder that is still in flight is harmless: it either takes
// effect before the peer's write, which then closes the resulting account, or
// fails its condition.
func (h *Holder) leave() []Action {
	h.draining = true
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(h.accounts)) {
		a := h.accounts[name]
		if a.closed || a.fenced {
			continue
		}
		actions = append(actions, h.refuseAll(a, refusal.BudgetUnavailable)...)
		a.fenced = true
		if final := a.final(); final.Granted > 0 {
			actions = append(actions, Entrust{h.entrustPeers(a), OrphanedAccount{name, h.Name, final}})
		}
	}
	return actions
}

// final returns the account with all reserved tokens counted as spent.
func (a *account) final() Account {
	final := a.own
	if a.write != nil {
		final.Returned = a.write.before.Returned // It is unknown whether the return took effect.
	}
	final.Spent += a.reserved
	return final
}

// entrustPeers returns up to entrustPeerCount peers, the witness of the account first if it is reachable.
func (h *Holder) entrustPeers(a *account) []string {
	chosen := make([]string, 0, entrustPeerCount)
	if slices.Contains(h.peers, a.own.Witness) {
		chosen = append(chosen, a.own.Witness)
	}
	for _, peer := range h.peers {
		if len(chosen) < entrustPeerCount && !slices.Contains(chosen, peer) {
			chosen = append(chosen, peer)
		}
	}
	return chosen
}

// orphanedAccount queues the closing of an account whose holder has stopped.
func (h *Holder) orphanedAccount(now time.Time, ev OrphanedAccount) []Action {
	if h.draining || ev.Holder == h.Name {
		return nil
	}
	a := h.account(ev.Budget)
	a.orphans = append(a.orphans, ev)
	a.loadedAt = time.Time{}
	a.recordValid = false
	return h.advance(now, a)
}

// closeOrphan starts the write that closes the next orphaned account; accounts that are already closed are dropped.
func (h *Holder) closeOrphan(now time.Time, a *account) []Action {
	for len(a.orphans) > 0 {
		record, err := a.record.closeFinal(a.orphans[0].Holder, a.orphans[0].Final)
		if err == nil {
			return h.startWrite(now, a, &write{record: record, before: a.own})
		}
		a.orphans = a.orphans[1:]
	}
	return nil
}
