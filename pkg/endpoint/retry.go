package endpoint

import "time"

// retryLimit returns the largest number of retries that this router may save up.
//
// A part of the fleet's reserve is saved up at once and another one comes with
// time, so that a window sees each at most once.
func (p *Pool) retryLimit() float64 {
	if p.Policy.FleetReserve <= 0 {
		return p.Policy.RetryReserve
	}
	const parts = 2
	return p.Policy.FleetReserve / parts / float64(p.most+1)
}

// earnRetries adds what the time since the last call is worth.
func (p *Pool) earnRetries(now time.Time) {
	since := now.Sub(p.earnedAt)
	first := p.earnedAt.IsZero()
	p.earnedAt = now
	if first || since <= 0 || p.Policy.FleetReserve <= 0 {
		return
	}
	p.retries = min(p.retryLimit(), p.retries+p.retryLimit()*since.Seconds()/p.Policy.RetryWindow.Seconds())
}
