package request

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/ledger"
	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// Peers are the other routers, which may reserve tokens for requests of this one.
type Peers interface {
	// Self returns the incarnation name of this router.
	Self() string
	// Homes returns the names of the incarnations that hold grants of a budget ready.
	Homes(budget string) []string
	// Reserve asks a peer to reserve tokens.
	Reserve(peer string, loan ledger.Loan) (ledger.LoanReply, error)
	// Settle reports to a peer, in the background, how many of the tokens that it reserved a request used.
	Settle(peer string, s ledger.Settlement)
}

// settlementMargin is how long after the deadline of a request a peer keeps its reservation open for the settlement.
const settlementMargin = 3 * time.Second

// reservation records whether and where the tokens of a request are reserved.
type reservation struct {
	held   bool
	lender string // Incarnation of the peer that reserved the tokens; empty if this router did.
	loan   string // ID of the loan at the lender.
}

// reserve reserves the worst-case cost of the request. A non-nil reply ends the request.
func (r *run) reserve() *Reply {
	if r.req.Budget == "" {
		return nil
	}
	homes := r.f.Peers.Homes(r.req.Budget)
	if slices.Contains(homes, r.f.Peers.Self()) {
		return r.reserveLocally(false)
	}
	answer := r.reserveAtHomes(homes)
	switch {
	case answer.Granted:
		return nil
	case answer.Kind == refusal.BudgetExhausted.String():
		return r.refuseReservation(refusal.BudgetExhausted)
	case r.f.late(time.Now()):
		return r.refuseReservation(refusal.Overloaded) // A search for tokens at further routers would add to the load.
	}
	if answer.Kind != "" && r.f.StoreLost != nil && r.f.StoreLost(time.Now()) {
		return r.refuseReservation(refusal.BudgetUnavailable) // Neither the homes nor this router can draw tokens.
	}
	return r.reserveLocally(true)
}

// reserveAtHomes reserves tokens at a home of the budget, or at the peer that a home refers to.
//
// A grant and BudgetExhausted are final. After any other answer the next home
// is tried: the home was not reached, could not look for tokens because it is
// stopping or cannot reach the store, or referred to a peer that did not grant
// them.
func (r *run) reserveAtHomes(homes []string) ledger.LoanReply {
	var last ledger.LoanReply
	first := int(r.req.Fingerprint % uint64(max(1, len(homes))))
	for i := range homes {
		if r.callerGone() || !time.Now().Before(r.req.Deadline) {
			break // The next wait detects this as well and ends the request.
		}
		home := homes[(first+i)%len(homes)]
		answer, err := r.reserveAt(home, true)
		if err == nil && answer.Peer != "" {
			answer = r.reserveAtReferred(answer.Peer)
		}
		switch {
		case err != nil && r.f.late(time.Now()):
			return last
		case err != nil:
		case answer.Granted, answer.Kind == refusal.BudgetExhausted.String():
			return answer
		default:
			last = answer
		}
	}
	return last
}

// reserveAtReferred reserves tokens at the peer that a home referred to.
func (r *run) reserveAtReferred(peer string) ledger.LoanReply {
	if peer == r.f.Peers.Self() {
		return ledger.LoanReply{Kind: refusal.BudgetUnavailable.String()}
	}
	answer, err := r.reserveAt(peer, false)
	if err != nil || !answer.Granted {
		answer = ledger.LoanReply{Kind: refusal.BudgetUnavailable.String()} // The home's information was out of date.
	}
	return answer
}

// reserveLocally reserves tokens at this router, or at the peer that its budget holder forwards to.
//
// With notHome, this router is not a home of the budget and keeps no grants of
// it ready.
func (r *run) reserveLocally(notHome bool) *Reply {
	decisions := r.f.Budgets.Decisions.Open(r.req.RunID)
	defer r.f.Budgets.Decisions.Close(r.req.RunID)
	now := time.Now()
	r.f.Budgets.Handle(now, budget.PrepaidTotal{Budget: r.req.Budget, Tokens: r.req.Prepaid})
	r.f.Budgets.Handle(now, budget.Reserve{
		Request:  r.req.RunID,
		Budget:   r.req.Budget,
		Tokens:   r.req.WorstCase(),
		Deadline: r.reservationDeadline(),
		OnDemand: notHome,
	})
	for {
		select {
		case <-r.req.CallerGone:
			r.f.Budgets.Handle(time.Now(), budget.Cancel{Request: r.req.RunID})
			return refusedReply(refusal.CallerGone, "")
		case decision := <-decisions:
			switch decision := decision.(type) {
			case budget.Dispatch:
				r.f.observer().Reserved(PlaceLocal, true)
				r.reservation.held = true
				return nil
			case budget.Refuse:
				r.f.observer().Reserved(PlaceLocal, false)
				return r.refuseReservation(decision.Kind)
			case budget.Forward:
				if r.reserveAtPeer(decision.Peer) {
					return nil
				}
				if r.f.late(time.Now()) {
					r.f.Budgets.Handle(time.Now(), budget.Cancel{Request: r.req.RunID})
					return r.refuseReservation(refusal.Overloaded)
				}
			}
		}
	}
}

