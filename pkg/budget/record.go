package budget

import (
	"maps"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Account is what one router incarnation drew from a budget, in tokens, as counters that never fall.
type Account struct {
	Granted  int64
	Ceiling  int64 // Part of Granted that may be used without a further acknowledgement.
	Spent    int64
	Returned int64
	Refunded int64  `json:",omitempty"` // Spent, here or elsewhere, for a request that was billed twice.
	Witness  string `json:",omitempty"` // The incarnation that may acknowledge a higher Ceiling than the store holds.
	Seals    uint64 `json:",omitempty"` // Times that the witness gave back what lies above the Ceiling.
}

// Outstanding returns the tokens that are granted and not returned.
func (a Account) Outstanding() int64 { return a.Granted - a.Returned }

// Held returns the tokens that the incarnation may still spend as far as it has reported.
func (a Account) Held() int64 { return a.Granted + a.Refunded - a.Returned - a.Spent }

// usable returns the tokens below the ceiling that are neither spent nor returned.
func (a Account) usable() int64 { return a.Ceiling + a.Refunded - a.Returned - a.Spent }

// Record is the store's value for one budget.
type Record struct {
	Budget  string
	TopUps  map[string]int64   // Tokens by top-up ID.
	Retired int64              // Tokens spent less refunds by incarnations whose accounts were closed.
	Holders map[string]Account // Accounts by incarnation.
}

// Errors of record changes; each leaves the record as it was.
var (
	ErrOverGranted   = errors.New("grants exceed the prepaid tokens")
	ErrCounterFell   = errors.New("a counter fell")
	ErrTopUpChanged  = errors.New("this top-up ID was used with another amount")
	ErrTopUpAmount   = errors.New("a top-up needs an ID and a positive number of tokens")
	ErrUnknownHolder = errors.New("the budget has no such holder")
	ErrNotWitness    = errors.New("the account has another witness or was sealed before")
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

// Spent returns the tokens that holders reported as spent less refunds, closed accounts included.
func (r Record) Spent() int64 {
	sum := r.Retired
	for _, a := range r.Holders {
		sum += a.Spent - a.Refunded
	}
	return sum
}

// Free returns the tokens that no holder was granted.
func (r Record) Free() int64 { return r.Prepaid() - r.Retired - r.Outstanding() }

// Clone returns a copy that shares no map with r.
func (r Record) Clone() Record {
	r.TopUps = maps.Clone(r.TopUps)
	r.Holders = maps.Clone(r.Holders)
	return r
}

// Check returns an error when r breaks an invariant of its own.
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

// TopUp returns r with the top-up added; the same ID and amount again change nothing.
func (r Record) TopUp(id string, tokens int64) (Record, error) {
	if id == "" || tokens <= 0 {
		return r, ErrTopUpAmount
	}
	if was, ok := r.TopUps[id]; ok {
		if was != tokens {
			return r, errors.Wrapf(ErrTopUpChanged, "top-up %q is %d tokens", id, was)
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

// withTotal returns r with a top-up that raises the prepaid tokens to total; a total that is not higher changes nothing.
func (r Record) withTotal(total int64) Record {
	was := r.Prepaid()
	if total <= was {
		return r
	}
	next, err := r.TopUp("Total "+strconv.FormatInt(total, 10), total-was)
	if err != nil {
		return r // The same total was reached before by other top-ups; it stays as it is.
	}
	return next
}

func (a Account) fellFrom(was Account) bool {
	return a.Granted < was.Granted || a.Ceiling < was.Ceiling || a.Spent < was.Spent ||
		a.Returned < was.Returned || a.Refunded < was.Refunded || a.Seals < was.Seals
}

// Set returns r with the holder's account replaced by a newer state of it.
func (r Record) Set(holder string, a Account) (Record, error) {
	was := r.Holders[holder]
	if a.fellFrom(was) {
		return r, errors.Wrapf(ErrCounterFell, "holder %q", holder)
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

// seal returns r with everything above the holder's ceiling given back; p is what its witness acknowledged.
//
// The holder, if it still runs, goes on with what lies below the ceiling.
func (r Record) seal(holder, witness string, p pledge) (Record, error) {
	a, ok := r.Holders[holder]
	if !ok || a.Witness != witness || a.Seals != p.seals {
		return r, errors.Wrapf(ErrNotWitness, "holder %q", holder)
	}
	a.Returned += a.Granted - min(a.Granted, max(a.Ceiling, p.ceiling))
	a.Spent = max(a.Spent, p.spent)
	a.Ceiling = a.Granted
	a.Seals++
	return r.Set(holder, a)
}

// Close returns r without the holder's account; what it held and did not report as spent becomes free.
//
// A holder closes its own account when it shuts down. An operator who closes
// the account of a lost holder vouches that it will never run again.
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

// closeAt returns r without the account of a holder that stopped in the given state.
func (r Record) closeAt(holder string, final Account) (Record, error) {
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
