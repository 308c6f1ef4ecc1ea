package budget

import (
	"cmp"
	"time"
)

// Policy configures the size of a holder's grants and the timing of its calls; zero fields take the defaults.
type Policy struct {
	Horizon             time.Duration // Time for which a grant covers the estimated demand, beyond the immediate need.
	ReserveDivisor      int64         // If not zero, the Horizon counts only up to 1/ReserveDivisor of the tokens that are free or held by this holder.
	MinHorizon          time.Duration // The part of the Horizon that counts whatever is left; used with a ReserveDivisor.
	ShareDivisor        int64         // A grant takes at most 1/ShareDivisor of the free tokens beyond the immediate need.
	Step                time.Duration // Time for which a raise of the ceiling covers the demand; it bounds the tokens stranded by a router's death.
	SealAfter           time.Duration // Absence of a holder after which its witness seals the account.
	RefillEvery         time.Duration // Minimum interval between writes that only refill a grant.
	FlushEvery          time.Duration // Maximum time for which spent tokens stay unreported to the store.
	ReturnAfter         time.Duration // Idle time after which unused tokens are returned to the budget.
	OnDemandReturnAfter time.Duration // Idle time after which a router that is not a home of the budget returns its unused tokens.
	RetireAfter         time.Duration // Idle time after which the account is closed and removed.
	ForwardAfter        time.Duration // Age of a store call in flight after which waiting requests are forwarded to peers.
	MaxRecordAge        time.Duration // Maximum age of a record on which a refusal may be based.
	RereadAfter         time.Duration // Age of a record after which it is read again before a write.
	RecallEvery         time.Duration // Minimum interval between recalls of one budget; it doubles with each recall until tokens are granted again.
	Backoff             time.Duration // Pause of a budget's store calls, or of raises to its witness, after a failed one.
	MaxForwards         int           // Maximum number of peers tried for one request.
}

// Default values of the fields of a Policy.
const (
	DefaultHorizon             = 3 * time.Minute
	DefaultStep                = 5 * time.Second
	DefaultSealAfter           = 10 * time.Second
	DefaultShareDivisor        = 6
	DefaultRefillEvery         = 500 * time.Millisecond
	DefaultFlushEvery          = 5 * time.Second
	DefaultReturnAfter         = 10 * time.Second
	DefaultOnDemandReturnAfter = time.Second
	DefaultRetireAfter         = time.Minute
	DefaultForwardAfter        = 60 * time.Millisecond
	DefaultMaxRecordAge        = 200 * time.Millisecond
	DefaultRereadAfter         = 200 * time.Millisecond
	DefaultRecallEvery         = 500 * time.Millisecond
	DefaultBackoff             = 500 * time.Millisecond
	DefaultMaxForwards         = 5
)

func (p Policy) withDefaults() Policy {
	p.Horizon = cmp.Or(p.Horizon, DefaultHorizon)
	p.Step = cmp.Or(p.Step, DefaultStep)
	p.SealAfter = cmp.Or(p.SealAfter, DefaultSealAfter)
	p.ShareDivisor = cmp.Or(p.ShareDivisor, DefaultShareDivisor)
	p.RefillEvery = cmp.Or(p.RefillEvery, DefaultRefillEvery)
	p.FlushEvery = cmp.Or(p.FlushEvery, DefaultFlushEvery)
	p.ReturnAfter = cmp.Or(p.ReturnAfter, DefaultReturnAfter)
	p.OnDemandReturnAfter = cmp.Or(p.OnDemandReturnAfter, DefaultOnDemandReturnAfter)
	p.RetireAfter = cmp.Or(p.RetireAfter, DefaultRetireAfter)
	p.ForwardAfter = cmp.Or(p.ForwardAfter, DefaultForwardAfter)
	p.MaxRecordAge = cmp.Or(p.MaxRecordAge, DefaultMaxRecordAge)
	p.RereadAfter = cmp.Or(p.RereadAfter, DefaultRereadAfter)
	p.RecallEvery = cmp.Or(p.RecallEvery, DefaultRecallEvery)
	p.Backoff = cmp.Or(p.Backoff, DefaultBackoff)
	p.MaxForwards = cmp.Or(p.MaxForwards, DefaultMaxForwards)
	return p
}
