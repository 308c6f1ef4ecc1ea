package endpoint

import (
	"slices"
	"time"
)

// Parameters of the arrival of attempts.
const (
	// minAnswerDelay is the age from which on an attempt is taken to have arrived when its endpoint answers another one. What
	// an endpoint says may have been on its way when the attempt was sent.
	minAnswerDelay = 100 * time.Millisecond

	// suspensionGap is the time without any event after which this process may have been suspended. A router without traffic
	// has such gaps too; what it hears then confirms attempts a little later.
	suspensionGap = minAnswerDelay

	// catchUpTime is how long after a suspension a process may still read answers that have waited for it.
	catchUpTime = 200 * time.Millisecond

	// arrivalSpread is the time within which an endpoint that goes on after a silence reads all that was sent to it meanwhile.
	arrivalSpread = 500 * time.Millisecond

	// maxArrivalDelay is the age from which on an attempt is taken to have arrived, though its endpoint said nothing. It may
	// just have gone on, or never will.
	maxArrivalDelay = 10 * time.Second
)

// Answered reports that the answer to an attempt has begun, whatever it says.
type Answered struct{ ID string }

func (Answered) isEvent() {}

// arrivals says which attempts of a request may still arrive at endpoints.
//
// An endpoint that is paused reads an attempt when it resumes, even if its
// connection was closed meanwhile. The other attempts of the request may have
// arrived elsewhere by then, so that this one is the arrival beyond the first.
type arrivals struct {
	service string
	arrived bool // An attempt has arrived.
	open    int  // Attempts that may still arrive, a retry included that is decided on and not sent yet.
}

// pending returns how many arrivals beyond the first may still come.
func (a *arrivals) pending() int {
	if a.arrived {
		return a.open
	}
	return max(0, a.open-1)
}

// sentAttempt is an attempt that was sent.
type sentAttempt struct {
	request *arrivals
	at      time.Time
	settled bool // It has arrived, or is taken to have.
}

// setArrivals replaces what is known of the attempts of a request.
func (p *Pool) setArrivals(a *arrivals, arrived bool, open int) {
	l := p.retriesOf(a.service)
	l.pending -= a.pending()
	a.arrived = arrived
	a.open = open
	l.pending += a.pending()
}

// recordSent records that an attempt of a job is sent to an endpoint.
func (p *Pool) recordSent(now time.Time, j *job, endpoint string) {
	if !j.retryDecided {
		p.setArrivals(&j.arrivals, j.arrivals.arrived, j.arrivals.open+1)
	}
	j.retryDecided = false
	j.sent = &sentAttempt{request: &j.arrivals, at: now}
	p.unconfirmed[endpoint] = append(p.unconfirmed[endpoint], j.sent)
}

// confirm records that an attempt has arrived.
func (p *Pool) confirm(now time.Time, x *sentAttempt) {
	if x.settled {
		return
	}
	x.settled = true
	if x.request.arrived {
		p.retriesOf(x.request.service).arrived.add(now)
	}
	p.setArrivals(x.request, true, x.request.open-1)
}

// observeGap notes when this process may have been suspended, of which a time without events tells.
func (p *Pool) observeGap(now time.Time) {
	if !p.handledAt.IsZero() && now.Sub(p.handledAt) > suspensionGap {
		p.suspendedAt = p.handledAt
		p.caughtUpAt = now.Add(catchUpTime)
	}
	p.handledAt = now
}

// saidAt returns the latest time by which an endpoint has certainly said what is read now: an answer may have waited in its
// socket while this process was suspended.
func (p *Pool) saidAt(now time.Time) time.Time {
	if now.Before(p.caughtUpAt) {
		return p.suspendedAt
	}
	return now
}

// confirmReceived confirms the attempts that an endpoint must have read, since it says something now.
func (p *Pool) confirmReceived(now time.Time, endpoint string) {
	said := p.saidAt(now)
	for _, x := range p.unconfirmed[endpoint] {
		if said.Sub(x.at) >= minAnswerDelay {
			p.confirm(now, x)
		}
	}
	p.dropSettled(endpoint)
}

// confirmOld confirms the attempts at endpoints that have said nothing for long.
func (p *Pool) confirmOld(now time.Time) {
	for endpoint, sent := range p.unconfirmed {
		for _, x := range sent {
			if now.Sub(x.at) >= maxArrivalDelay {
				p.confirm(now, x)
			}
		}
		p.dropSettled(endpoint)
	}
}

func (p *Pool) dropSettled(endpoint string) {
	left := slices.DeleteFunc(p.unconfirmed[endpoint], func(x *sentAttempt) bool { return x.settled })
	if len(left) == 0 {
		delete(p.unconfirmed, endpoint)
		return
	}
	p.unconfirmed[endpoint] = left
}

// recordAnswer records that the answer to the attempt of a job has begun.
func (p *Pool) recordAnswer(now time.Time, id string) {
	if j, ok := p.jobs[id]; ok && j.target != nil {
		p.confirm(now, j.sent)
		p.confirmReceived(now, j.target.Name)
		p.observeColdAnswer(now, j.target, j.sentAt)
	}
}
