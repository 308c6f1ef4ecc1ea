package request

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/ledger"
	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// Lenders are the other routers, which may set tokens aside for a request of this one.
type Lenders interface {
	// Self returns this router's incarnation.
	Self() string
	// Homes returns the incarnations that hold grants of a budget.
	Homes(budget string) []string
	// Reserve asks a router to set tokens aside.
	Reserve(peer string, loan ledger.Loan) (ledger.Lent, error)
	// Settle tells a router what a request used of a loan.
	Settle(peer string, s ledger.Settlement)
}

// lendMargin is the time after a request's deadline in which its settlement may arrive.
const lendMargin = 3 * time.Second

// reservation is where the tokens of a request are set aside.
type reservation struct {
	held   bool
	lender string // The incarnation that set them aside for this router; empty when it did itself.
}

// reserve sets aside the most that the request can cost; a reply ends the request.
func (r *run) reserve() *Reply {
	if r.req.Budget == "" {
		return nil
	}
	homes := r.f.Lenders.Homes(r.req.Budget)
	if slices.Contains(homes, r.f.Lenders.Self()) {
		return r.reserveHere(false)
	}
	answer := r.reserveAtHome(homes)
	switch {
	case answer.Granted:
		return nil
	case answer.Kind == refusal.BudgetExhausted.String():
		return r.notReserved(refusal.BudgetExhausted)
	}
	if answer.Kind != "" && r.f.StoreLost != nil && r.f.StoreLost(time.Now()) {
		return r.notReserved(refusal.BudgetUnavailable) // Neither the homes nor this router can draw tokens.
	}
	return r.reserveHere(true)
}

// reserveAtHome sets tokens aside at a home of the budget, or where a home says that there are some.
//
// The answer of a home that has looked for tokens is final, but for a home that
// cannot look, because the store is out of its reach or it stops.
func (r *run) reserveAtHome(homes []string) ledger.Lent {
	var last ledger.Lent
	first := int(r.req.Fingerprint % uint64(max(1, len(homes))))
	for i := range homes {
		if r.callerGone() {
			break // The request ends where it would wait next.
		}
		home := homes[(first+i)%len(homes)]
		answer, err := r.lentBy(home, true)
		if err == nil && answer.Peer != "" {
			answer = r.lentElsewhere(home, answer.Peer)
		}
		switch {
		case err != nil:
		case answer.Granted, answer.Kind == refusal.BudgetExhausted.String():
			return answer
		default:
			last = answer
		}
	}
	return last
}

// lentElsewhere asks the router to which a home points.
func (r *run) lentElsewhere(home, peer string) ledger.Lent {
	if peer == r.f.Lenders.Self() {
		return ledger.Lent{Kind: refusal.BudgetUnavailable.String()}
	}
	answer, err := r.lentBy(peer, false)
	if err != nil {
		r.f.Log.Warn("reservation at a peer failed", zap.String("Request", r.req.ID), zap.String("Home", home), zap.String("Peer", peer), logfile.Problem(err))
	}
	if !answer.Granted {
		answer = ledger.Lent{Kind: refusal.BudgetUnavailable.String()} // What the home believed is no longer so.
	}
	return answer
}

// reserveHere sets tokens aside at this router, or where its holder says.
//
// A router that is no home of the budget is passing: it keeps nothing ready.
func (r *run) reserveHere(passing bool) *Reply {
	decisions := r.f.Budgets.Decisions.Open(r.req.Run)
	defer r.f.Budgets.Decisions.Close(r.req.Run)
	now := time.Now()
	r.f.Budgets.Handle(now, budget.Prepaid{Budget: r.req.Budget, Tokens: r.req.Prepaid})
	r.f.Budgets.Handle(now, budget.Reserve{
		Request:  r.req.Run,
		Budget:   r.req.Budget,
		Tokens:   r.req.WorstCase(),
		Deadline: r.reserveUntil(),
		Passing:  passing,
	})
	for {
		select {
		case <-r.req.Gone:
			r.f.Budgets.Handle(time.Now(), budget.Withdraw{Request: r.req.Run})
			return refused(refusal.CallerGone, "")
		case decision := <-decisions:
			switch decision := decision.(type) {
			case budget.Dispatch:
				r.f.observer().Reserved(Here, true)
				r.reserved.held = true
				return nil
			case budget.Refuse:
				r.f.observer().Reserved(Here, false)
				return r.notReserved(decision.Kind)
			case budget.Forward:
				if r.borrow(decision.Peer) {
					return nil
				}
			}
		}
	}
}

