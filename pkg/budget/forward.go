package budget

import (
	"slices"
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// forwardOrRefuse forwards each waiting request that neither the headroom nor the store can cover, recalls tokens for it or refuses it.
func (h *Holder) forwardOrRefuse(now time.Time, a *account) []Action {
	var actions []Action
	for _, id := range slices.Clone(a.waiting) {
		actions = append(actions, h.forwardOrRefuseOne(now, a, h.requests[id])...)
	}
	return actions
}

func (h *Holder) forwardOrRefuseOne(now time.Time, a *account, r *reservation) []Action {
	storeUnavailable := now.Before(a.retryAt)
	if a.raising && r.Tokens <= a.headroom() {
		return nil
	}
	storeSlow := a.callSlow(now, h.Policy.withDefaults())
	if storeSlow && r.Forwarded {
		return nil // The slow store call may still succeed.
	}
	if r.Forwarded {
		return []Action{h.refuse(a, r, refusalKind(storeUnavailable))}
	}
	if peer, ok := h.peerWithTokens(a, r, storeUnavailable || storeSlow); ok {
		a.dropWaiting(r.Request)
		return []Action{Forward{r.Request, peer}}
	}
	if storeSlow {
		return nil
	}
	if storeUnavailable {
		return []Action{h.refuse(a, r, refusal.BudgetUnavailable)}
	}
	if a.sentRecalls != nil && r.recalled {
		return nil
	}
	if actions := h.recall(now, a, r); len(actions) > 0 {
		return actions
	}
	return []Action{h.refuse(a, r, refusal.BudgetExhausted)}
}

func refusalKind(storeUnavailable bool) refusal.Kind {
	if storeUnavailable {
		return refusal.BudgetUnavailable
	}
	return refusal.BudgetExhausted
}

// peerWithTokens returns the untried peer that holds the most tokens of the budget according to the last record.
//
// The record must show enough tokens for the request, unless anyPeer is set,
// which makes every reachable peer eligible: while the store is unavailable or
// slow, the record may be outdated.
func (h *Holder) peerWithTokens(a *account, r *reservation, anyPeer bool) (string, bool) {
	if len(r.triedPeers) >= h.Policy.withDefaults().MaxForwards {
		return "", false
	}
	best := ""
	mostHeld := int64(-1)
	for _, peer := range h.peers {
		held := a.record.Holders[peer].Held()
		enough := anyPeer || held >= r.Tokens
		if !r.triedPeers[peer] && enough && held > mostHeld {
			best = peer
			mostHeld = held
		}
	}
	if best == "" {
		return "", false
	}
	if r.triedPeers == nil {
		r.triedPeers = map[string]bool{}
	}
	r.triedPeers[best] = true
	return best, true
}

// maxRecallPause bounds the pause between recalls that are not followed by a grant.
const maxRecallPause = 16 * time.Second

// recall asks all reachable peers with tokens to return the unused ones if together with the free tokens they could cover the request.
func (h *Holder) recall(now time.Time, a *account, r *reservation) []Action {
	every := h.Policy.withDefaults().RecallEvery
	if r.recalled || now.Sub(a.recalledAt) < max(every, a.recallPause) {
		return nil
	}
	var actions []Action
	sum := a.headroom() + a.record.Free()
	for _, peer := range h.peers {
		if held := a.record.Holders[peer].Held(); held > 0 {
			sum += held
			actions = append(actions, Recall{a.budget, peer})
		}
	}
	if len(actions) == 0 || sum < r.Tokens {
		return nil
	}
	a.recalledAt = now
	a.recallPause = min(max(every, 2*a.recallPause), maxRecallPause)
	a.sentRecalls = map[string]bool{}
	for _, action := range actions {
		a.sentRecalls[action.(Recall).Peer] = true
	}
	for _, id := range a.waiting {
		h.requests[id].recalled = true
	}
	return actions
}

func (h *Holder) recallDone(now time.Time, ev RecallDone) []Action {
	a := h.account(ev.Budget)
	if !a.sentRecalls[ev.Peer] {
		return nil
	}
	delete(a.sentRecalls, ev.Peer)
	if len(a.sentRecalls) > 0 {
		return nil
	}
	a.sentRecalls = nil
	a.loadedAt = time.Time{}
	return h.advance(now, a)
}

func (h *Holder) forwardRefused(now time.Time, ev ForwardRefused) []Action {
	r, ok := h.requests[ev.Request]
	if !ok || r.held {
		return nil
	}
	a := h.account(r.Budget)
	if slices.Contains(a.waiting, r.Request) {
		return nil
	}
	a.waiting = append(a.waiting, r.Request)
	return h.advance(now, a)
}
