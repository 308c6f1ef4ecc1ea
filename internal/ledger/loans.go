package ledger

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// Loan is what a router is asked to set aside for a request of another one.
type Loan struct {
	Request          string // The run.
	Budget           string
	Prepaid          int64 // As the asking router's configuration says.
	Tokens           int64
	KeepMilliseconds int64 // After this time the tokens count as spent.
	Search           bool  // The lender draws and recalls tokens as for a request of its own.
}

// Lent is the answer to a Loan.
type Lent struct {
	Granted bool
	Peer    string // A router that is believed to hold the tokens, when it is not the lender.
	Kind    string // Why not, as refusal.Kind spells it; empty when Granted or when a Peer is named.
}

// Settlement tells what a request used of a loan.
type Settlement struct {
	Request string
	Tokens  int64
}

// Times of a loan, within what the asking router waits for its answer.
const (
	lendWithin = 200 * time.Millisecond // For the holder to find the tokens.
	lendWait   = 250 * time.Millisecond // For the holder to answer at all.
)

// Lend sets tokens aside for a request of another router; the same loan asked for twice is one.
//
// Passing tells that this router is no home of the budget.
func (b *Ledger) Lend(loan Loan, passing bool) Lent {
	if b.loans.has(loan.Request) {
		return Lent{Granted: true}
	}
	decisions := b.Decisions.Open(loan.Request)
	defer b.Decisions.Close(loan.Request)
	now := time.Now()
	b.Handle(now, budget.PrepaidTotal{Budget: loan.Budget, Tokens: loan.Prepaid})
	b.Handle(now, budget.Reserve{
		Request:   loan.Request,
		Budget:    loan.Budget,
		Tokens:    loan.Tokens,
		Deadline:  now.Add(lendWithin),
		Forwarded: !loan.Search,
		OnDemand:  passing,
	})
	select {
	case decision := <-decisions:
		return b.lent(loan, decision)
	case <-time.After(lendWait):
		b.Handle(time.Now(), budget.Cancel{Request: loan.Request})
		return Lent{Kind: refusal.BudgetUnavailable.String()}
	}
}

// lent turns the holder's decision into the answer to a loan.
func (b *Ledger) lent(loan Loan, decision budget.Action) Lent {
	switch decision := decision.(type) {
	case budget.Dispatch:
		b.loans.start(loan.Request, time.Duration(loan.KeepMilliseconds)*time.Millisecond, func() {
			b.Log.Warn("loan not settled", zap.String("Run", loan.Request), zap.String("Budget", loan.Budget), zap.Int64("Tokens", loan.Tokens))
			b.Handle(time.Now(), budget.Settle{Request: loan.Request, Tokens: loan.Tokens})
		})
		return Lent{Granted: true}
	case budget.Forward:
		// The asking router turns to that peer itself.
		b.Handle(time.Now(), budget.ForwardAccepted{Request: loan.Request})
		return Lent{Peer: decision.Peer}
	case budget.Refuse:
		return Lent{Kind: decision.Kind.String()}
	default:
		return Lent{Kind: refusal.Internal.String()}
	}
}

// SettleLoan bills a loan once; one that is not open is left alone.
func (b *Ledger) SettleLoan(s Settlement) {
	if b.loans.end(s.Request) {
		b.Handle(time.Now(), budget.Settle{Request: s.Request, Tokens: s.Tokens})
	}
}

// loans are the reservations that this router holds for requests of others.
//
// One that is not settled in time is billed in full, since its request may have run.
type loans struct {
	mu   sync.Mutex
	open map[string]*time.Timer // By request; guarded by mu.
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
