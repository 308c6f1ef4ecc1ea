package endpoint

import (
	"slices"
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// availability is the state of the endpoints of one selector.
type availability struct {
	tolerance

	open bool // Some endpoint may have a free slot.
}

// dispatch sends each waiting request for which an endpoint has a free slot.
func (p *Pool) dispatch(now time.Time) []Action {
	actions := p.refuseSuspects(now)
	known := map[selector]availability{}
	for {
		var chosen *backend
		j := p.queue.next(func(j *job) bool {
			b := p.chooseCached(now, j, known)
			if b != nil {
				chosen = b
			}
			return b != nil
		})
		if j == nil {
			return actions
		}
		clear(known)
		actions = append(actions, p.send(now, j, chosen))
	}
}

// chooseCached is like choose but checks availability once for all jobs with the same selector.
// The caller clears known after a send.
func (p *Pool) chooseCached(now time.Time, j *job, known map[selector]availability) *backend {
	s := j.selector()
	state, ok := known[s]
	if !ok {
		state = p.availabilityOf(now, s)
		known[s] = state
	}
	if !state.open {
		return nil
	}
	return p.choose(now, j, state.tolerance)
}

// availabilityOf returns the state of the endpoints that a selector admits.
func (p *Pool) availabilityOf(now time.Time, s selector) availability {
	state := availability{tolerance: p.toleranceOf(now, s)}
	for _, b := range p.ordered {
		if p.canSend(now, b, s, state.tolerance) {
			state.open = true
			return state
		}
	}
	return state
}

// canSend reports whether a request with a selector may be sent to an endpoint now.
func (p *Pool) canSend(now time.Time, b *backend, s selector, t tolerance) bool {
	return b.fits(s) && b.mayBegin(s) && !b.uncertain(now, s) && b.usable(now, t) && b.hasSlot(now, p.peers, p.Policy) && b.withinLimit(now) && b.withinBrittle(now) &&
		p.withinCold(now, b) && p.withinPace(now, b)
}

// refuseSuspects refuses the waiting requests that must not be sent any more.
func (p *Pool) refuseSuspects(now time.Time) []Action {
	if len(p.suspects.byID) == 0 && len(p.parts.byID) == 0 {
		return nil
	}
	var actions []Action
	for _, j := range slices.Clone(p.queue.waiting) {
		if p.blocked(now, &j.Request) {
			p.remove(j)
			actions = append(actions, j.refuse(refusal.Suspect, 0))
		}
	}
	return actions
}

func (p *Pool) send(now time.Time, j *job, b *backend) Action {
	p.queue.remove(j)
	b.occupy(now, j)
	p.startAttempt(now, j, b)
	return Send{ID: j.ID, Endpoint: b.Name, Version: b.Version, Attempt: j.attempts}
}

// occupy takes a place at the endpoint for an attempt of a job, and reports whether it took a request out of the endpoint's limit.
func (b *backend) occupy(now time.Time, j *job) (limited bool) {
	limited = b.limit.take(now)
	b.recordColdSend(now)
	b.takeBrittle(now)
	b.running[j.ID] = j
	b.recordChange(now, 1)
	return limited
}

// startAttempt records the start of an attempt of a job at an endpoint, which counts it as running already.
func (p *Pool) startAttempt(now time.Time, j *job, b *backend) {
	p.queue.charge(j)
	p.recordSent(now, j, b.Name)
	j.attempts++
	j.suspect = p.suspects.deaths(now, j.Fingerprint) > 0
	j.target = b
	j.prefill = b.prefill(j, false, p.Policy)
	j.sentAt = now
	b.recordColdSend(now)
	j.sentVersion = b.Version
	j.firstTokenAt = time.Time{}
}

// choose returns the usable endpoint with a free slot and the lowest cost, other than that of an attempt in flight, or nil.
//
// A suspect is not sent while a request with its fingerprint is in flight, nor to an endpoint that runs another suspect. A
// request with a suspect part is not sent while another one with that part is in flight.
func (p *Pool) choose(now time.Time, j *job, t tolerance) *backend {
	suspect := p.suspects.deaths(now, j.Fingerprint) > 0
	if suspect && p.duplicateInFlight(j.Fingerprint) {
		return nil
	}
	if part, found := p.suspectPart(now, &j.Request); found && p.partInFlight(part) {
		return nil
	}
	home := p.home(j, func(b *backend) bool {
		return b.fits(j.selector()) && b.mayBegin(j.selector()) && b.usable(now, tolerance{}) && !b.limit.active() && !b.isCold(now)
	})
	var best *backend
	var lowest float64
	for _, b := range p.ordered {
		if b == j.target || !p.canSend(now, b, j.selector(), t) {
			continue
		}
		if suspect && b.hasSuspect() {
			continue
		}
		cost := p.cost(now, b, j, b == home)
		if best == nil || cost < lowest {
			best = b
			lowest = cost
		}
	}
	return best
}

// duplicateInFlight reports whether a request with this fingerprint is in flight.
// A suspect waits for the outcome of its duplicate.
func (p *Pool) duplicateInFlight(fingerprint uint64) bool {
	for _, b := range p.ordered {
		for _, j := range b.running {
			if j.Fingerprint == fingerprint {
				return true
			}
		}
	}
	return false
}

// cost returns the estimated seconds until the first token plus weighted terms for
// output time, failures and load, which prefer fast, reliable and idle endpoints
// among those with a free slot. A small random factor breaks ties.
func (p *Pool) cost(now time.Time, b *backend, j *job, home bool) float64 {
	const tieBreak = 0.02
	output := p.Policy.OutputWeight * float64(j.OutputTokens) * b.tokenTime
	if j.PromptTokens == 0 {
		output *= b.slowdownAt(now) // Nothing comes before the work is done.
	}
	seconds := b.firstTokenSeconds(now, j, home, p.peers, p.Policy) + output
	seconds += p.Policy.FailureWeight * b.failures
	if now.Before(b.silentUntil) {
		seconds += silencePenalty
	}
	seconds += p.Policy.LoadWeight * b.occupied(now, p.peers, p.Policy) / float64(b.Slots)
	return seconds * (1 + tieBreak*p.random.Float64())
}
