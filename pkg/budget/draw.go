package budget

import (
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// advance dispatches the waiting requests that can be served and then starts the next raise or store call for a budget, if any.
func (h *Holder) advance(now time.Time, a *account) []Action {
	if a.closed {
		return h.refuseAll(a, refusal.Draining)
	}
	if a.fenced {
		return h.refuseAll(a, refusal.BudgetUnavailable)
	}
	actions := h.dispatchWaiting(a)
	actions = append(actions, h.raise(now, a)...)
	if a.callInFlight() {
		if a.callSlow(now, h.Policy.withDefaults()) {
			actions = append(actions, h.forwardOrRefuse(now, a)...)
		}
		return actions
	}
	if now.Before(a.retryAt) {
		actions = append(actions, h.answerRecalls(a)...)
		return append(actions, h.forwardOrRefuse(now, a)...)
	}
	if a.write != nil {
		return append(actions, h.load(now, a))
	}
	return append(actions, h.startStoreCall(now, a)...)
}

// startStoreCall starts at most one store call, or answers or forwards waiting requests; it requires that no write is outstanding.
func (h *Holder) startStoreCall(now time.Time, a *account) []Action {
	p := h.Policy.withDefaults()
	if !a.recordValid {
		if a.own.unused() && !a.initialGrantDue && len(a.waiting) == 0 && len(a.recallReplies) == 0 && len(a.sealing) == 0 && len(a.orphans) == 0 {
			return h.closeUnused(now, a)
		}
		return []Action{h.load(now, a)}
	}
	if len(a.sentRecalls) > 0 {
		// Two routers that recall from each other must both return their tokens.
		return h.returnUnused(now, a)
	}
	if actions := h.seal(now, a); len(actions) > 0 {
		return actions
	}
	if actions := h.closeOrphan(now, a); len(actions) > 0 {
		return actions
	}
	if need := h.neededGrant(a); need > 0 {
		return h.commit(now, a, need+h.extraGrant(a, p, need), 0)
	}
	if h.needsRaise(a) {
		if a.raising {
			return nil
		}
		return h.commit(now, a, 0, 0)
	}
	if len(a.waiting) > 0 {
		if now.Sub(a.loadedAt) > p.MaxRecordAge {
			return []Action{h.load(now, a)}
		}
		return h.forwardOrRefuse(now, a)
	}
	if len(a.recallReplies) > 0 {
		return h.returnUnused(now, a)
	}
	return h.maintainGrant(now, a, p)
}

// maintainGrant refills or returns tokens, reports usage or closes the account while no request waits.
func (h *Holder) maintainGrant(now time.Time, a *account, p Policy) []Action {
	target := a.grantTarget(p)
	headroom := a.headroom()
	idle := now.Sub(a.usedAt) >= p.ReturnAfter
	stored := a.record.Holders[h.Name]
	unreported := a.own.Spent > stored.Spent || a.own.Refunded > stored.Refunded
	switch {
	case h.draining, h.shouldClose(now, a, p):
		return h.close(now, a)
	case a.initialGrantDue:
		a.initialGrantDue = false
		if first := a.record.Free() / (p.ShareDivisor * p.ShareDivisor); a.own.Granted == 0 && first > 0 {
			return h.commit(now, a, first, 0)
		}
	case a.onDemand && headroom > 0 && now.Sub(a.usedAt) >= p.OnDemandReturnAfter:
		return h.commit(now, a, 0, headroom)
	case headroom < target/refillDivisor*(refillDivisor-1) && !idle && now.Sub(a.flushedAt) >= p.RefillEvery:
		if extra := h.extraGrant(a, p, 0); extra > target/(2*refillDivisor) {
			return h.commit(now, a, extra, 0)
		}
	case headroom > 2*target && headroom > 0 && idle:
		return h.commit(now, a, 0, headroom-target)
	}
	if unreported && now.Sub(a.flushedAt) >= p.FlushEvery {
		return h.commit(now, a, 0, excess(headroom, target))
	}
	return nil
}

// refillDivisor is the number of equal parts of the grant target; a grant is refilled when more than one part of it is used.
const refillDivisor = 2

// excess returns the tokens above target that a usage report also returns after demand has decreased, that is, if headroom exceeds 1.5 times target.
func excess(headroom, target int64) int64 {
	if headroom <= target+target/2 {
		return 0
	}
	return headroom - target
}

// shouldClose reports whether an account has been idle for RetireAfter and has no raise, seal or orphaned account pending.
func (h *Holder) shouldClose(now time.Time, a *account, p Policy) bool {
	return now.Sub(a.usedAt) >= p.RetireAfter && !a.raising && len(a.sealing) == 0 && len(a.orphans) == 0
}

// neededGrant returns the tokens to grant for the waiting requests, oldest first, that the free tokens can cover.
func (h *Holder) neededGrant(a *account) int64 {
	remaining := a.headroom()
	free := a.record.Free()
	var need int64
	for _, id := range a.waiting {
		shortfall := h.requests[id].Tokens - remaining
		remaining = 0
		if shortfall < 0 {
			remaining = -shortfall
			continue
		}
		if need+shortfall <= free {
			need += shortfall
		}
	}
	return need
}

// extraGrant returns the tokens to grant beyond need: enough for the horizon, but at most 1/ShareDivisor of the remaining free tokens.
func (h *Holder) extraGrant(a *account, p Policy, need int64) int64 {
	if a.onDemand {
		return 0
	}
	free := a.record.Free()
	want := a.grantTarget(p) - max(0, a.headroom())
	return max(0, min(want, (free-need)/p.ShareDivisor))
}

func (h *Holder) load(now time.Time, a *account) Action {
	a.loading = true
	a.callStartedAt = now
	return Load{Budget: a.budget}
}

// commit starts a write that grants and returns tokens and reports the tokens spent.
//
// If other holders share the record and it is older than RereadAfter, it is read
// first, since a write based on an outdated version would fail its condition. A
// stale read will do: if it is too old, the condition fails as it would without.
func (h *Holder) commit(now time.Time, a *account, grant, returned int64) []Action {
	if len(a.record.Holders) > 1 && now.Sub(later(a.loadedAt, a.staleReadAt)) > h.Policy.withDefaults().RereadAfter {
		a.loading = true
		a.callStartedAt = now
		return []Action{Load{Budget: a.budget, Stale: true}}
	}
	if grant > 0 {
		a.recallPause = 0
	}
	next := a.own
	next.Granted += grant
	next.Returned += returned
	next.Witness = h.chooseWitness(now, a)
	next.Ceiling = h.nextCeiling(a, next, returned)
	record, err := a.record.Set(h.Name, next)
	if err != nil {
		return h.pauseStoreCalls(now, a)
	}
	w := &write{record: record, before: a.own}
	if returned > 0 {
		// Debited before the write is sent, so that the usable tokens belong to this holder whether or not the write takes effect.
		a.own.Returned = next.Returned
		a.own.Ceiling = min(next.Ceiling, a.own.Granted)
	}
	a.flushedAt = now
	return h.startWrite(now, a, w)
}

// pauseStoreCalls suspends the store calls of a budget for Backoff after its record rejected a change; the record is then read again.
func (h *Holder) pauseStoreCalls(now time.Time, a *account) []Action {
	a.recordValid = false
	a.retryAt = now.Add(h.Policy.withDefaults().Backoff)
	return nil
}

// nextCeiling returns the ceiling for the next write of the holder's account.
//
// Returned tokens are taken from above the ceiling first. Without a witness the
// whole grant is usable.
func (h *Holder) nextCeiling(a *account, next Account, returned int64) int64 {
	current := a.ceiling()
	switch {
	case next.Witness == "":
		return next.Granted
	case returned > 0:
		return min(next.Granted, current+returned)
	}
	return min(next.Granted, max(current, h.wantedCeiling(a)))
}

// wantedCeiling returns the ceiling that covers the used tokens, the waiting requests and one ceiling step.
func (h *Holder) wantedCeiling(a *account) int64 {
	sum := a.used() + a.ceilingStep(h.Policy.withDefaults())
	for _, id := range a.waiting {
		sum += h.requests[id].Tokens
	}
	return sum
}

func (h *Holder) startWrite(now time.Time, a *account, w *write) []Action {
	a.callStartedAt = now
	w.base = a.version
	w.inFlight = true
	a.write = w
	return []Action{Commit{a.budget, w.base, w.record}}
}
