package endpoint

import "time"

// MoveRequested asks for a place at another endpoint for a request in flight whose endpoint is silent.
//
// The answer is Reserved or MoveDenied. The attempt in flight goes on until Moved; MoveCancelled gives the place back.
type MoveRequested struct{ ID string }

// Moved reports that the attempt in flight has ended and that the one at the reserved place begins.
//
// The answer is MoveDenied if the endpoint there has left, restarted or changed meanwhile, so that it may not serve the request
// any more; the request has no attempt in flight then.
type Moved struct {
	ID      string
	Outcome Outcome // Of the attempt that has ended.
}

// MoveCancelled gives a reserved place back, because the silent endpoint has spoken or the other one was not reached.
type MoveCancelled struct {
	ID          string
	Attempt     int // That of the Reserved.
	Unreachable bool
}

func (MoveRequested) isEvent() {}
func (Moved) isEvent()         {}
func (MoveCancelled) isEvent() {}

// Reserved holds a place at another endpoint for a request in flight.
type Reserved struct{ Place Send }

// MoveDenied reports that a request has to go on at its endpoint.
type MoveDenied struct {
	ID     string
	Reason Denial
}

func (Reserved) isAction()   {}
func (MoveDenied) isAction() {}

// Denial is the reason why a request must not or cannot move to another endpoint.
type Denial uint8

// The reasons of a denial.
const (
	NotInFlight Denial = iota // Or a place is reserved already.
	NotRepeatable
	AttemptsExhausted
	SuspectBlocked // The request or a part of its prompt crashes endpoints.
	RetryBudgetEmpty
	NoPlace      // No other endpoint that may serve the request can take it now.
	PlaceChanged // The endpoint at the reserved place has left, restarted or changed.
)

var denialNames = [...]string{"NotInFlight", "NotRepeatable", "AttemptsExhausted", "SuspectBlocked", "RetryBudgetEmpty", "NoPlace", "PlaceChanged"}

// String returns the name of the reason as written in logs.
func (d Denial) String() string { return denialNames[min(d, PlaceChanged)] }

// handleMove applies an event of a request that may move to another endpoint.
func (p *Pool) handleMove(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case MoveRequested:
		return []Action{p.reserve(now, ev.ID)}
	case Moved:
		return p.move(now, ev)
	case MoveCancelled:
		return p.cancelMove(now, ev)
	case Responded:
		return p.recordResponded(now, ev.ID)
	default:
		return nil
	}
}

// reserve reserves a place at another endpoint for a job in flight, if there is one within all limits. Its own endpoint is
// avoided until it speaks.
//
// The place counts as an attempt in flight there, and takes a retry out of the budget.
func (p *Pool) reserve(now time.Time, id string) Action {
	j, ok := p.jobs[id]
	if !ok || j.target == nil || j.place != nil {
		return MoveDenied{id, NotInFlight}
	}
	p.saveHealth(now, j.target)
	j.target.recordSilence(now, p.Policy)
	p.presumeCold(now, j.target, afterSilence)
	switch {
	case !j.Repeatable:
		return MoveDenied{id, NotRepeatable}
	case j.attemptsExhausted(p.Policy, j.runs+1):
		return MoveDenied{id, AttemptsExhausted}
	case p.blocked(now, &j.Request):
		return MoveDenied{id, SuspectBlocked}
	case p.RetryBudget(now, j.Service).Exhausted():
		return MoveDenied{id, RetryBudgetEmpty}
	}
	b := p.chooseOther(now, j)
	if b == nil {
		return MoveDenied{id, NoPlace}
	}
	p.decideRetry(j)
	j.placeLimited = b.occupy(now, j)
	j.place = b
	return Reserved{Send{ID: id, Endpoint: b.Name, Version: b.Version, Attempt: j.attempts + 1}}
}

// chooseOther returns the endpoint to which a job in flight would move best, or nil.
//
// The attempt in flight ends before the next one begins, so it does not count as a duplicate of the job.
func (p *Pool) chooseOther(now time.Time, j *job) *backend {
	delete(j.target.running, j.ID)
	defer func() { j.target.running[j.ID] = j }()
	return p.choose(now, j, tolerance{})
}

// move ends the attempt of a job and starts the next one at its reserved place.
func (p *Pool) move(now time.Time, ev Moved) []Action {
	j, ok := p.jobs[ev.ID]
	if !ok || j.place == nil {
		return nil
	}
	next := j.place
	if p.backends[next.Name] != next || next.leaving() || !next.fits(j.selector()) {
		return append(p.endAttempt(now, Ended{ID: ev.ID, Outcome: ev.Outcome}), MoveDenied{ev.ID, PlaceChanged})
	}
	j.place = nil
	actions := p.endAttempt(now, Ended{ID: ev.ID, Outcome: ev.Outcome})
	p.startAttempt(now, j, next)
	return actions
}

// cancelMove gives the reserved place of a job back, unless it no longer has the place of that attempt.
func (p *Pool) cancelMove(now time.Time, ev MoveCancelled) []Action {
	j, ok := p.jobs[ev.ID]
	if !ok || j.place == nil || j.attempts+1 != ev.Attempt {
		return nil
	}
	if ev.Unreachable {
		j.place.ejectedUntil = now.Add(p.Policy.BaseEjectionTime)
		p.presumeCold(now, j.place, afterSilence)
	}
	p.releasePlace(now, j)
	return p.dispatch(now)
}

// releasePlace gives the reserved place of a job back, if it has one, with the retry that it took.
func (p *Pool) releasePlace(now time.Time, j *job) {
	if j.place == nil {
		return
	}
	delete(j.place.running, j.ID)
	j.place.recordChange(now, -1)
	if j.placeLimited {
		j.place.limit.giveBack(now)
	}
	j.place = nil
	p.giveRetryBack(j)
}
