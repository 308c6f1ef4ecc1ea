package endpoint

import (
	"slices"
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

const (
	maxRest        = 30 * time.Second // Longest time for which an endpoint may ask for no requests.
	restRetryShare = 0.5              // Share of the rest over which the returns of refused callers are spread.
)

// announceLeaving marks an endpoint as leaving until it is removed from the configured ones.
func (p *Pool) announceLeaving(name string) {
	if b, ok := p.backends[name]; ok {
		b.leavingByAnswer = true
	}
}

// rest sends an endpoint nothing for the requested time, and then one request at a time until one finishes.
func (p *Pool) rest(now time.Time, ev RestRequested) {
	b, ok := p.backends[ev.Endpoint]
	if !ok {
		return
	}
	until := now.Add(min(max(0, ev.For), maxRest))
	if until.After(b.restsUntil) {
		b.restsUntil = until
	}
	b.deaths = max(b.deaths, 1)
}

// allRest reports whether all endpoints that a selector admits and that are not leaving rest, and after which time a caller
// should return.
func (p *Pool) allRest(now time.Time, s selector) (after time.Duration, resting bool) {
	var earliest time.Time
	for _, name := range p.names {
		b := p.backends[name]
		if !b.fits(s) || b.leaving() {
			continue
		}
		if !b.rests(now) {
			return 0, false
		}
		if earliest.IsZero() || b.restsUntil.Before(earliest) {
			earliest = b.restsUntil
		}
	}
	if earliest.IsZero() {
		return 0, false
	}
	left := earliest.Sub(now)
	return left + time.Duration(restRetryShare*p.random.Float64()*float64(left)), true
}

// refuseResting refuses the waiting requests whose endpoints all rest.
func (p *Pool) refuseResting(now time.Time) []Action {
	var actions []Action
	for _, j := range slices.Clone(p.queue.waiting) {
		if after, resting := p.allRest(now, j.selector()); resting {
			p.queue.remove(j)
			delete(p.jobs, j.ID)
			actions = append(actions, j.refuse(refusal.Overloaded, after))
		}
	}
	return actions
}
