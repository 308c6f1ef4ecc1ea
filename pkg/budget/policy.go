package budget

import (
	"cmp"
	"time"
)

// Policy sizes the grants of a holder; zero fields take the defaults.
type Policy struct {
	Horizon     time.Duration // Demand that a grant covers beyond what is needed at once.
	ShareParts  int64         // A grant beyond the need takes at most one part in ShareParts of the free tokens.
	Step        time.Duration // Demand that a raise of the ceiling covers; what a death can strand.
	SealAfter   time.Duration // Absence after which a witness seals an account.
	RefillEvery time.Duration // Least time between two writes that only refill a grant.
	FlushEvery  time.Duration // Longest time for which spent tokens stay unreported.
	ReturnAfter time.Duration // Time without use after which unused tokens return to the budget.
	PassAfter   time.Duration // Time without use after which a router that is no home of a budget returns what it holds.
	RetireAfter time.Duration // Time without use after which the account is closed and forgotten.
	SeekAfter   time.Duration // Age of a store call after which waiting requests look for tokens at peers.
	FreshFor    time.Duration // Age up to which a read record may serve as ground for a refusal.
	RereadAfter time.Duration // Age of a record after which it is read again before it is written.
	RecallEvery time.Duration // Least time between two recalls of one budget; doubles while they bring nothing.
	Backoff     time.Duration // Time without store calls after one that failed.
	MaxForwards int           // Peers tried for one request.
}

// Defaults of a Policy.
const (
	DefaultHorizon     = 3 * time.Minute
	DefaultStep        = 5 * time.Second
	DefaultSealAfter   = 10 * time.Second
	DefaultShareParts  = 6
	DefaultRefillEvery = 500 * time.Millisecond
	DefaultFlushEvery  = 5 * time.Second
	DefaultReturnAfter = 10 * time.Second
	DefaultPassAfter   = time.Second
	DefaultRetireAfter = time.Minute
	DefaultSeekAfter   = 60 * time.Millisecond
	DefaultFreshFor    = 200 * time.Millisecond
	DefaultRereadAfter = 200 * time.Millisecond
	DefaultRecallEvery = 500 * time.Millisecond
	DefaultBackoff     = 500 * time.Millisecond
	DefaultMaxForwards = 5
)

func (p Policy) withDefaults() Policy {
	p.Horizon = cmp.Or(p.Horizon, DefaultHorizon)
	p.Step = cmp.Or(p.Step, DefaultStep)
	p.SealAfter = cmp.Or(p.SealAfter, DefaultSealAfter)
	p.ShareParts = cmp.Or(p.ShareParts, DefaultShareParts)
	p.RefillEvery = cmp.Or(p.RefillEvery, DefaultRefillEvery)
	p.FlushEvery = cmp.Or(p.FlushEvery, DefaultFlushEvery)
	p.ReturnAfter = cmp.Or(p.ReturnAfter, DefaultReturnAfter)
	p.PassAfter = cmp.Or(p.PassAfter, DefaultPassAfter)
	p.RetireAfter = cmp.Or(p.RetireAfter, DefaultRetireAfter)
	p.SeekAfter = cmp.Or(p.SeekAfter, DefaultSeekAfter)
	p.FreshFor = cmp.Or(p.FreshFor, DefaultFreshFor)
	p.RereadAfter = cmp.Or(p.RereadAfter, DefaultRereadAfter)
	p.RecallEvery = cmp.Or(p.RecallEvery, DefaultRecallEvery)
	p.Backoff = cmp.Or(p.Backoff, DefaultBackoff)
	p.MaxForwards = cmp.Or(p.MaxForwards, DefaultMaxForwards)
	return p
}
