package endpoint

import (
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// shed refuses the waiting requests whose first token cannot arrive before their deadline.
func (p *Pool) shed(now time.Time) []Action {
	var actions []Action
	throughputs := map[string]throughput{}
	ahead := map[string]float64{}
	for _, j := range p.queue.sorted() {
		t, ok := throughputs[j.Service]
		if !ok {
			t = p.throughput(now, j.Service)
			throughputs[j.Service] = t
		}
		if action, late := p.shedIfLate(now, j, t.wait(j, ahead[j.Service])); late {
			actions = append(actions, action)
			continue
		}
		ahead[j.Service] += j.work()
	}
	return actions
}

// shedNew refuses a request that was just queued if its first token would arrive after its deadline.
// Unlike shed, it checks only this request.
func (p *Pool) shedNew(now time.Time, id string) []Action {
	j, ok := p.jobs[id]
	if !ok || j.target != nil {
		return nil
	}
	if action, late := p.shedIfLate(now, j, p.throughput(now, j.Service).wait(j, p.queue.workAhead(j))); late {
		return []Action{action}
	}
	return nil
}

// shedIfLate refuses a waiting job if wait exceeds the time left until its deadline.
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

// throughput is the combined throughput of those endpoints of one model or service
// that are neither leaving nor ejected.
type throughput struct {
	outputRate float64 // Output tokens per second of all slots; zero if there is no such endpoint.
	promptTime float64 // Seconds per prompt token of the fastest endpoint.
}

func (p *Pool) throughput(now time.Time, service string) throughput {
	var t throughput
	for _, name := range p.names {
		b := p.backends[name]
		if !b.serves(service) || b.leaving() || now.Before(b.ejectedUntil) {
			continue
		}
		if t.outputRate == 0 || b.promptTime < t.promptTime {
			t.promptTime = b.promptTime
		}
		t.outputRate += float64(b.Slots) / b.tokenTime
	}
	return t
}

// wait estimates the time until the first token of a waiting job with the given work ahead of it,
// in output-token equivalents. It returns zero if the output rate is zero.
func (t throughput) wait(j *job, ahead float64) time.Duration {
	if t.outputRate == 0 {
		return 0
	}
	return seconds(float64(j.PromptTokens)*t.promptTime + ahead/t.outputRate)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
