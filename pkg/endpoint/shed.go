package endpoint

import (
	"cmp"
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// backlog is what waits ahead of a job for the same model or service.
type backlog struct {
	requests int
	work     float64 // In output-token equivalents; see job.work.
}

func (b *backlog) add(j *job) {
	b.requests++
	b.work += j.work()
}

// shed refuses the waiting requests whose next token cannot arrive before their deadline.
func (p *Pool) shed(now time.Time) []Action {
	var actions []Action
	throughputs := map[selector]throughput{}
	ahead := map[string]backlog{} // By model or service.
	for _, j := range p.queue.sorted() {
		t, ok := throughputs[j.selector()]
		if !ok {
			t = p.throughput(now, j.selector())
			throughputs[j.selector()] = t
		}
		before := ahead[j.Service]
		if action, late := p.shedIfLate(now, j, t, before); late {
			actions = append(actions, action)
			continue
		}
		before.add(j)
		ahead[j.Service] = before
	}
	return actions
}

// shedNew refuses a request that was just queued if its next token would arrive after its deadline.
// Unlike shed, it checks only this request.
func (p *Pool) shedNew(now time.Time, id string) []Action {
	j, ok := p.jobs[id]
	if !ok || j.target != nil {
		return nil
	}
	if action, late := p.shedIfLate(now, j, p.throughput(now, j.selector()), p.queue.ahead(j)); late {
		return []Action{action}
	}
	return nil
}

// shedIfLate refuses a waiting job if its first token cannot arrive before its deadline, given what waits ahead of it.
func (p *Pool) shedIfLate(now time.Time, j *job, t throughput, ahead backlog) (Action, bool) {
	wait := t.wait(now, j, ahead)
	if !now.Add(wait + t.afterRoom(j)).After(j.deadline()) {
		return nil, false
	}
	p.remove(j)
	kind, unservable := p.unservable(now, j)
	if !unservable {
		kind = refusal.DeadlineUnreachable
	}
	after := max(wait, time.Second)
	if wait == noRoom {
		after = time.Second // Another router may have room.
	}
	return j.refuse(kind, after), true
}

// throughput is the combined throughput of those endpoints that a selector admits
// and that are neither leaving nor ejected nor avoided for silence.
//
// A cold endpoint counts as one with a limit, and so does a paced one to which this router may not send yet.
type throughput struct {
	outputRate float64 // Output tokens per second of all slots of endpoints without a limit; zero if there is no such endpoint.
	promptTime float64 // Seconds per prompt token of the fastest endpoint without a limit.

	limits            []limit   // Those of the other endpoints.
	firstToken        float64   // Seconds until the first token at the fastest of them, without the prompt.
	limitedPromptTime float64   // Seconds per prompt token of the fastest of them.
	returnsAt         time.Time // When the first ejected, silent or cold endpoint without a limit may be used freely again; zero if there is none.

	brittleWait time.Duration // Shortest time until a brittle endpoint has room, if all that are not limited are brittle and have none; else zero.
}

func (p *Pool) throughput(now time.Time, s selector) throughput {
	var t throughput
	tolerated := p.toleranceOf(now, s)
	for _, b := range p.ordered {
		if !b.fits(s) || b.leaving() {
			continue
		}
		if at := b.returnsAt(tolerated); now.Before(at) {
			t.addAvoided(b, at)
			continue
		}
		if b.limit.active() {
			t.addLimited(b, b.limit)
			continue
		}
		if b.isCold(now) {
			p.addCold(now, &t, b)
			continue
		}
		if wait := p.joinsAfter(now, b); wait > 0 {
			t.addLimited(b, paceLimit(now, wait))
			continue
		}
		if wait := b.brittleWait(now, cmp.Or(t.brittleWait, maxBrittleRest)); wait > 0 {
			t.brittleWait = wait
			continue
		}
		if t.outputRate == 0 || b.promptTime < t.promptTime {
			t.promptTime = b.promptTime
		}
		t.outputRate += float64(b.Slots) / b.tokenTime
	}
	return t
}

// returnsAt returns the end of the time for which the endpoint is ejected or avoided for silence.
func (b *backend) returnsAt(t tolerance) time.Time {
	if t.silent || b.silentUntil.Before(b.ejectedUntil) {
		return b.ejectedUntil
	}
	return b.silentUntil
}

// addAvoided records when an ejected, silent or cold endpoint may be used freely again.
func (t *throughput) addAvoided(b *backend, at time.Time) {
	if !b.limit.active() && (t.returnsAt.IsZero() || at.Before(t.returnsAt)) {
		t.returnsAt = at
	}
}

func (t *throughput) addLimited(b *backend, l limit) {
	if len(t.limits) == 0 || b.promptTime < t.limitedPromptTime {
		t.limitedPromptTime = b.promptTime
	}
	if len(t.limits) == 0 || b.tokenTime < t.firstToken {
		t.firstToken = b.tokenTime
	}
	t.limits = append(t.limits, l)
}

// addCold counts a cold endpoint as one with a limit, until it is no longer cold.
func (p *Pool) addCold(now time.Time, t *throughput, b *backend) {
	t.addLimited(b, p.coldLimit(now, b))
	if b.cold.presumed == notPresumed {
		t.addAvoided(b, b.cold.until)
	}
}

// dispatchDelay is how long a request may wait after there is room for it, until the pool handles the next event.
const dispatchDelay = 50 * time.Millisecond

// afterRoom estimates the time that a waiting job needs after wait has passed. It is not zero only if the job waits for
// room under a limit, where wait does not include it.
func (t throughput) afterRoom(j *job) time.Duration {
	if t.outputRate > 0 || len(t.limits) == 0 {
		return 0
	}
	return dispatchDelay + seconds(float64(j.PromptTokens)*t.limitedPromptTime+t.firstToken)
}

// wait estimates the time until the first token of a waiting job with a backlog ahead of it.
// It returns zero if there is no endpoint. If all endpoints name limits or are brittle, it is the time until there is room for the job.
func (t throughput) wait(now time.Time, j *job, ahead backlog) time.Duration {
	switch {
	case t.outputRate > 0:
		return seconds(float64(j.PromptTokens)*t.promptTime + ahead.work/t.outputRate)
	case len(t.limits) == 0 && t.brittleWait == 0:
		return 0
	}
	wait := t.brittleWait
	if len(t.limits) > 0 {
		wait = t.waitForRoom(now, ahead.requests+1)
	}
	if t.brittleWait > 0 {
		wait = min(wait, t.brittleWait)
	}
	if !t.returnsAt.IsZero() {
		wait = min(wait, t.returnsAt.Sub(now))
	}
	return wait
}

// waitForRoom returns the time until the limits have had room for n requests.
func (t throughput) waitForRoom(now time.Time, n int) time.Duration {
	taken := make([]int, len(t.limits))
	var wait time.Duration
	for range n {
		next := 0
		for i := range t.limits {
			if t.limits[i].waitFor(now, taken[i]+1) < t.limits[next].waitFor(now, taken[next]+1) {
				next = i
			}
		}
		taken[next]++
		wait = t.limits[next].waitFor(now, taken[next])
	}
	return wait
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
