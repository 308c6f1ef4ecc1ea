package budget

import (
	"slices"
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// seek finds a peer for each waiting request that neither the headroom nor the store can cover, or refuses it.
func (h *Holder) seek(now time.Time, a *account) []Action {
	var actions []Action
	for _, id := range slices.Clone(a.waiting) {
		actions = append(actions, h.seekOne(now, a, h.requests[id])...)
	}
	return actions
}

func (h *Holder) seekOne(now time.Time, a *account, r *reservation) []Action {
	cut := now.Before(a.retryAt)
	if a.raising && r.Tokens <= a.headroom() {
		return nil
	}
	slow := a.slow(now, h.Policy.withDefaults())
	if slow && r.Forwarded {
		return nil // The store may answer yet.
	}
	if r.Forwarded {
		return []Action{h.refuse(a, r, refusalKind(cut))}
	}
	if peer, ok := h.peerWithTokens(a, r, cut || slow); ok {
		a.dropWaiting(r.Request)
		return []Action{Forward{r.Request, peer}}
	}
	if slow {
		return nil
	}
	if cut {
		return []Action{h.refuse(a, r, refusal.BudgetUnavailable)}
	}
	if a.recalls != nil && r.recalled {
		return nil
	}
	if actions := h.recall(now, a, r); len(actions) > 0 {
		return actions
	}
	return []Action{h.refuse(a, r, refusal.BudgetExhausted)}
}

func refusalKind(cut bool) refusal.Kind {
	if cut {
		return refusal.BudgetUnavailable
	}
	return refusal.BudgetExhausted
}

// peerWithTokens picks the untried peer that is believed to hold the most tokens of the budget.
//
// With the store at hand the record must show enough of them; cut off from
// the store the record is old, so that every reachable peer is worth a try.
func (h *Holder) peerWithTokens(a *account, r *reservation, cut bool) (string, bool) {
	if len(r.tried) >= h.Policy.withDefaults().MaxForwards {
		return "", false
	}
	best := ""
	most := int64(-1)
	for _, peer := range h.peers {
		held := a.record.Holders[peer].Held()
		enough := cut || held >= r.Tokens
		if !r.tried[peer] && enough && held > most {
			best = peer
			most = held
		}
	}
	if best == "" {
		return "", false
	}
	if r.tried == nil {
		r.tried = map[string]bool{}
	}
	r.tried[best] = true
	return best, true
}

// maxRecallPause bounds the pause between recalls that bring nothing.
const maxRecallPause = 16 * time.Second

// recall asks all reachable peers for their unused tokens when together they could cover the request.
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
	a.recalls = map[string]bool{}
	for _, action := range actions {
		a.recalls[action.(Recall).Peer] = true
	}
	for _, id := range a.waiting {
		h.requests[id].recalled = true
	}
	return actions
}

func (h *Holder) recallDone(now time.Time, ev RecallDone) []Action {
	a := h.account(ev.Budget)
	if !a.recalls[ev.Peer] {
		return nil
	}
	delete(a.recalls, ev.Peer)
	if len(a.recalls) > 0 {
		return nil
	}
	a.recalls = nil
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
