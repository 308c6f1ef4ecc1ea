package budget

import "time"

// close starts the write that removes the holder's account, unless tokens are still reserved; it requires that no request waits.
func (h *Holder) close(now time.Time, a *account) []Action {
	if a.reserved > 0 {
		return nil
	}
	if _, ok := a.record.Holders[h.Name]; !ok && a.own.Refunded == 0 {
		h.accountClosed(a, nil)
		return nil
	}
	last := a.own
	last.Ceiling = a.ceiling()
	record, err := a.record.Set(h.Name, last)
	if err == nil {
		record, err = record.Close(h.Name)
	}
	if err != nil {
		return h.pauseStoreCalls(now, a)
	}
	w := &write{record: record, before: a.own, closing: true}
	a.own.Returned += a.headroom()
	a.own.Ceiling = a.own.Granted
	return h.startWrite(now, a, w)
}

// closeUnused closes an account without grants, whose record was not read, if the holder drains.
//
// Outstanding refunds are reported first, which takes a read of the record.
func (h *Holder) closeUnused(now time.Time, a *account) []Action {
	if h.draining && a.own.Refunded > 0 {
		return []Action{h.load(now, a)}
	}
	if h.draining {
		h.accountClosed(a, nil)
	}
	return nil
}

// accountClosed updates the state once the store holds no account of this holder.
//
// Usage and refunds that arrived while the closing write was in flight are
// carried over to the holder's next account, whose seal count is higher, so that
// no witness takes it for this one. If there is nothing to carry over
// and no work is pending, the budget is removed from the holder.
func (h *Holder) accountClosed(a *account, w *write) {
	h.lastSeals = max(h.lastSeals, a.own.Seals+1)
	carried := Account{Seals: h.lastSeals}
	if w != nil {
		carried.Spent = a.own.Spent - w.before.Spent
		carried.Refunded = a.own.Refunded - w.before.Refunded
	}
	a.own = carried
	a.acked = 0
	a.closed = h.draining
	if !h.draining && carried.unused() && a.reserved == 0 && len(a.waiting) == 0 && len(a.recallReplies) == 0 && len(a.sealing) == 0 && len(a.orphans) == 0 {
		a.closed = true
		delete(h.accounts, a.budget)
	}
}

// returnUnused returns all unused tokens if a peer has recalled them.
func (h *Holder) returnUnused(now time.Time, a *account) []Action {
	if len(a.recallReplies) == 0 {
		return nil
	}
	returned := a.headroom()
	if returned <= 0 && a.own.Spent == a.record.Holders[h.Name].Spent {
		return h.answerRecalls(a)
	}
	return h.commit(now, a, 0, max(0, returned))
}

func (h *Holder) answerRecalls(a *account) []Action {
	actions := make([]Action, 0, len(a.recallReplies))
	for _, id := range a.recallReplies {
		actions = append(actions, AnswerRecall{id})
	}
	a.recallReplies = nil
	return actions
}
