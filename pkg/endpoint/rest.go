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

// rest sends an endpoint nothing for the requested time, and then one request at a time until one finishes, unless it is paced.
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
	b.beginPace(b.restsUntil)
}

// allRest reports whether all endpoints that a selector admits and that are not leaving rest, and when the first of them returns.
func (p *Pool) allRest(now time.Time, s selector) (until time.Time, resting bool) {
	for _, b := range p.ordered {
		if !b.fits(s) || b.leaving() {
			continue
		}
		if !b.rests(now) {
			return time.Time{}, false
		}
		if until.IsZero() || b.restsUntil.Before(until) {
			until = b.restsUntil
		}
	}
	return until, !until.IsZero()
}

// returnAfter returns the time after which a caller should return whose endpoints rest until a time.
func (p *Pool) returnAfter(now, until time.Time) time.Duration {
	left := until.Sub(now)
	return left + time.Duration(restRetryShare*p.random.Float64()*float64(left))
}

// refuseResting refuses the waiting requests whose endpoints all rest, unless they may have run and can wait for the end of
// the rest: their callers cannot turn to another router.
func (p *Pool) refuseResting(now time.Time) []Action {
	var actions []Action
	for _, j := range slices.Clone(p.queue.waiting) {
		until, resting := p.allRest(now, j.selector())
		if !resting || j.mayHaveRun && until.Before(j.deadline()) {
			continue
		}
		p.remove(j)
		actions = append(actions, j.refuse(refusal.Overloaded, p.returnAfter(now, until)))
	}
	return actions
}
