package budget

import (
	"maps"
	"slices"
	"time"
)

// entrustees is the number of peers that are asked to close an account, since one may stop as well.
const entrustees = 2

// leave hands the accounts that could not be closed to peers; the holder spends nothing any more.
//
// A write of this holder that is still on its way does no harm: it lands before
// the peer's write, which then closes what it left, or fails on its condition.
func (h *Holder) leave() []Action {
	h.draining = true
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(h.accounts)) {
		a := h.accounts[name]
		if a.closed || a.fenced {
			continue
		}
		actions = append(actions, h.refuseAll(a)...)
		a.fenced = true
		if final := a.final(); final.Granted > 0 {
			actions = append(actions, Entrust{h.entrusted(a), LeftBehind{name, h.Name, final}})
		}
	}
	return actions
}

// final returns the account with everything that is still reserved counted as spent.
func (a *account) final() Account {
	final := a.mine
	if a.write != nil {
		final.Returned = a.write.before.Returned // Whether the return took effect is not known.
	}
	final.Spent += a.reserved
	return final
}

// entrusted returns the witness of an account and further peers.
func (h *Holder) entrusted(a *account) []string {
	chosen := make([]string, 0, entrustees)
	if slices.Contains(h.peers, a.mine.Witness) {
		chosen = append(chosen, a.mine.Witness)
	}
	for _, peer := range h.peers {
		if len(chosen) < entrustees && !slices.Contains(chosen, peer) {
			chosen = append(chosen, peer)
		}
	}
	return chosen
}

// leftBehind plans to close the account of a holder that stopped.
func (h *Holder) leftBehind(now time.Time, ev LeftBehind) []Action {
	if h.draining || ev.Holder == h.Name {
		return nil
	}
	a := h.account(ev.Budget)
	a.left = append(a.left, ev)
	a.loadedAt = time.Time{}
	a.known = false
	return h.advance(now, a)
}

// closeLeft writes the next account that a stopped holder left; one that is closed already is dropped.
func (h *Holder) closeLeft(now time.Time, a *account) []Action {
	for len(a.left) > 0 {
		record, err := a.record.closeAt(a.left[0].Holder, a.left[0].Final)
		if err == nil {
			return h.send(now, a, &write{record: record, before: a.mine})
		}
		a.left = a.left[1:]
	}
	return nil
}
