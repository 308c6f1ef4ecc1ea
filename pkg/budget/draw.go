package budget

import (
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// advance takes the next step for a budget: serve, then draw, return, report or close.
func (h *Holder) advance(now time.Time, a *account) []Action {
	if a.closed {
		return nil
	}
	if a.fenced {
		return h.refuseAll(a)
	}
	actions := h.serve(a)
	actions = append(actions, h.raise(now, a)...)
	if a.busy() {
		if a.slow(now, h.Policy.withDefaults()) {
			actions = append(actions, h.seek(now, a)...)
		}
		return actions
	}
	if now.Before(a.retryAt) {
		actions = append(actions, h.answerRecalls(a)...)
		return append(actions, h.seek(now, a)...)
	}
	if a.write != nil {
		return append(actions, h.load(now, a))
	}
	return append(actions, h.draw(now, a)...)
}

// draw starts at most one store call; no write is outstanding.
func (h *Holder) draw(now time.Time, a *account) []Action {
	p := h.Policy.withDefaults()
	if !a.known {
		if a.mine == (Account{}) && !a.drawing && len(a.waiting) == 0 && len(a.answers) == 0 && len(a.sealing) == 0 && len(a.left) == 0 {
			return h.closeUnused(now, a)
		}
		return []Action{h.load(now, a)}
	}
	if len(a.recalls) > 0 {
		// Two routers that recall from each other must both give back.
		return h.returnUnused(now, a)
	}
	if actions := h.seal(now, a); len(actions) > 0 {
		return actions
	}
	if actions := h.closeLeft(now, a); len(actions) > 0 {
		return actions
	}
	if need := h.coverable(a); need > 0 {
		return h.commit(now, a, need+h.extra(a, p, need), 0)
	}
	if h.awaitsRaise(a) {
		if a.raising {
			return nil
		}
		return h.commit(now, a, 0, 0)
	}
	if len(a.waiting) > 0 {
		if now.Sub(a.loadedAt) > p.FreshFor {
			return []Action{h.load(now, a)}
		}
		return h.seek(now, a)
	}
	if len(a.answers) > 0 {
		return h.returnUnused(now, a)
	}
	return h.keepUp(now, a, p)
}

// keepUp refills, returns or reports when no request waits.
func (h *Holder) keepUp(now time.Time, a *account, p Policy) []Action {
	target := a.target(p)
	headroom := a.headroom()
	idle := now.Sub(a.usedAt) >= p.ReturnAfter
	row := a.record.Holders[h.Name]
	unreported := a.mine.Spent > row.Spent || a.mine.Refunded > row.Refunded
	switch {
	case h.draining, h.retires(now, a, p):
		return h.close(now, a)
	case a.drawing:
		a.drawing = false
		if first := a.record.Free() / (p.ShareParts * p.ShareParts); a.mine.Granted == 0 && first > 0 {
			return h.commit(now, a, first, 0)
		}
	case a.passing && headroom > 0 && now.Sub(a.usedAt) >= p.PassAfter:
		return h.commit(now, a, 0, headroom)
	case headroom < target/refillParts*(refillParts-1) && !idle && now.Sub(a.flushedAt) >= p.RefillEvery:
		if extra := h.extra(a, p, 0); extra > target/(2*refillParts) {
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

// refillParts is the number of parts of the target; a grant is refilled when one of them is used.
const refillParts = 2

// excess returns the tokens that a report gives back after the demand fell.
func excess(headroom, target int64) int64 {
	if headroom <= target+target/2 {
		return 0
	}
	return headroom - target
}

// retires reports whether an account has been without use for so long that it is closed.
func (h *Holder) retires(now time.Time, a *account, p Policy) bool {
	return now.Sub(a.usedAt) >= p.RetireAfter && !a.raising && len(a.sealing) == 0 && len(a.left) == 0
}

// coverable returns the tokens to be granted so that the oldest waiting requests that the free tokens can cover are served.
func (h *Holder) coverable(a *account) int64 {
	left := a.headroom()
	free := a.record.Free()
	var need int64
	for _, id := range a.waiting {
		short := h.requests[id].Tokens - left
		left = 0
		if short < 0 {
			left = -short
			continue
		}
		if need+short <= free {
			need += short
		}
	}
	return need
}

// extra returns the tokens to be granted beyond need: enough for the horizon, but a bounded part of what is free.
func (h *Holder) extra(a *account, p Policy, need int64) int64 {
	if a.passing {
		return 0
	}
	free := a.record.Free()
	want := a.target(p) - max(0, a.headroom())
	return max(0, min(want, (free-need)/p.ShareParts))
}

func (h *Holder) load(now time.Time, a *account) Action {
	a.loading = true
	a.calledAt = now
	return Load{a.budget}
}

// commit starts a write that grants and returns tokens and reports what was spent.
//
// An old record is read first: others write it too, so that a write based on it
// would fail on its condition.
func (h *Holder) commit(now time.Time, a *account, grant, back int64) []Action {
	if len(a.record.Holders) > 1 && now.Sub(a.loadedAt) > h.Policy.withDefaults().RereadAfter {
		return []Action{h.load(now, a)}
	}
	if grant > 0 {
		a.recallPause = 0
	}
	next := a.mine
	next.Granted += grant
	next.Returned += back
	next.Witness = h.chooseWitness(now, a)
	next.Ceiling = h.nextCeiling(a, next, back)
	record, err := a.record.Set(h.Name, next)
	if err != nil {
		return h.pauseStoreCalls(now, a)
	}
	w := &write{record: record, before: a.mine}
	if back > 0 {
		// Either way the write ends, at least as much is usable as it leaves.
		a.mine.Returned = next.Returned
		a.mine.Ceiling = min(next.Ceiling, a.mine.Granted)
	}
	a.flushedAt = now
	return h.send(now, a, w)
}

// pauseStoreCalls pauses the store calls of a budget whose record does not allow what the holder needs; it is read again then.
func (h *Holder) pauseStoreCalls(now time.Time, a *account) []Action {
	a.known = false
	a.retryAt = now.Add(h.Policy.withDefaults().Backoff)
	return nil
}

// nextCeiling returns the ceiling of an account that is to be written.
//
// A return is taken from above the ceiling first. Without a witness the whole
// grant is usable.
func (h *Holder) nextCeiling(a *account, next Account, back int64) int64 {
	now := a.ceiling()
	switch {
	case next.Witness == "":
		return next.Granted
	case back > 0:
		return min(next.Granted, now+back)
	}
	return min(next.Granted, max(now, h.wantedCeiling(a)))
}

// wantedCeiling returns the ceiling that covers what is used, what waits and one step.
func (h *Holder) wantedCeiling(a *account) int64 {
	sum := a.used() + a.step(h.Policy.withDefaults())
	for _, id := range a.waiting {
		sum += h.requests[id].Tokens
	}
	return sum
}

func (h *Holder) send(now time.Time, a *account, w *write) []Action {
	a.calledAt = now
	w.base = a.version
	w.inFlight = true
	a.write = w
	return []Action{Commit{a.budget, w.base, w.record}}
}

// close starts the write that ends the holder's account; nothing is reserved or waiting.
func (h *Holder) close(now time.Time, a *account) []Action {
	if a.reserved > 0 {
		return nil
	}
	if _, ok := a.record.Holders[h.Name]; !ok && a.mine.Refunded == 0 {
		h.closed(a, nil)
		return nil
	}
	last := a.mine
	last.Ceiling = a.ceiling()
	record, err := a.record.Set(h.Name, last)
	if err == nil {
		record, err = record.Close(h.Name)
	}
	if err != nil {
		return h.pauseStoreCalls(now, a)
	}
	w := &write{record: record, before: a.mine, closing: true}
	a.mine.Returned += a.headroom()
	a.mine.Ceiling = a.mine.Granted
	return h.send(now, a, w)
}

// closeUnused ends an account whose record was never read, so that nothing was granted.
func (h *Holder) closeUnused(now time.Time, a *account) []Action {
	if h.draining && a.mine.Refunded > 0 {
		return []Action{h.load(now, a)}
	}
	if h.draining {
		h.closed(a, nil)
	}
	return nil
}

// closed notes that the store holds no account of this holder any more.
//
// What came in while the account was being closed is kept for the next one;
// without that, the budget is forgotten.
func (h *Holder) closed(a *account, w *write) {
	left := Account{}
	if w != nil {
		left.Spent = a.mine.Spent - w.before.Spent
		left.Refunded = a.mine.Refunded - w.before.Refunded
	}
	a.mine = left
	a.acked = 0
	a.closed = h.draining
	if !h.draining && left == (Account{}) && a.reserved == 0 && len(a.waiting) == 0 && len(a.answers) == 0 && len(a.sealing) == 0 && len(a.left) == 0 {
		a.closed = true
		delete(h.accounts, a.budget)
	}
}

// returnUnused returns all unused tokens because a peer needs them.
func (h *Holder) returnUnused(now time.Time, a *account) []Action {
	if len(a.answers) == 0 {
		return nil
	}
	back := a.headroom()
	if back <= 0 && a.mine.Spent == a.record.Holders[h.Name].Spent {
		return h.answerRecalls(a)
	}
	return h.commit(now, a, 0, max(0, back))
}

func (h *Holder) answerRecalls(a *account) []Action {
	actions := make([]Action, 0, len(a.answers))
	for _, id := range a.answers {
		actions = append(actions, AnswerRecall{id})
	}
	a.answers = nil
	return actions
}

func (h *Holder) committed(now time.Time, ev Committed) []Action {
	a := h.account(ev.Budget)
	w := a.write
	if w == nil || !w.inFlight {
		return nil
	}
	w.inFlight = false
	switch {
	case ev.Outcome == TookEffect:
		return h.adopt(now, a, ev.Version, w.record)
	case ev.Outcome == NoEffect && !w.resent:
		a.mine.Returned = w.before.Returned
		a.mine.Ceiling = w.before.Ceiling
		a.write = nil
		if ev.Current != nil {
			a.loading = true
			return append(h.serve(a), h.loaded(now, *ev.Current)...)
		}
		return append(h.serve(a), h.load(now, a))
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
	if ev.Version < a.version {
		return h.loadFailed(now, LoadFailed{ev.Budget})
	}
	a.loading = false
	if w := a.write; w != nil && ev.Version == w.base {
		w.inFlight = true
		a.calledAt = now
		return []Action{Commit{a.budget, w.base, w.record}}
	}
	return h.adopt(now, a, ev.Version, ev.Record)
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

// adopt takes a record that is newer than any outstanding write, which settles that write.
func (h *Holder) adopt(now time.Time, a *account, version uint64, record Record) []Action {
	w := a.write
	row, ok := record.Holders[h.Name]
	a.write = nil
	a.record = record.withTotal(a.total)
	a.version = version
	a.known = true
	a.loadedAt = now
	a.retryAt = time.Time{}
	switch {
	case ok:
		a.adoptRow(row)
	case w != nil && w.closing:
		h.closed(a, w)
	case a.mine.Granted > 0 || (a.mine.Returned > 0 && w == nil):
		a.fenced = true
	}
	if w == nil {
		return h.advance(now, a)
	}
	return append(h.answerRecalls(a), h.advance(now, a)...)
}

// refuseAll refuses all waiting requests of a fenced account.
func (h *Holder) refuseAll(a *account) []Action {
	actions := h.answerRecalls(a)
	for len(a.waiting) > 0 {
		actions = append(actions, h.refuse(a, h.requests[a.waiting[0]], refusal.BudgetUnavailable))
	}
	return actions
}
