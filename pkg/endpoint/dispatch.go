package endpoint

import (
	"slices"
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// room tells what a look at the endpoints for a model or service found.
type room struct {
	open        bool // An endpoint may have room.
	ignorePause bool // All endpoints are paused, so that pauses do not count.
}

// dispatch sends every waiting request for which an endpoint has room.
func (p *Pool) dispatch(now time.Time) []Action {
	actions := p.refuseSuspects(now)
	rooms := map[string]room{}
	for {
		var chosen *backend
		j := p.queue.next(func(j *job) bool {
			b := p.chooseIn(now, j, rooms)
			if b != nil {
				chosen = b
			}
			return b != nil
		})
		if j == nil {
			return actions
		}
		delete(rooms, j.Serves)
		actions = append(actions, p.send(now, j, chosen))
	}
}

// chooseIn is choose, but looks at the endpoints only once for all jobs that find none with room.
func (p *Pool) chooseIn(now time.Time, j *job, rooms map[string]room) *backend {
	found, known := rooms[j.Serves]
	if !known {
		found = p.look(now, j.Serves)
		rooms[j.Serves] = found
	}
	if !found.open {
		return nil
	}
	return p.choose(now, j, found.ignorePause)
}

// look finds out whether an endpoint for a model or service may have room.
func (p *Pool) look(now time.Time, serves string) room {
	found := room{ignorePause: p.allPaused(now, serves)}
	for _, name := range p.names {
		if p.takes(now, p.backends[name], serves, found.ignorePause) {
			found.open = true
			return found
		}
	}
	return found
}

// takes reports whether an endpoint may be sent a request for a model or service now.
func (p *Pool) takes(now time.Time, b *backend, serves string, ignorePause bool) bool {
	return b.serves(serves) && b.usable(now, ignorePause) && b.hasSlot(now, p.peers, p.Policy)
}

// allPaused reports whether every endpoint for a model or service that does not leave is paused; a doubtful endpoint is better than none.
func (p *Pool) allPaused(now time.Time, serves string) bool {
	for _, name := range p.names {
		b := p.backends[name]
		if b.serves(serves) && !b.leaving() && !now.Before(b.downUntil) {
			return false
		}
	}
	return true
}

// refuseSuspects refuses the waiting requests that have been in flight at too many deaths.
func (p *Pool) refuseSuspects(now time.Time) []Action {
	if len(p.suspects.known) == 0 {
		return nil
	}
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
	j.prefill = b.prefill(j, false, p.Policy)
	j.sentAt = now
	j.firstAt = time.Time{}
	b.running[j.ID] = j
	b.noteChange(now, 1)
	return Send{ID: j.ID, Endpoint: b.Name, Attempt: j.attempts}
}

// choose returns the usable endpoint with room whose first token is expected soonest, or nil.
func (p *Pool) choose(now time.Time, j *job, ignorePause bool) *backend {
	suspect := p.suspects.deaths(now, j.Fingerprint) > 0
	if suspect && p.copyInFlight(j.Fingerprint) {
		return nil
	}
	home := p.home(j, func(b *backend) bool { return b.serves(j.Serves) && b.usable(now, false) })
	var best *backend
	var least float64
	for _, name := range p.names {
		b := p.backends[name]
		if !p.takes(now, b, j.Serves, ignorePause) {
			continue
		}
		if suspect && b.hasSuspect() {
			continue
		}
		cost := p.cost(now, b, j, b == home)
		if best == nil || cost < least {
			best = b
			least = cost
		}
	}
	return best
}

// copyInFlight reports whether a request with this fingerprint is in flight, so that the next one waits for what becomes of it.
func (p *Pool) copyInFlight(fingerprint uint64) bool {
	for _, name := range p.names {
		for _, j := range p.backends[name].running {
			if j.Fingerprint == fingerprint {
				return true
			}
		}
	}
	return false
}

// cost estimates the seconds until the first token and adds a part of the output time and of the load, so that fast and idle endpoints are preferred among free ones.
func (p *Pool) cost(now time.Time, b *backend, j *job, home bool) float64 {
	const tieBreak = 0.02
	seconds := b.startTime(now, j, home, p.peers, p.Policy) + p.Policy.OutputWeight*float64(j.OutputTokens)*b.tokenTime
	seconds += p.Policy.FailureWeight * b.failures
	seconds += p.Policy.LoadWeight * b.occupied(now, p.peers, p.Policy) / float64(b.Slots)
	return seconds * (1 + tieBreak*p.random.Float64())
}
