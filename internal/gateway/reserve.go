package gateway

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
	"github.com/foxtaillanding/foxtaillanding/pkg/route"
)

// reservation is where the tokens of a request are set aside.
type reservation struct {
	held   bool
	lender string // The incarnation that set them aside for this router; empty when it did itself.
}

// prepay tells the holder the totals that a configuration gives for the budgets that it knows.
func (g *Gateway) prepay(now time.Time, accounts []route.Account) {
	for _, a := range accounts {
		if _, known := g.budgets.View(a.Name); a.Limited && known {
			g.budgets.Handle(now, budget.Prepaid{Budget: a.Name, Tokens: a.Prepaid})
		}
	}
}

// drawAfter is the least time after the start in which the routers learn of each other.
const drawAfter = 2 * time.Second

// drawFirst draws a first grant of the budgets whose home this router is, before there is demand.
//
// Until the routers know each other, each one would take itself for the home of too many budgets.
func (g *Gateway) drawFirst(now time.Time) {
	t := g.table.Load()
	if g.drawn || t == nil || now.Sub(g.started) < drawAfter || !g.members.settled(now) {
		return
	}
	g.drawn = true
	for _, a := range t.Accounts {
		if a.Limited && slices.Contains(g.members.Homes(a.Name, homesEach), g.members.name) {
			g.budgets.Handle(now, budget.Prepaid{Budget: a.Name, Tokens: a.Prepaid, Draw: true})
		}
	}
}

// reserve sets aside the most that the request can cost; a reply ends the request.
func (r *run) reserve() *reply {
	if r.account == nil || !r.account.Limited || !r.req.Model {
		return nil
	}
	if r.reserveAtHome() {
		return nil
	}
	return r.reserveHere()
}

// homesEach is the number of routers that hold grants of a budget; more would write its record too often.
const homesEach = 6

// reserveAtHome sets tokens aside at a router that holds grants of the budget, unless this one does.
//
// A refusal there is not final: this router's own attempt finds out why.
func (r *run) reserveAtHome() bool {
	homes := r.g.members.Homes(r.account.Name, homesEach)
	if slices.Contains(homes, r.g.members.name) {
		return false
	}
	const tries = 2
	first := int(r.fingerprint % uint64(max(1, len(homes))))
	for i := range min(tries, len(homes)) {
		if granted, _ := r.lentBy(homes[(first+i)%len(homes)]); granted {
			return true
		}
	}
	return false
}

// reserveHere sets tokens aside at this router, or where its holder says.
func (r *run) reserveHere() *reply {
	decisions := r.g.budgets.Decisions.Open(r.id)
	defer r.g.budgets.Decisions.Close(r.id)
	now := time.Now()
	r.g.budgets.Handle(now, budget.Prepaid{Budget: r.account.Name, Tokens: r.account.Prepaid})
	r.g.budgets.Handle(now, budget.Reserve{
		Request:  r.id,
		Budget:   r.account.Name,
		Tokens:   r.worstCase(),
		Deadline: r.reserveUntil(),
	})
	for {
		select {
		case <-r.gone:
			r.g.budgets.Handle(time.Now(), budget.Withdraw{Request: r.id})
			return refused(refusal.CallerGone, "")
		case decision := <-decisions:
			switch decision := decision.(type) {
			case budget.Dispatch:
				r.g.metrics.reserved("here", true)
				r.reserved.held = true
				return nil
			case budget.Refuse:
				r.g.metrics.reserved("here", false)
				r.logBudget(decision.Kind)
				out := refused(decision.Kind, r.account.Name)
				if decision.Kind == refusal.BudgetUnavailable {
					out.Refused.After = tokensSoon
				}
				return out
			case budget.Forward:
				if r.borrow(decision.Peer) {
					return nil
				}
			}
		}
	}
}

// logBudget records what a refusal for want of tokens was decided on.
func (r *run) logBudget(kind refusal.Kind) {
	v, _ := r.g.budgets.View(r.account.Name)
	r.g.log.Info("tokens not reserved",
		zap.String("Request", r.req.ID), zap.String("Run", r.id), zap.String("Budget", r.account.Name), zap.Stringer("Kind", kind),
		zap.Int64("Needed", r.worstCase()), zap.Int64("Headroom", v.Headroom), zap.Int64("Reserved", v.Reserved),
		zap.Int64("Prepaid", v.Prepaid), zap.Int64("Spent", v.Spent), zap.Int64("Free", v.Free),
		zap.Int("Holders", v.Holders), zap.Duration("RecordAge", time.Since(v.LoadedAt)), zap.Int("Waiting", v.Waiting))
}

// tokensSoon is the time in which requests that run now settle, or the store is asked again.
const tokensSoon = time.Second