// notReserved refuses the request and records what that was decided on.
func (r *run) notReserved(kind refusal.Kind) *Reply {
	v, _ := r.f.Budgets.View(r.req.Budget)
	r.f.Log.Info("tokens not reserved",
		zap.String("Request", r.req.ID), zap.String("Run", r.req.Run), zap.String("Budget", r.req.Budget), zap.Stringer("Kind", kind),
		zap.Int64("Needed", r.req.WorstCase()), zap.Int64("Headroom", v.Headroom), zap.Int64("Reserved", v.Reserved),
		zap.Int64("Prepaid", v.Prepaid), zap.Int64("Spent", v.Spent), zap.Int64("Free", v.Free),
		zap.Int("Holders", v.Holders), zap.Duration("RecordAge", time.Since(v.LoadedAt)), zap.Int("Waiting", v.Waiting))
	out := refused(kind, r.req.Budget)
	if kind == refusal.BudgetUnavailable {
		out.Refused.After = tokensSoon
	}
	return out
}

// tokensSoon is the time in which requests that run now settle, or the store is asked again.
const tokensSoon = time.Second

// reserveUntil is the time until which a request waits for tokens: a part of its objective, so that a refusal comes early.
func (r *run) reserveUntil() time.Time {
	const part = 2
	if !r.req.StartBy.IsZero() {
		return r.req.StartBy
	}
	wait := max(r.req.Objective/part, 100*time.Millisecond)
	return earlier(r.req.Arrived.Add(wait), r.req.Deadline)
}

// borrow asks a peer that is believed to hold tokens to set them aside for this request.
func (r *run) borrow(peer string) bool {
	answer, err := r.lentBy(peer, false)
	if err != nil {
		r.f.Log.Warn("reservation at a peer failed", zap.String("Request", r.req.ID), zap.String("Peer", peer), logfile.Problem(err))
	}
	if !answer.Granted {
		r.f.Budgets.Handle(time.Now(), budget.ForwardRefused{Request: r.req.Run, Peer: peer})
		return false
	}
	r.f.Budgets.Handle(time.Now(), budget.ForwardTaken{Request: r.req.Run})
	return true
}

// lentBy asks a router to set the tokens of this request aside; one that searches looks for them as for a request of its own.
func (r *run) lentBy(peer string, search bool) (ledger.Lent, error) {
	answer, err := r.f.Lenders.Reserve(peer, ledger.Loan{
		Request:          r.req.Run,
		Budget:           r.req.Budget,
		Prepaid:          r.req.Prepaid,
		Tokens:           r.req.WorstCase(),
		KeepMilliseconds: time.Until(r.req.Deadline.Add(lendMargin)).Milliseconds(),
		Search:           search,
	})
	r.f.observer().Reserved(AtPeer, answer.Granted)
	switch {
	case err != nil:
		// The answer may be lost though the tokens are set aside.
		r.f.Background(func() { r.f.Lenders.Settle(peer, ledger.Settlement{Request: r.req.Run}) })
		return ledger.Lent{}, err
	case answer.Granted:
		r.reserved = reservation{held: true, lender: peer}
	}
	return answer, nil
}

// settle bills the request once and frees the rest of what was set aside.
func (r *run) settle() {
	if !r.reserved.held {
		return
	}
	r.reserved.held = false
	settlement := ledger.Settlement{Request: r.req.Run, Tokens: r.req.cost(Usage{Ran: r.ran, Events: r.events})}
	peer := r.reserved.lender
	if peer == "" {
		r.f.Budgets.Handle(time.Now(), budget.Settle{Request: settlement.Request, Tokens: settlement.Tokens})
		return
	}
	r.f.Background(func() { r.f.Lenders.Settle(peer, settlement) })
}
