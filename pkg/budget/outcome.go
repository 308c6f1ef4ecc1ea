package budget

import (
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

func (h *Holder) committed(now time.Time, ev Committed) []Action {
	a := h.account(ev.Budget)
	w := a.write
	if w == nil || !w.inFlight {
		return nil
	}
	w.inFlight = false
	switch {
	case ev.Outcome == TookEffect:
		return h.adopt(now, a, ev.Version, w.record, now)
	case ev.Outcome == NoEffect && !w.resent:
		a.own.Returned = w.before.Returned
		a.own.Ceiling = w.before.Ceiling
		a.write = nil
		if ev.Current != nil {
			a.loading = true
			return append(h.dispatchWaiting(a), h.loaded(now, *ev.Current)...)
		}
		return append(h.dispatchWaiting(a), h.load(now, a))
	default:
		w.resent = true
		return []Action{h.load(now, a)}
	}
}

func (h *Holder) loaded(now time.Time, ev Loaded) []Action {
	a := h.account(ev.Budget)
	if !a.loading {
		return nil
	}
	if ev.Stale {
		return h.staleLoaded(now, a, ev)
	}
	if ev.Version < a.version {
		return h.loadFailed(now, LoadFailed{ev.Budget})
	}
	a.loading = false
	a.sealsUnread = false
	if w := a.write; w != nil && ev.Version == w.base {
		w.inFlight = true
		a.callStartedAt = now
		return []Action{Commit{a.budget, w.base, w.record}}
	}
	return h.adopt(now, a, ev.Version, ev.Record, now)
}

// staleLoaded handles a record that may be outdated. It does not count as recent, so no refusal is based on it.
func (h *Holder) staleLoaded(now time.Time, a *account, ev Loaded) []Action {
	a.loading = false
	a.staleReadAt = now
	if ev.Version <= a.version || a.write != nil {
		return h.advance(now, a)
	}
	return h.adopt(now, a, ev.Version, ev.Record, a.loadedAt)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (h *Holder) loadFailed(now time.Time, ev LoadFailed) []Action {
	a := h.account(ev.Budget)
	if !a.loading {
		return nil
	}
	a.loading = false
	a.retryAt = now.Add(h.Policy.withDefaults().Backoff)
	return h.advance(now, a)
}

// adopt installs a record that is newer than the base of any outstanding write, so that the outcome of that write is known.
//
// The record was the current one at loadedAt.
func (h *Holder) adopt(now time.Time, a *account, version uint64, record Record, loadedAt time.Time) []Action {
	w := a.write
	stored, ok := record.Holders[h.Name]
	a.write = nil
	a.record = record.withPrepaidTotal(a.prepaidTotal)
	a.version = version
	a.recordValid = true
	a.loadedAt = loadedAt
	a.retryAt = time.Time{}
	switch {
	case ok:
		a.adoptAccount(stored)
	case w != nil && w.closing:
		h.accountClosed(a, w)
	case a.own.Granted > 0 || (a.own.Returned > 0 && w == nil):
		a.fenced = true
	}
	if w == nil {
		return h.advance(now, a)
	}
	actions := h.answerRecalls(a)
	if w.seal != nil && record.Holders[w.seal.Holder].Seals >= w.record.Holders[w.seal.Holder].Seals {
		actions = append(actions, *w.seal)
	}
	return append(actions, h.advance(now, a)...)
}

// refuseAll refuses all waiting requests of an account that is closed or fenced.
func (h *Holder) refuseAll(a *account, kind refusal.Kind) []Action {
	actions := h.answerRecalls(a)
	for len(a.waiting) > 0 {
		actions = append(actions, h.refuse(a, h.requests[a.waiting[0]], kind))
	}
	return actions
}
