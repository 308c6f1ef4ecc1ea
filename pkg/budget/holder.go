package budget

import (
	"maps"
	"slices"
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// Holder decides for one router incarnation which requests its budgets cover.
//
// The zero value with a Name works. A Holder is not safe for concurrent use.
type Holder struct {
	Name   string // The incarnation: never used again after a restart.
	Policy Policy

	accounts  map[string]*account
	requests  map[string]*reservation
	pledges   map[pledgeKey]*pledge
	peers     []string
	witnesses []string
	draining  bool
	sweptAt   time.Time
}

type reservation struct {
	Reserve
	held     bool // Tokens are set aside.
	recalled bool // Peers were asked once to return tokens for it.
	tried    map[string]bool
}

// Budgets returns the names of the budgets that the holder keeps accounts of, sorted.
func (h *Holder) Budgets() []string { return slices.Sorted(maps.Keys(h.accounts)) }

// View is the state of one budget as a holder sees it, in tokens.
type View struct {
	Budget   string
	Account  Account
	Reserved int64
	Headroom int64
	Waiting  int
	Prepaid  int64
	Spent    int64 // By all holders, as last read.
	Free     int64
	Holders  int       // Accounts in the record.
	LoadedAt time.Time // When the record was read or written.
	Fenced   bool
}

// Handle applies one event at time now and returns what is to be done.
func (h *Holder) Handle(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Reserve:
		return h.reserve(now, ev)
	case Settle:
		return h.settle(now, ev)
	case Withdraw:
		return h.withdraw(now, ev)
	case Refund:
		a := h.account(ev.Budget)
		a.mine.Refunded += max(0, ev.Tokens)
		return h.advance(now, a)
	case Prepaid:
		return h.prepaid(now, ev)
	case Homed:
		if a, ok := h.accounts[ev.Budget]; ok {
			a.passing = !ev.Home
		}
		return nil
	case Loaded:
		return h.loaded(now, ev)
	case LoadFailed:
		return h.loadFailed(now, ev)
	case Committed:
		return h.committed(now, ev)
	case Tick:
		return h.tick(now)
	case Leave:
		return h.leave()
	case LeftBehind:
		return h.leftBehind(now, ev)
	case Drain:
		h.draining = true
		return h.tick(now)
	default:
		return h.handlePeer(now, ev)
	}
}

// handlePeer applies an event that concerns other routers.
func (h *Holder) handlePeer(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case PeersChanged:
		h.peersChanged(now, ev)
		return nil
	case RaiseDone:
		return h.raiseDone(now, ev)
	case RaiseWanted:
		return h.raiseWanted(ev)
	case ForwardRefused:
		return h.forwardRefused(now, ev)
	case ForwardTaken:
		delete(h.requests, ev.Request)
		return nil
	case RecallWanted:
		a := h.account(ev.Budget)
		a.answers = append(a.answers, ev.ID)
		return h.advance(now, a)
	case RecallDone:
		return h.recallDone(now, ev)
	default:
		return nil
	}
}

// Drained reports whether a draining holder has closed all its accounts.
func (h *Holder) Drained() bool {
	for _, a := range h.accounts {
		if !a.closed && !a.fenced {
			return false
		}
	}
	return h.draining
}

// Views returns the state of each budget that the holder has met, sorted by name.
func (h *Holder) Views() []View {
	views := make([]View, 0, len(h.accounts))
	for _, name := range slices.Sorted(maps.Keys(h.accounts)) {
		views = append(views, h.accounts[name].view())
	}
	return views
}

// View returns the state of one budget, and whether the holder keeps it.
func (h *Holder) View(budget string) (View, bool) {
	a, ok := h.accounts[budget]
	if !ok {
		return View{}, false
	}
	return a.view(), true
}

func (a *account) view() View {
	return View{
		Budget:   a.budget,
		Account:  a.mine,
		Reserved: a.reserved,
		Headroom: a.headroom(),
		Waiting:  len(a.waiting),
		Prepaid:  a.record.Prepaid(),
		Spent:    a.record.Spent(),
		Free:     a.record.Free(),
		Holders:  len(a.record.Holders),
		LoadedAt: a.loadedAt,
		Fenced:   a.fenced,
	}
}

