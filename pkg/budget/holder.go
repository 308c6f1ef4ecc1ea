package budget

import (
	"maps"
	"slices"
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// Holder is the state machine that decides for one router incarnation which requests its budgets cover.
//
// Only the Name must be set. A Holder is not safe for concurrent use.
type Holder struct {
	Name   string // Name of the incarnation; it is not reused after a restart.
	Policy Policy

	accounts  map[string]*account
	requests  map[string]*reservation
	witnessed map[witnessedKey]*witnessedAccount
	peers     []string
	witnesses []string
	replaced  []string // Incarnations that have ended for good.
	draining  bool
	sweptAt   time.Time
	lastSeals uint64 // Seal count with which the next account begins; above those of all that were closed.
}

type reservation struct {
	Reserve
	held       bool            // Tokens are reserved.
	recalled   bool            // Peers were asked to return tokens for it, which is done once for each request.
	triedPeers map[string]bool // Peers to which the request was forwarded.
}

// Budgets returns the names of the budgets for which the holder has an account, sorted.
func (h *Holder) Budgets() []string { return slices.Sorted(maps.Keys(h.accounts)) }

// View is a snapshot of a holder's state for one budget, in tokens.
type View struct {
	Budget   string
	Account  Account
	Reserved int64
	Headroom int64
	Waiting  int
	Prepaid  int64
	Spent    int64 // Tokens spent by all holders according to the last record.
	Free     int64
	Holders  int       // Number of accounts in the record.
	Lost     int64     // Tokens held by other routers that are not reachable, as after their death; nobody can spend them.
	LoadedAt time.Time // Time at which the record was read or written.
	Fenced   bool
}

// Handle applies one event at time now and returns the actions to be carried out.
func (h *Holder) Handle(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Reserve:
		return h.reserve(now, ev)
	case Settle:
		return h.settle(now, ev)
	case Cancel:
		return h.cancel(now, ev)
	case Refund:
		a := h.account(ev.Budget)
		a.own.Refunded += max(0, ev.Tokens)
		return h.advance(now, a)
	case PrepaidTotal:
		return h.setPrepaid(now, ev)
	case HomeChanged:
		if a, ok := h.accounts[ev.Budget]; ok {
			a.onDemand = !ev.Home
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
	case OrphanedAccount:
		return h.orphanedAccount(now, ev)
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
	case RaiseRequested:
		return h.raiseRequested(ev)
	case ForwardRefused:
		return h.forwardRefused(now, ev)
	case ForwardAccepted:
		delete(h.requests, ev.Request)
		return nil
	case RecallRequested:
		a := h.account(ev.Budget)
		a.recallReplies = append(a.recallReplies, ev.ID)
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

// Waiting returns the number of requests without a reservation.
func (h *Holder) Waiting() int {
	n := 0
	for _, a := range h.accounts {
		n += len(a.waiting)
	}
	return n
}

// Views returns the state of each budget for which the holder has an account, sorted by name.
func (h *Holder) Views() []View {
	views := make([]View, 0, len(h.accounts))
	for _, name := range slices.Sorted(maps.Keys(h.accounts)) {
		views = append(views, h.view(h.accounts[name]))
	}
	return views
}

// View returns the state of one budget and whether the holder has an account for it.
func (h *Holder) View(budget string) (View, bool) {
	a, ok := h.accounts[budget]
	if !ok {
		return View{}, false
	}
	return h.view(a), true
}

func (h *Holder) view(a *account) View {
	return View{
		Budget:   a.budget,
		Account:  a.own,
		Reserved: a.reserved,
		Headroom: a.headroom(),
		Waiting:  len(a.waiting),
		Prepaid:  a.record.Prepaid(),
		Spent:    a.record.Spent(),
		Free:     a.record.Free(),
		Holders:  len(a.record.Holders),
		Lost:     h.heldByLost(a),
		LoadedAt: a.loadedAt,
		Fenced:   a.fenced,
	}
}

// heldByLost returns the tokens that the record shows as held by other routers which are not reachable.
func (h *Holder) heldByLost(a *account) int64 {
	var sum int64
	for name, other := range a.record.Holders {
		if name != h.Name && !slices.Contains(h.peers, name) {
			sum += other.Held()
		}
	}
	return sum
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
	a = &account{budget: budget, record: Record{Budget: budget}, own: Account{Seals: h.lastSeals}}
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
	a.onDemand = ev.OnDemand
	h.requests[ev.Request] = &reservation{Reserve: ev}
	a.waiting = append(a.waiting, ev.Request)
	return h.advance(now, a)
}

// setPrepaid applies a higher prepaid total.
func (h *Holder) setPrepaid(now time.Time, ev PrepaidTotal) []Action {
	a := h.account(ev.Budget)
	if ev.Tokens <= a.prepaidTotal {
		return nil
	}
	a.initialGrantDue = ev.InitialGrant && a.prepaidTotal == 0
	a.prepaidTotal = ev.Tokens
	a.usedAt = now
	a.record = a.record.withPrepaidTotal(a.prepaidTotal)
	return h.advance(now, a)
}

// settle bills a reserved request; it is idempotent, since a second call finds no reservation.
func (h *Holder) settle(now time.Time, ev Settle) []Action {
	r, ok := h.requests[ev.Request]
	if !ok || !r.held {
		return nil
	}
	delete(h.requests, ev.Request)
	a := h.account(r.Budget)
	tokens := max(0, min(ev.Tokens, r.Tokens))
	a.reserved -= r.Tokens
	a.own.Spent += tokens
	a.addDemand(now, tokens)
	actions := []Action{Bill{r.Request, r.Budget, tokens}}
	return append(actions, h.advance(now, a)...)
}

// cancel removes a request and releases the tokens that may have been reserved for it in the meantime.
func (h *Holder) cancel(now time.Time, ev Cancel) []Action {
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

// sweepInterval is the interval between ticks that process every budget.
const sweepInterval = time.Second

// due returns the sorted budgets that a tick processes: all after sweepInterval or while draining, otherwise those with waiting requests.
func (h *Holder) due(now time.Time) []string {
	if since := now.Sub(h.sweptAt); since >= sweepInterval || since < 0 || h.draining {
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

// expire refuses waiting requests whose deadline has passed.
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

// dispatchWaiting dispatches the waiting requests that the usable tokens cover, oldest first.
func (h *Holder) dispatchWaiting(a *account) []Action {
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
