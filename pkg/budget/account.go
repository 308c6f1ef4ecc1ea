package budget

import (
	"math"
	"slices"
	"time"
)

// rateWindow is the time constant of the demand estimate.
const rateWindow = 10 * time.Second

// account is a holder's state for one budget.
//
// Invariant: reserved tokens lie below the ceiling that the store or the witness
// acknowledged, and own.Granted never exceeds what the store's record grants.
type account struct {
	budget          string
	record          Record // Last record read or written, with prepaidTotal applied.
	version         uint64
	prepaidTotal    int64     // Prepaid tokens according to the configuration; zero if only top-ups count.
	onDemand        bool      // This router is not a home of the budget.
	initialGrantDue bool      // A first grant is still to be drawn.
	recordValid     bool      // record and version may be used; otherwise they are read first.
	loadedAt        time.Time // Time at which record was read or written; zero forces a read.
	staleReadAt     time.Time // Time of the last stale read.

	own      Account  // Granted, Witness and Seals as confirmed by the store, Ceiling and Returned likewise but including a return in flight, Spent as settled, Refunded as credited.
	acked    int64    // Ceiling acknowledged by own.Witness for the seal count own.Seals.
	reserved int64    // Tokens reserved for requests that are not settled.
	waiting  []string // Requests without a reservation, oldest first.

	raising       bool              // A Raise is in flight.
	raiseFailedAt time.Time         // Time at which the last Raise failed.
	sealing       []witnessedKey    // Accounts of absent holders to be sealed.
	sealsUnread   bool              // The record was not read since an account was added to sealing.
	orphans       []OrphanedAccount // Accounts of stopped holders to be closed.

	write         *write    // Write in flight or of unknown outcome; nil if there is none.
	loading       bool      // A Load is in flight.
	callStartedAt time.Time // Start of the store call in flight.
	retryAt       time.Time // Earliest time of the next store call.

	sentRecalls   map[string]bool // Peers that have not yet answered this router's recall.
	recalledAt    time.Time       // Time of this router's last recall.
	recallPause   time.Duration   // Minimum pause after the last recall; zero after a grant.
	recallReplies []string        // IDs of peers' recalls to be answered after the next write.

	rate      float64   // Exponentially decaying demand in tokens per second.
	rateAt    time.Time // Time up to which rate has been decayed.
	rateSince time.Time // Time of the first demand.
	usedAt    time.Time // Time of the last use.
	flushedAt time.Time // Time of the last write of the holder's own account.

	closed bool // This holder has closed the account, and handles no further work on it.
	fenced bool // The account was closed by an operator or handed over by Leave; this incarnation may not draw again.
}

// write is the conditional write that is in flight or whose outcome is unknown.
type write struct {
	base     uint64  // Version that the write is conditional on.
	record   Record  // Record to be written.
	before   Account // Value of account.own before this write was debited.
	inFlight bool
	resent   bool    // An earlier copy may still take effect, so that a rejection of this one proves nothing.
	closing  bool    // The write removes the holder's own account.
	seal     *Sealed // What is logged if the write takes effect; nil if it seals no account.
}

// headroom returns the unreserved and unspent tokens of the whole grant, including those above the ceiling.
func (a *account) headroom() int64 { return a.own.Held() - a.reserved }

// usable returns the unreserved and unspent tokens below the ceiling.
func (a *account) usable() int64 {
	effective := a.own
	effective.Ceiling = a.ceiling()
	return effective.usable() - a.reserved
}

func (a *account) ceiling() int64 {
	return min(a.own.Granted, max(a.own.Ceiling, a.acked))
}

// used returns the lowest ceiling that covers all tokens spent, returned or reserved.
func (a *account) used() int64 {
	return a.own.Spent + a.own.Returned - a.own.Refunded + a.reserved
}

func (a *account) callInFlight() bool {
	return a.loading || (a.write != nil && a.write.inFlight)
}

// callSlow reports whether a store call has been in flight for so long that waiting requests are forwarded to peers.
func (a *account) callSlow(now time.Time, p Policy) bool {
	return a.callInFlight() && now.Sub(a.callStartedAt) >= p.ForwardAfter
}

// grantTarget returns the headroom that a grant should leave: the demand of the horizon plus the tokens reserved now.
//
// With a ReserveDivisor, the demand counts only as far as the tokens that are left allow. While plenty is left, a grant bridges a
// long outage of the store; as it runs out, less is lost together with the routers that hold it.
func (a *account) grantTarget(p Policy) int64 {
	covered := int64(a.demand() * p.Horizon.Seconds())
	if p.ReserveDivisor > 0 {
		left := a.record.Free() + max(0, a.headroom())
		least := int64(a.demand() * p.MinHorizon.Seconds())
		covered = max(least, min(covered, left/p.ReserveDivisor))
	}
	return covered + a.reserved
}

// ceilingStep returns the tokens that should be usable after the ceiling is raised.
func (a *account) ceilingStep(p Policy) int64 {
	return int64(a.demand()*p.Step.Seconds()) + a.reserved/2
}

// demand returns the estimated demand in tokens per second.
//
// The decaying sum underestimates the demand while it is younger than
// rateWindow; the divisor corrects for the part of the window not yet covered.
func (a *account) demand() float64 {
	const minAge = 2 * time.Second // Keeps a single request from inflating the estimate.
	age := max(minAge, a.rateAt.Sub(a.rateSince))
	return a.rate / (1 - math.Exp(-age.Seconds()/rateWindow.Seconds()))
}

// addDemand adds a request that used n tokens to the demand estimate.
func (a *account) addDemand(now time.Time, n int64) {
	a.decay(now)
	if a.rateSince.IsZero() {
		a.rateSince = now
	}
	a.rate += float64(n) / rateWindow.Seconds()
	a.usedAt = now
}

func (a *account) decay(now time.Time) {
	if now.After(a.rateAt) {
		a.rate *= math.Exp(-now.Sub(a.rateAt).Seconds() / rateWindow.Seconds())
		a.rateAt = now
	}
}

func (a *account) dropWaiting(request string) {
	a.waiting = slices.DeleteFunc(a.waiting, func(id string) bool { return id == request })
}
