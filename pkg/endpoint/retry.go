package endpoint

import "time"

// retryLog counts the requests for one service and their retries, as far as this router sends them.
//
// All routers together must not cause more arrivals beyond the first of each
// request than a share of the requests that came within RetryWindow, and
// FleetRetryReserve beyond that, in any such window. So that they need not
// agree, each of them keeps to the share of its own requests and to an equal
// part of the reserve. An arrival that may still come counts in each window
// until it is known to have come.
type retryLog struct {
	requests counts
	arrived  counts // Arrivals beyond the first of each request.
	pending  int    // Such arrivals that may still come; see arrivals.
}

// RetryBudget is what a router may retry for a service, and how much of that is in use.
type RetryBudget struct {
	Allowed float64 // Retries in the current window.
	Arrived int     // Of them, those that have arrived.
	Pending int     // Those that may still arrive.
}

// Exhausted reports whether one more retry would exceed the budget.
func (b RetryBudget) Exhausted() bool { return float64(b.Arrived+b.Pending+1) > b.Allowed }

// RetryBudget returns the state of the retry budget for a model or service.
func (p *Pool) RetryBudget(now time.Time, service string) RetryBudget {
	p.init(now)
	out := RetryBudget{Allowed: p.retryReserve(now)}
	if l, ok := p.retries[service]; ok {
		since := now.Add(-p.Policy.RetryWindow)
		out.Allowed += p.Policy.RetryRatio * float64(l.requests.since(since))
		out.Arrived = l.arrived.since(since.Add(-arrivalSpread - countResolution))
		out.Pending = l.pending
	}
	return out
}

// retryReserve returns the retries that this router may send for each service within RetryWindow besides those that requests earn.
//
// In the first window of a process, the one before it at the same place in the fleet may have used up its part. The new one has
// a fraction of it all the same, once it knows who it shares with, since its callers would get none of the failed attempts
// repeated.
func (p *Pool) retryReserve(now time.Time) float64 {
	if p.Policy.FleetRetryReserve <= 0 {
		return p.Policy.RetryReserve
	}
	peers := max(p.maxPeers, p.expectedPeers)
	share := p.Policy.FleetRetryReserve / float64(peers+1)
	switch {
	case now.Sub(p.startedAt) >= p.Policy.RetryWindow+arrivalSpread:
		return share
	case peers == 0:
		return 0
	}
	return startReserve * share
}

// retriesOf returns the log of a service.
func (p *Pool) retriesOf(service string) *retryLog {
	l, ok := p.retries[service]
	if !ok {
		l = &retryLog{}
		p.retries[service] = l
	}
	return l
}

// expireRetries drops what no window contains any more.
func (p *Pool) expireRetries(now time.Time) {
	since := now.Add(-p.Policy.RetryWindow - arrivalSpread - countResolution)
	for service, l := range p.retries {
		l.requests.dropBefore(since)
		l.arrived.dropBefore(since)
		if l.pending == 0 && len(l.requests) == 0 && len(l.arrived) == 0 {
			delete(p.retries, service)
		}
	}
}

// decideRetry takes a retry of a job out of the budget, which is sent or given back later.
func (p *Pool) decideRetry(j *job) {
	j.retryDecided = true
	p.setArrivals(&j.arrivals, j.arrivals.arrived, j.arrivals.open+1)
}

// giveRetryBack gives the retry back that was decided on and is not sent, if any.
func (p *Pool) giveRetryBack(j *job) {
	if j.retryDecided {
		j.retryDecided = false
		p.setArrivals(&j.arrivals, j.arrivals.arrived, j.arrivals.open-1)
	}
}

// startReserve is the fraction of its part of the reserve that a router may use in the first window after its start.
const startReserve = 0.25

// countResolution is the time within which events are counted together.
const countResolution = 100 * time.Millisecond

// counts holds numbers of events by time, oldest first.
type counts []count

// count is a number of events within countResolution of a time.
type count struct {
	from time.Time
	n    int
}

func (c *counts) add(now time.Time) {
	if last := len(*c) - 1; last >= 0 && now.Sub((*c)[last].from) < countResolution {
		(*c)[last].n++
		return
	}
	*c = append(*c, count{now, 1})
}

// since returns the number of events since a time, without those that were counted together with an earlier one.
func (c counts) since(t time.Time) int {
	n := 0
	for i := len(c) - 1; i >= 0 && !c[i].from.Before(t); i-- {
		n += c[i].n
	}
	return n
}

// dropBefore drops the events before a time.
func (c *counts) dropBefore(t time.Time) {
	old := 0
	for old < len(*c) && (*c)[old].from.Before(t) {
		old++
	}
	*c = (*c)[old:]
}
