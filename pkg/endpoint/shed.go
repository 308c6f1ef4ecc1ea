package endpoint

import (
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// shed refuses the waiting requests whose first token cannot come before their deadline.
func (p *Pool) shed(now time.Time) []Action {
	var actions []Action
	speeds := map[string]speed{}
	ahead := map[string]float64{}
	for _, j := range p.queue.sorted() {
		at, ok := speeds[j.Serves]
		if !ok {
			at = p.speed(now, j.Serves)
			speeds[j.Serves] = at
		}
		if action, late := p.shedIfLate(now, j, at.wait(j, ahead[j.Serves])); late {
			actions = append(actions, action)
			continue
		}
		ahead[j.Serves] += j.cost()
	}
	return actions
}

// shedNew refuses a request that was just put into the queue if it would come too late.
func (p *Pool) shedNew(now time.Time, id string) []Action {
	j, ok := p.jobs[id]
	if !ok || j.on != nil {
		return nil
	}
	if action, late := p.shedIfLate(now, j, p.speed(now, j.Serves).wait(j, p.queue.ahead(j))); late {
		return []Action{action}
	}
	return nil
}

func (p *Pool) shedIfLate(now time.Time, j *job, wait time.Duration) (Action, bool) {
	if !now.Add(wait).After(j.Deadline) {
		return nil, false
	}
	p.queue.remove(j)
	delete(p.jobs, j.ID)
	kind, unservable := p.unservable(now, j)
	if !unservable {
		kind = refusal.DeadlineUnreachable
	}
	return j.refuse(kind, max(wait, time.Second)), true
}

// speed is what the endpoints of one model or service do together.
type speed struct {
	tokens     float64 // Output tokens a second of all slots; zero when no endpoint is usable.
	promptTime float64 // Seconds for each prompt token of the fastest.
}

func (p *Pool) speed(now time.Time, serves string) speed {
	var s speed
	for _, name := range p.names {
		b := p.backends[name]
		if !b.serves(serves) || b.leaving() || now.Before(b.downUntil) {
			continue
		}
		if s.tokens == 0 || b.promptTime < s.promptTime {
			s.promptTime = b.promptTime
		}
		s.tokens += float64(b.Slots) / b.tokenTime
	}
	return s
}

// wait estimates the time until the first token of a waiting job that has the given work before it.
func (s speed) wait(j *job, ahead float64) time.Duration {
	if s.tokens == 0 {
		return 0
	}
	return seconds(float64(j.PromptTokens)*s.promptTime + ahead/s.tokens)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