func (h *Holder) account(budget string) *account {
	a, ok := h.accounts[budget]
	if ok {
		return a
	}
	if h.accounts == nil {
		h.accounts = map[string]*account{}
		h.requests = map[string]*reservation{}
	}
	a = &account{budget: budget, record: Record{Budget: budget}}
	h.accounts[budget] = a
	return a
}

func (h *Holder) reserve(now time.Time, ev Reserve) []Action {
	a := h.account(ev.Budget)
	if _, ok := h.requests[ev.Request]; ok {
		return nil
	}
	switch {
	case h.draining:
		return []Action{Refuse{ev.Request, refusal.Draining}}
	case ev.Tokens <= 0:
		return []Action{Refuse{ev.Request, refusal.BadRequest}}
	case a.fenced:
		return []Action{Refuse{ev.Request, refusal.BudgetUnavailable}}
	}
	a.usedAt = now
	a.passing = ev.Passing
	h.requests[ev.Request] = &reservation{Reserve: ev}
	a.waiting = append(a.waiting, ev.Request)
	return h.advance(now, a)
}

// prepaid takes over a higher total.
func (h *Holder) prepaid(now time.Time, ev Prepaid) []Action {
	a := h.account(ev.Budget)
	if ev.Tokens <= a.total {
		return nil
	}
	a.drawing = ev.Draw && a.total == 0
	a.total = ev.Tokens
	a.usedAt = now
	a.record = a.record.withTotal(a.total)
	return h.advance(now, a)
}

// settle bills a reserved request once; a second settlement of it finds no reservation and does nothing.
func (h *Holder) settle(now time.Time, ev Settle) []Action {
	r, ok := h.requests[ev.Request]
	if !ok || !r.held {
		return nil
	}
	delete(h.requests, ev.Request)
	a := h.account(r.Budget)
	tokens := max(0, min(ev.Tokens, r.Tokens))
	a.reserved -= r.Tokens
	a.mine.Spent += tokens
	a.noteDemand(now, tokens)
	actions := []Action{Bill{r.Request, r.Budget, tokens}}
	return append(actions, h.advance(now, a)...)
}

// withdraw forgets a request; what was set aside for it in the meantime is freed.
func (h *Holder) withdraw(now time.Time, ev Withdraw) []Action {
	r, ok := h.requests[ev.Request]
	switch {
	case !ok:
		return nil
	case r.held:
		return h.settle(now, Settle{Request: ev.Request})
	}
	delete(h.requests, ev.Request)
	h.account(r.Budget).dropWaiting(ev.Request)
	return nil
}

func (h *Holder) tick(now time.Time) []Action {
	var actions []Action
	h.sealAbsent(now)
	for _, name := range h.due(now) {
		a := h.accounts[name]
		a.decay(now)
		actions = append(actions, h.expire(now, a)...)
		actions = append(actions, h.advance(now, a)...)
	}
	return actions
}

// sweepEvery is the pause between two ticks that look at every budget.
const sweepEvery = time.Second

// due returns the budgets that a tick has to look at: all once in a while, else those for which a request waits.
func (h *Holder) due(now time.Time) []string {
	if since := now.Sub(h.sweptAt); since >= sweepEvery || since < 0 || h.draining {
		h.sweptAt = now
		return slices.Sorted(maps.Keys(h.accounts))
	}
	var names []string
	for name, a := range h.accounts {
		if len(a.waiting) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// expire refuses the waiting requests whose deadline has passed.
func (h *Holder) expire(now time.Time, a *account) []Action {
	var actions []Action
	for _, id := range slices.Clone(a.waiting) {
		r := h.requests[id]
		if !r.Deadline.IsZero() && now.After(r.Deadline) {
			actions = append(actions, h.refuse(a, r, refusal.BudgetUnavailable))
		}
	}
	return actions
}

func (h *Holder) refuse(a *account, r *reservation, kind refusal.Kind) Action {
	delete(h.requests, r.Request)
	a.dropWaiting(r.Request)
	return Refuse{r.Request, kind}
}

// serve dispatches the waiting requests that the usable tokens cover, oldest first.
func (h *Holder) serve(a *account) []Action {
	var actions []Action
	for _, id := range slices.Clone(a.waiting) {
		r := h.requests[id]
		if r.Tokens > a.usable() {
			continue
		}
		a.reserved += r.Tokens
		r.held = true
		a.dropWaiting(id)
		actions = append(actions, Dispatch{id})
	}
	return actions
}
