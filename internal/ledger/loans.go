package ledger

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// Loan asks a router, the lender, to reserve tokens for a request that another router runs.
type Loan struct {
	Request          string // Identifies the loan; see LoanID.
	Budget           string
	Prepaid          int64 // Prepaid tokens of the budget in the configuration of the asking router.
	Tokens           int64 // Worst-case cost of the request.
	KeepMilliseconds int64 // Time after which a loan that is not settled is billed in full.
	Search           bool  // Whether the lender draws and recalls tokens as for a request of its own.
}

// loanSeparator separates the ID of a run from the number of the loan.
const loanSeparator = "/"

// LoanID returns the ID of the n-th loan that a run asks for, counted from 1.
//
// Each loan has its own: if the answer of a lender is lost, the settlement of
// that loan must not close a later one at the same lender.
func LoanID(run string, n int) string {
	if n == 1 {
		return run
	}
	return run + loanSeparator + strconv.Itoa(n)
}

// RunOfLoan returns the ID of the run that asked for a loan.
func RunOfLoan(id string) string {
	run, _, _ := strings.Cut(id, loanSeparator)
	return run
}

// ErrLoanNotSent reports that a lender was not asked for a loan, so that there is none to settle.
var ErrLoanNotSent = errors.New("the lender was not asked")

// LoanReply is the lender's answer to a Loan.
type LoanReply struct {
	Granted bool
	Peer    string // Incarnation of another router that probably holds the tokens; empty if there is none.
	Kind    string // Reason of the refusal, a refusal.Kind; empty if Granted or if Peer is set.
}

// Settlement reports how many tokens of a loan its request used.
type Settlement struct {
	Request string // As in the Loan.
	Tokens  int64
}

// Time limits of a loan request; both are below the time for which the asking router waits.
const (
	lendDeadline = 200 * time.Millisecond // For the holder to find the tokens.
	lendTimeout  = 250 * time.Millisecond // For the holder to decide at all.
)

// Lend reserves tokens for a request of another router. It is idempotent while the loan is open.
//
// If notHome is set, this router is not a home of the budget and keeps no grants
// of it ready.
func (l *Ledger) Lend(loan Loan, notHome bool) LoanReply {
	if l.loans.has(loan.Request) {
		return LoanReply{Granted: true}
	}
	decisions := l.Decisions.Open(loan.Request)
	defer l.Decisions.Close(loan.Request)
	now := time.Now()
	l.Handle(now, budget.PrepaidTotal{Budget: loan.Budget, Tokens: loan.Prepaid})
	l.Handle(now, budget.Reserve{
		Request:   loan.Request,
		Budget:    loan.Budget,
		Tokens:    loan.Tokens,
		Deadline:  now.Add(lendDeadline),
		Forwarded: !loan.Search,
		OnDemand:  notHome,
	})
	select {
	case decision := <-decisions:
		return l.loanReply(loan, decision)
	case <-time.After(lendTimeout):
		l.Handle(time.Now(), budget.Cancel{Request: loan.Request})
		return LoanReply{Kind: refusal.BudgetUnavailable.String()}
	}
}

// loanReply converts the holder's decision about a loan into the reply, and opens the loan if it was granted.
func (l *Ledger) loanReply(loan Loan, decision budget.Action) LoanReply {
	switch decision := decision.(type) {
	case budget.Dispatch:
		l.loans.start(loan.Request, time.Duration(loan.KeepMilliseconds)*time.Millisecond, func() {
			l.Log.Warn("loan not settled", zap.String("Run", loan.Request), zap.String("Budget", loan.Budget), zap.Int64("Tokens", loan.Tokens))
			l.Handle(time.Now(), budget.Settle{Request: loan.Request, Tokens: loan.Tokens})
		})
		return LoanReply{Granted: true}
	case budget.Forward:
		// The asking router calls that peer itself.
		l.Handle(time.Now(), budget.ForwardAccepted{Request: loan.Request})
		return LoanReply{Peer: decision.Peer}
	case budget.Refuse:
		return LoanReply{Kind: decision.Kind.String()}
	default:
		return LoanReply{Kind: refusal.Internal.String()}
	}
}

// SettleLoan bills a loan and closes it. A loan that is not open, for example because it is settled already, is ignored.
func (l *Ledger) SettleLoan(s Settlement) {
	if l.loans.end(s.Request) {
		l.Handle(time.Now(), budget.Settle{Request: s.Request, Tokens: s.Tokens})
	}
}

// loans tracks the reservations that this router holds for requests of other routers.
//
// A loan that is not settled in time is billed in full, because its request may have run.
type loans struct {
	mu   sync.Mutex
	open map[string]*time.Timer // Timeouts of the open loans by request; guarded by mu.
}

// start opens a loan. Unless it is ended within ttl, it is closed and onTimeout is called.
func (l *loans) start(request string, ttl time.Duration, onTimeout func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = map[string]*time.Timer{}
	}
	l.open[request] = time.AfterFunc(ttl, func() {
		if l.end(request) {
			onTimeout()
		}
	})
}

// has reports whether the loan of a request is open.
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