// reserveUntil is the time until which a request waits for tokens: a part of its objective, so that a refusal comes early.
func (r *run) reserveUntil() time.Time {
	const part = 2
	wait := max(r.route.Objective/part, 100*time.Millisecond)
	return earlier(r.arrived.Add(wait), r.deadline)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// borrow asks a peer that is believed to hold tokens to set them aside for this request.
func (r *run) borrow(peer string) bool {
	granted, err := r.lentBy(peer)
	if err != nil {
		r.g.log.Warn("reservation at a peer failed", zap.String("Request", r.req.ID), zap.String("Peer", peer), logfile.Problem(err))
	}
	if !granted {
		r.g.budgets.Handle(time.Now(), budget.ForwardRefused{Request: r.id, Peer: peer})
		return false
	}
	r.g.budgets.Handle(time.Now(), budget.ForwardTaken{Request: r.id})
	return true
}

// lentBy asks a router to set the tokens of this request aside.
func (r *run) lentBy(peer string) (bool, error) {
	granted, err := r.g.peers.reserve(peer, reserveMessage{
		Request:          r.id,
		Budget:           r.account.Name,
		Prepaid:          r.account.Prepaid,
		Tokens:           r.worstCase(),
		KeepMilliseconds: time.Until(r.deadline.Add(lendMargin)).Milliseconds(),
	})
	r.g.metrics.reserved("peer", granted)
	switch {
	case granted:
		r.reserved = reservation{held: true, lender: peer}
	case err != nil:
		// The answer may be lost though the tokens are set aside.
		message := settleMessage{Request: r.id}
		r.g.background(func() { r.g.peers.settle(peer, message) })
	}
	return granted, err
}

// worstCase is the most that the request can cost, in tokens.
func (r *run) worstCase() int64 { return max(1, r.req.PromptTokens+r.req.OutputTokens) }

// cost is what the request is billed: its prompt once an attempt may have run, and what was passed on.
func (r *run) cost() int64 {
	if !r.ran {
		return 0
	}
	return min(r.worstCase(), r.req.PromptTokens+r.events*r.service.TokensPerEvent)
}

// settle bills the request once and frees the rest of what was set aside.
func (r *run) settle() {
	if !r.reserved.held {
		return
	}
	r.reserved.held = false
	if r.reserved.lender == "" {
		r.g.budgets.Handle(time.Now(), budget.Settle{Request: r.id, Tokens: r.cost()})
		return
	}
	message := settleMessage{Request: r.id, Tokens: r.cost()}
	peer := r.reserved.lender
	r.g.background(func() { r.g.peers.settle(peer, message) })
}

// loans are the reservations that this router holds for requests of others.
//
// One that is not settled in time is billed in full, since its request may have run.
type loans struct {
	mu   sync.Mutex
	open map[string]*time.Timer // By request; guarded by mu.
}

// lendMargin is the time after a request's deadline in which its settlement may arrive.
const lendMargin = 3 * time.Second

// lend sets tokens aside for a request of another router.
func (g *Gateway) lend(m reserveMessage) bool {
	decisions := g.budgets.Decisions.Open(m.Request)
	defer g.budgets.Decisions.Close(m.Request)
	now := time.Now()
	g.budgets.Handle(now, budget.Prepaid{Budget: m.Budget, Tokens: m.Prepaid})
	g.budgets.Handle(now, budget.Reserve{
		Request:   m.Request,
		Budget:    m.Budget,
		Tokens:    m.Tokens,
		Deadline:  now.Add(peerTimeout / 2),
		Forwarded: true,
	})
	select {
	case decision := <-decisions:
		if _, ok := decision.(budget.Dispatch); !ok {
			return false
		}
	case <-time.After(peerTimeout):
		g.budgets.Handle(time.Now(), budget.Withdraw{Request: m.Request})
		return false
	}
	g.peers.loans.start(m.Request, time.Duration(m.KeepMilliseconds)*time.Millisecond, func() {
		g.log.Warn("loan not settled", zap.String("Run", m.Request), zap.String("Budget", m.Budget), zap.Int64("Tokens", m.Tokens))
		g.budgets.Handle(time.Now(), budget.Settle{Request: m.Request, Tokens: m.Tokens})
	})
	return true
}

func (l *loans) start(request string, keep time.Duration, late func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = map[string]*time.Timer{}
	}
	l.open[request] = time.AfterFunc(keep, func() {
		if l.end(request) {
			late()
		}
	})
}

// has reports whether a loan is open.
func (l *loans) has(request string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.open[request]
	return ok
}

// end closes a loan and reports whether it was open.
func (l *loans) end(request string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	timer, ok := l.open[request]
	if ok {
		timer.Stop()
		delete(l.open, request)
	}
	return ok
}
