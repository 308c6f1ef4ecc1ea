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
// Invariant: what is reserved lies below the ceiling that the store or the
// witness acknowledged, and mine.Granted never exceeds what the store's record
// grants.
type account struct {
	budget   string
	record   Record // As last read or written.
	version  uint64
	total    int64 // Prepaid tokens as the configuration gives them; zero when only top-ups count.
	passing  bool  // This router is no home of the budget.
	drawing  bool  // A first grant is still to be drawn.
	known    bool  // record and version were read at least once.
	loadedAt time.Time

	mine     Account // Granted, Ceiling, Witness and Seals as proved, Spent as settled, Returned as debited.
	acked    int64   // Ceiling that mine.Witness acknowledged since mine.Seals.
	reserved int64
	waiting  []string // Requests without a reservation, oldest first.

	raising  bool      // A Raise is not yet answered.
	raisedAt time.Time // Of the last Raise that failed.
	sealing  []pledgeKey
	left     []LeftBehind // Accounts of stopped holders that are to be closed.

	write    *write
	loading  bool
	calledAt time.Time // Of the store call that is in flight.
	retryAt  time.Time // No store call before this time.

	recalls     map[string]bool // Peers whose answer to a recall is outstanding.
	recalledAt  time.Time
	recallPause time.Duration // Until the next recall; zero after a grant.
	answers     []string      // Recalls of peers to be answered after the next write.

	rate      float64 // Tokens a second, decaying.
	rateAt    time.Time
	rateSince time.Time // First demand.
	usedAt    time.Time
	flushedAt time.Time

	closed bool // The account was closed by this holder's shutdown.
	fenced bool // The account was closed by an operator; this incarnation may not draw again.
}

// write is the conditional write that is in flight or whose outcome is unknown.
type write struct {
	base     uint64
	record   Record
	before   Account // mine as it was before this write was debited.
	inFlight bool
	resent   bool // An earlier copy may still land, so that a refusal of this one proves nothing.
	closing  bool
}

// headroom returns the unused part of the whole grant.
func (a *account) headroom() int64 { return a.mine.Held() - a.reserved }

// usable returns the unused part of the grant below the ceiling.
func (a *account) usable() int64 {
	proved := a.mine
	proved.Ceiling = a.ceiling()
	return proved.usable() - a.reserved
}

func (a *account) ceiling() int64 {
	return min(a.mine.Granted, max(a.mine.Ceiling, a.acked))
}

// used returns the point on the scale of the ceiling up to which tokens are used or set aside.
func (a *account) used() int64 {
	return a.mine.Spent + a.mine.Returned - a.mine.Refunded + a.reserved
}

func (a *account) busy() bool {
	return a.loading || (a.write != nil && a.write.inFlight)
}

// slow reports whether a store call has been in flight for so long that waiting requests look for tokens elsewhere.
func (a *account) slow(now time.Time, p Policy) bool {
	return a.busy() && now.Sub(a.calledAt) >= p.SeekAfter
}

// target is what the grant should leave: the demand of the horizon beside what runs.
func (a *account) target(p Policy) int64 {
	return int64(a.demand()*p.Horizon.Seconds()) + a.reserved
}

// step is what the ceiling should leave usable when it is raised.
func (a *account) step(p Policy) int64 { return int64(a.demand()*p.Step.Seconds()) + a.reserved/2 }

// demand returns the estimated tokens a second.
//
// Until the window has passed once, the decaying sum has seen only a part of it.
func (a *account) demand() float64 {
	const least = 2 * time.Second // One request alone says little.
	age := max(least, a.rateAt.Sub(a.rateSince))
	return a.rate / (1 - math.Exp(-age.Seconds()/rateWindow.Seconds()))
}

// noteDemand folds a request that used n tokens into the demand estimate.
func (a *account) noteDemand(now time.Time, n int64) {
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
