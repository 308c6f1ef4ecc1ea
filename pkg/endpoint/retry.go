package endpoint

import "time"

// retryLimit returns the maximum of this router's retry budget.
//
// Half of the router's share of FleetRetryReserve is the budget's capacity, and
// the same amount is refilled over each RetryWindow. Within one window, a router
// thus spends at most its share, besides what RetryRatio adds.
func (p *Pool) retryLimit() float64 {
	if p.Policy.FleetRetryReserve <= 0 {
		return p.Policy.RetryReserve
	}
	const halves = 2 // Capacity and refill.
	return p.Policy.FleetRetryReserve / halves / float64(p.maxPeers+1)
}

// refillRetries refills the retry budget for the time since the last call.
func (p *Pool) refillRetries(now time.Time) {
	elapsed := now.Sub(p.retriesRefilledAt)
	first := p.retriesRefilledAt.IsZero()
	p.retriesRefilledAt = now
	if first || elapsed <= 0 || p.Policy.FleetRetryReserve <= 0 {
		return
	}
	p.retries = min(p.retryLimit(), p.retries+p.retryLimit()*elapsed.Seconds()/p.Policy.RetryWindow.Seconds())
}
