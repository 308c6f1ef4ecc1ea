package budget

import (
	"maps"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Account counts the tokens that one router incarnation has drawn from a budget; its counters never decrease.
type Account struct {
	Granted  int64
	Ceiling  int64 // Part of Granted that may be used without further acknowledgement.
	Spent    int64
	Returned int64
	Refunded int64  `json:",omitempty"` // Tokens of duplicate bills credited to this account; the bills may be those of another holder.
	Witness  string `json:",omitempty"` // The incarnation that may acknowledge a higher Ceiling than the store holds.
	Seals    uint64 `json:",omitempty"` // Rises by one when the witness returns the tokens above the Ceiling, and from one account of an incarnation to its next.
}

// unused reports whether nothing was ever counted in the account.
func (a Account) unused() bool {
	a.Seals = 0
	return a == Account{}
}

// Outstanding returns the tokens granted and not returned.
func (a Account) Outstanding() int64 { return a.Granted - a.Returned }

// Held returns the tokens that the incarnation may still spend according to its last report.
func (a Account) Held() int64 { return a.Granted + a.Refunded - a.Returned - a.Spent }

// usable returns the tokens below the ceiling that are neither spent nor returned, plus refunds.
func (a Account) usable() int64 { return a.Ceiling + a.Refunded - a.Returned - a.Spent }

// Record is the store's value for one budget.
type Record struct {
	Budget  string
	TopUps  map[string]int64   // Tokens by top-up ID.
	Retired int64              // Tokens spent by incarnations whose accounts were closed, less their refunds.
	Holders map[string]Account // Accounts by incarnation.
}

// Errors returned by changes of a Record; the record stays unchanged.
var (
	ErrOverGranted      = errors.New("grants exceed the prepaid tokens")
	ErrCounterDecreased = errors.New("a counter decreased")
	ErrTopUpChanged     = errors.New("this top-up ID was used with another amount")
	ErrTopUpAmount      = errors.New("a top-up needs an ID and a positive number of tokens")
	ErrUnknownHolder    = errors.New("the budget has no such holder")
	ErrNotWitness       = errors.New("the account has another witness or was sealed before")
)

// Prepaid returns the sum of the distinct top-ups in tokens.
func (r Record) Prepaid() int64 {
	var sum int64
	for _, n := range r.TopUps {
		sum += n
	}
	return sum
}

// Outstanding returns the tokens granted to all holders and not returned.
func (r Record) Outstanding() int64 {
	var sum int64
	for _, a := range r.Holders {
		sum += a.Outstanding()
	}
	return sum
}

// Spent returns the tokens reported as spent less refunds, including those of closed accounts.
func (r Record) Spent() int64 {
	sum := r.Retired
	for _, a := range r.Holders {
		sum += a.Spent - a.Refunded
	}
	return sum
}

// Free returns the prepaid tokens that are neither spent by closed accounts nor granted to a holder.
func (r Record) Free() int64 { return r.Prepaid() - r.Retired - r.Outstanding() }

// Clone returns a copy that shares no map with r.
func (r Record) Clone() Record {
	r.TopUps = maps.Clone(r.TopUps)
	r.Holders = maps.Clone(r.Holders)
	return r
}

// Check returns an error if r violates an invariant that can be verified on a single record.
func (r Record) Check() error {
	for id, n := range r.TopUps {
		if n <= 0 {
			return errors.Wrapf(ErrTopUpAmount, "top-up %q", id)
		}
	}
	for name, a := range r.Holders {
		if a.Spent < 0 || a.Returned < 0 || a.Ceiling > a.Granted || a.usable() < 0 {
			return errors.Wrapf(ErrOverGranted, "holder %q", name)
		}
	}
	if r.Free() < 0 {
		return errors.Wrapf(ErrOverGranted, "budget %q", r.Budget)
	}
	return nil
}

// TopUp returns r with the top-up added; it is idempotent for the same ID and amount.
func (r Record) TopUp(id string, tokens int64) (Record, error) {
	if id == "" || tokens <= 0 {
		return r, ErrTopUpAmount
	}
	if previous, ok := r.TopUps[id]; ok {
		if previous != tokens {
			return r, errors.Wrapf(ErrTopUpChanged, "top-up %q is %d tokens", id, previous)
		}
		return r, nil
	}
	next := r.Clone()
	if next.TopUps == nil {
		next.TopUps = map[string]int64{}
	}
	next.TopUps[id] = tokens
	return next, nil
}

// withPrepaidTotal returns r with a top-up that raises the prepaid tokens to total, or r itself if total is not higher.
func (r Record) withPrepaidTotal(total int64) Record {
	previous := r.Prepaid()
	if total <= previous {
		return r
	}
	next, err := r.TopUp("Total "+strconv.FormatInt(total, 10), total-previous)
	if err != nil {
		return r // The total was reached before from other top-ups, so that its ID exists with another amount; r stays unchanged.
	}
	return next
}

func (a Account) decreasedFrom(previous Account) bool {
	return a.Granted < previous.Granted || a.Ceiling < previous.Ceiling || a.Spent < previous.Spent ||
		a.Returned < previous.Returned || a.Refunded < previous.Refunded || a.Seals < previous.Seals
}

// Set returns r with the holder's account replaced by a newer state of the same account.
func (r Record) Set(holder string, a Account) (Record, error) {
	previous := r.Holders[holder]
	if a.decreasedFrom(previous) {
		return r, errors.Wrapf(ErrCounterDecreased, "holder %q", holder)
	}
	next := r.Clone()
	if next.Holders == nil {
		next.Holders = map[string]Account{}
	}
	next.Holders[holder] = a
	if err := next.Check(); err != nil {
		return r, err
	}
	return next, nil
}

// seal returns r with the tokens above the holder's ceiling returned; w is the state that its witness acknowledged.
//
// The holder, if it still runs, keeps the tokens below the ceiling.
func (r Record) seal(holder, witness string, w witnessedAccount) (Record, error) {
	a, ok := r.Holders[holder]
	if !ok || a.Witness != witness || a.Seals != w.seals {
		return r, errors.Wrapf(ErrNotWitness, "holder %q", holder)
	}
	a.Returned += a.Granted - min(a.Granted, max(a.Ceiling, w.ceiling))
	a.Spent = max(a.Spent, w.spent)
	a.Ceiling = a.Granted
	a.Seals++
	return r.Set(holder, a)
}

// Close returns r without the holder's account; tokens that the holder held and did not report as spent become free.
//
// A holder closes its own account when it shuts down. An operator may close the
// account of a lost holder only if that holder will never run again.
func (r Record) Close(holder string) (Record, error) {
	a, ok := r.Holders[holder]
	if !ok {
		return r, errors.Wrapf(ErrUnknownHolder, "holder %q", holder)
	}
	next := r.Clone()
	delete(next.Holders, holder)
	next.Retired += a.Spent - a.Refunded
	return next, nil
}

// closeFinal returns r without the account of a holder that stopped in the given final state.
func (r Record) closeFinal(holder string, final Account) (Record, error) {
	a, ok := r.Holders[holder]
	if !ok {
		return r, errors.Wrapf(ErrUnknownHolder, "holder %q", holder)
	}
	a.Spent = max(a.Spent, final.Spent)
	a.Refunded = max(a.Refunded, final.Refunded)
	next := r.Clone()
	next.Holders[holder] = a
	next, err := next.Close(holder)
	if err != nil {
		return r, err
	}
	if err := next.Check(); err != nil {
		return r, err
	}
	return next, nil
}