// refuseReservation refuses the request and logs the state of the budget behind the decision.
func (r *run) refuseReservation(kind refusal.Kind) *Reply {
	v, _ := r.f.Budgets.View(r.req.Budget)
	r.f.Log.Info("tokens not reserved",
		zap.String("Request", r.req.ID), zap.String("Run", r.req.RunID), zap.String("Budget", r.req.Budget), zap.Stringer("Kind", kind),
		zap.Int64("Needed", r.req.WorstCase()), zap.Int64("Headroom", v.Headroom), zap.Int64("Reserved", v.Reserved),
		zap.Int64("Prepaid", v.Prepaid), zap.Int64("Spent", v.Spent), zap.Int64("Free", v.Free), zap.Int64("Lost", v.Lost),
		zap.Int("Holders", v.Holders), zap.Duration("RecordAge", time.Since(v.LoadedAt)), zap.Int("Waiting", v.Waiting))
	out := refusedReply(kind, r.req.Budget)
	switch kind {
	case refusal.BudgetUnavailable:
		out.Refusal.After = reservationRetryAfter
	case refusal.Overloaded:
		out.Refusal.After = overloadRetryAfter
	}
	return out
}

// overloadRetryAfter is the Retry-After of a refusal with Overloaded; another router can serve the request at once.
const overloadRetryAfter = 50 * time.Millisecond

// reservationRetryAfter is the Retry-After of a refusal with BudgetUnavailable.
//
// Within this time requests in flight settle, or the store is tried again.
const reservationRetryAfter = time.Second

// reservationDeadline returns the time until which a request waits for tokens.
//
// Without StartBy it allows a fraction of the latency objective, so that a
// refusal comes early.
func (r *run) reservationDeadline() time.Time {
	const objectiveDivisor = 2
	if !r.req.StartBy.IsZero() {
		return r.req.StartBy
	}
	wait := max(r.req.Objective/objectiveDivisor, 100*time.Millisecond)
	return earlier(r.req.Arrived.Add(wait), r.req.Deadline)
}

// reserveAtPeer reserves tokens at a peer that probably holds some, and reports whether it granted them.
func (r *run) reserveAtPeer(peer string) bool {
	answer, err := r.reserveAt(peer, false)
	if err != nil || !answer.Granted {
		r.f.Budgets.Handle(time.Now(), budget.ForwardRefused{Request: r.req.RunID, Peer: peer})
		return false
	}
	r.f.Budgets.Handle(time.Now(), budget.ForwardAccepted{Request: r.req.RunID})
	return true
}

// reserveAt asks a peer to reserve the tokens of this request.
//
// With search, the peer draws and recalls tokens as for a request of its own.
func (r *run) reserveAt(peer string, search bool) (ledger.LoanReply, error) {
	r.loans++
	id := ledger.LoanID(r.req.RunID, r.loans)
	answer, err := r.f.Peers.Reserve(peer, ledger.Loan{
		Request:          id,
		Budget:           r.req.Budget,
		Prepaid:          r.req.Prepaid,
		Tokens:           r.req.WorstCase(),
		KeepMilliseconds: time.Until(r.req.Deadline.Add(settlementMargin)).Milliseconds(),
		Search:           search,
	})
	r.f.observer().Reserved(PlacePeer, answer.Granted)
	if err != nil {
		r.f.Log.Warn("reservation at a peer failed", zap.String("Request", r.req.ID), zap.String("Run", id), zap.String("Peer", peer), logfile.Error(err))
	}
	switch {
	case errors.Is(err, ledger.ErrLoanNotSent):
		return ledger.LoanReply{}, err
	case err != nil:
		// The peer may have reserved the tokens although its answer was lost.
		r.f.Peers.Settle(peer, ledger.Settlement{Request: id})
		return ledger.LoanReply{}, err
	case answer.Granted:
		r.reservation = reservation{held: true, lender: peer, loan: id}
	}
	return answer, nil
}

// settle bills the request once and releases the rest of its reservation.
func (r *run) settle() {
	if !r.reservation.held {
		return
	}
	r.reservation.held = false
	tokens := r.req.cost(Usage{Ran: r.ran, Events: r.events})
	peer := r.reservation.lender
	if peer == "" {
		r.f.Budgets.Handle(time.Now(), budget.Settle{Request: r.req.RunID, Tokens: tokens})
		return
	}
	r.f.Peers.Settle(peer, ledger.Settlement{Request: r.reservation.loan, Tokens: tokens})
}
