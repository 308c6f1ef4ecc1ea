package endpoint

import (
	"slices"
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// dispatch sends every waiting request for which an endpoint has room and refuses those whose deadline cannot be met.
func (p *Pool) dispatch(now time.Time) []Action {
	actions := p.condemn(now)
	for {
		var chosen *backend
		j := p.queue.next(func(j *job) bool {
			b := p.choose(now, j)
			if b != nil {
				chosen = b
			}
			return b != nil
		})
		if j == nil {
			break
		}
		actions = append(actions, p.send(now, j, chosen))
	}
	return append(actions, p.shed(now)...)
}

// condemn refuses the waiting requests that have been in flight at too many deaths.
func (p *Pool) condemn(now time.Time) []Action {
	var actions []Action
	for _, j := range slices.Clone(p.queue.waiting) {
		if p.suspects.deaths(now, j.Fingerprint) > deathsAllowed {
			p.queue.remove(j)
			delete(p.jobs, j.ID)
			actions = append(actions, j.refuse(refusal.Suspect, 0))
		}
	}
	return actions
}

func (p *Pool) send(now time.Time, j *job, b *backend) Action {
	p.queue.remove(j)
	p.queue.charge(j)
	j.attempts++
	j.suspect = p.suspects.deaths(now, j.Fingerprint) > 0
	j.on = b
	j.sentAt = now
	j.firstAt = time.Time{}
	b.running[j.ID] = j
	b.noteChange(now, 1)
	return Send{ID: j.ID, Endpoint: b.Name, Attempt: j.attempts}
}

// choose returns the usable endpoint with room whose first token is expected soonest, or nil.
func (p *Pool) choose(now time.Time, j *job) *backend {
	suspect := p.suspects.deaths(now, j.Fingerprint) > 0
	if suspect && p.onTrial(j.Fingerprint) {
		return nil
	}
	var best *backend
	var least float64
	for _, name := range p.names {
		b := p.backends[name]
		if !b.serves(j.Serves) || !b.usable(now) || !b.hasSlot(now, p.peers, p.Policy) {
			continue
		}
		if suspect && b.hasSuspect() {
			continue
		}
		cost := p.cost(now, b, j)
		if best == nil || cost < least {
			best = b
			least = cost
		}
	}
	return best
}

// onTrial reports whether a request with this fingerprint is in flight, so that the next one waits for what becomes of it.
func (p *Pool) onTrial(fingerprint uint64) bool {
	for _, name := range p.names {
		for _, j := range p.backends[name].running {
			if j.Fingerprint == fingerprint {
				return true
			}
		}
	}
	return false
}

// cost estimates the seconds until the first token and adds a part of the output time, so that fast endpoints are preferred among free ones.
func (p *Pool) cost(now time.Time, b *backend, j *job) float64 {
	const tieBreak = 0.02
	seconds := b.startTime(now, &j.Request, p.peers, p.Policy) + p.Policy.OutputWeight*float64(j.OutputTokens)*b.tokenTime
	return seconds * (1 + tieBreak*p.random.Float64())
}

// shed refuses the waiting requests whose first token cannot come before their deadline.
func (p *Pool) shed(now time.Time) []Action {
	var actions []Action
	for _, j := range slices.Clone(p.queue.waiting) {
		wait := p.expectedWait(now, j)
		if now.Add(wait).After(j.Deadline) {
			p.queue.remove(j)
			delete(p.jobs, j.ID)
			actions = append(actions, j.refuse(p.shedKind(now, j), max(wait, time.Second)))
		}
	}
	return actions
}

func (p *Pool) shedKind(now time.Time, j *job) refusal.Kind {
	if kind, ok := p.hopeless(now, j); ok {
		return kind
	}
	return refusal.DeadlineUnreachable
}

// expectedWait estimates the time until a waiting request's first token from the work ahead of it and the speed of its endpoints.
func (p *Pool) expectedWait(now time.Time, j *job) time.Duration {
	var speed float64
	soonest := time.Duration(-1)
	for _, name := range p.names {
		b := p.backends[name]
		if !b.serves(j.Serves) || b.leaving() || now.Before(b.downUntil) {
			continue
		}
		speed += float64(b.Slots) / b.tokenTime
		start := seconds(float64(j.PromptTokens) * b.promptTime)
		if soonest < 0 || start < soonest {
			soonest = start
		}
	}
	if speed == 0 {
		return 0
	}
	return soonest + seconds(p.queue.ahead(j)/speed)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
