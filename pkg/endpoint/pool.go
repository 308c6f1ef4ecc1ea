package endpoint

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// Pool decides for one router which endpoint serves each request.
//
// The zero value works. A Pool is not safe for concurrent use.
type Pool struct {
	Policy Policy

	backends map[string]*backend
	names    []string // Of backends, sorted, so that decisions do not depend on map order.
	jobs     map[string]*job
	queue    queue
	suspects suspects
	retries  float64 // Retries saved up.
	earnedAt time.Time
	peers    int // Other routers that send to the same endpoints.
	most     int // Highest number of them so far: those that are out of sight may still send.
	random   *rand.Rand
}

// View is the state of one endpoint as a Pool sees it.
type View struct {
	Name         string
	Running      int // This router's requests in flight.
	Reported     Load
	Leaving      bool
	Down         bool
	TokenSeconds float64 // Measured seconds for each output token.
}

// Handle applies one event at time now and returns what is to be done.
func (p *Pool) Handle(now time.Time, ev Event) []Action {
	p.init()
	switch ev := ev.(type) {
	case Configured:
		p.configure(ev.Endpoints)
		return p.dispatch(now)
	case Submitted:
		return p.submit(now, ev.Request)
	case Retried:
		return p.retry(now, ev.ID)
	case FirstToken:
		p.firstToken(now, ev.ID)
		return nil
	case Ended:
		return p.ended(now, ev)
	case Withdrawn:
		p.withdraw(now, ev.ID)
		return p.dispatch(now)
	case RoutersCounted:
		p.peers = max(0, ev.Routers-1)
		p.most = max(p.most, p.peers)
		p.retries = min(p.retries, p.retryLimit())
		return nil
	case Tick:
		p.suspects.expire(now)
		p.earnRetries(now)
		return append(p.dispatch(now), p.shed(now)...)
	default:
		return p.handleHeard(now, ev)
	}
}

// handleHeard applies an event that tells what endpoints and other routers say.
func (p *Pool) handleHeard(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Reported:
		p.reported(now, ev)
		return p.dispatch(now)
	case LeavingSeen:
		p.leavingSeen(ev)
		return p.dispatch(now)
	case CacheSeen:
		p.cacheSeen(ev)
		return nil
	case SuspectHeard:
		p.suspects.hear(now, ev.Suspect)
		return p.dispatch(now)
	case RetriesChanged:
		p.Policy.RetryRatio = ev.RetryRatio
		p.Policy.FleetReserve = ev.FleetReserve
		p.retries = min(p.retries, p.retryLimit())
		return nil
	case Acquitted:
		p.suspects.clear(ev.Fingerprint)
		return p.dispatch(now)
	default:
		return nil
	}
}

// Views returns the state of each endpoint, sorted by name.
func (p *Pool) Views(now time.Time) []View {
	views := make([]View, 0, len(p.names))
	for _, name := range p.names {
		b := p.backends[name]
		views = append(views, View{
			Name:         name,
			Running:      len(b.running),
			Reported:     b.report,
			Leaving:      b.leaving(),
			Down:         now.Before(b.downUntil),
			TokenSeconds: b.tokenTime,
		})
	}
	return views
}

// Waiting returns the number of requests that wait for an endpoint.
func (p *Pool) Waiting() int { return len(p.queue.waiting) }

// IsSound reports whether a request is known to have finished once, so that it makes no endpoint die.
func (p *Pool) IsSound(fingerprint uint64) bool { return p.suspects.isSound(fingerprint) }

// Suspicions returns the suspects that are remembered.
func (p *Pool) Suspicions() []Suspicion { return p.suspects.list() }

func (p *Pool) init() {
	if p.backends != nil {
		return
	}
	p.Policy = p.Policy.withDefaults()
	p.backends = map[string]*backend{}
	p.jobs = map[string]*job{}
	p.retries = p.Policy.RetryReserve
	if p.Policy.FleetReserve > 0 {
		p.retries = 1 // The other routers are not known yet.
	}
	p.random = rand.New(rand.NewPCG(p.Policy.Seed, p.Policy.Seed))
}

func (p *Pool) configure(endpoints []Endpoint) {
	kept := map[string]bool{}
	for _, e := range endpoints {
		kept[e.Name] = true
		if b, ok := p.backends[e.Name]; ok {
			b.describe(e)
			continue
		}
		p.backends[e.Name] = newBackend(e)
	}
	maps.DeleteFunc(p.backends, func(name string, _ *backend) bool { return !kept[name] })
	p.names = slices.Sorted(maps.Keys(p.backends))
}

func (p *Pool) submit(now time.Time, r Request) []Action {
	if _, ok := p.jobs[r.ID]; ok {
		return nil
	}
	j := &job{Request: r, arrived: now, chain: chainOf(r.Parts)}
	if kind, ok := p.unservable(now, j); ok {
		return []Action{j.refuse(kind, 0)}
	}
	p.jobs[r.ID] = j
	p.queue.add(j)
	return append(p.dispatch(now), p.shedNew(now, r.ID)...)
}

// unservable tells why a request cannot be served, if so.
func (p *Pool) unservable(now time.Time, j *job) (refusal.Kind, bool) {
	if p.suspects.deaths(now, j.Fingerprint) > deathsAllowed {
		return refusal.Suspect, true
	}
	if len(p.queue.waiting) >= p.Policy.MaxQueue {
		return refusal.Overloaded, true
	}
	serving, usable := 0, 0
	for _, name := range p.names {
		b := p.backends[name]
		if !b.serves(j.Serves) {
			continue
		}
		serving++
		if !b.leaving() {
			usable++
		}
	}
	switch {
	case serving == 0:
		return refusal.UnknownModel, true
	case usable == 0:
		return refusal.NoEndpoint, true
	}
	return 0, false
}

func (p *Pool) retry(now time.Time, id string) []Action {
	j, ok := p.jobs[id]
	if !ok || j.on != nil {
		return nil
	}
	kind, refused := p.unservable(now, j)
	switch {
	case refused:
	case !j.Repeatable && j.ran, j.tried(p.Policy), p.retries < 1:
		kind = refusal.NoEndpoint
	default:
		p.retries--
		p.queue.add(j)
		return append(p.dispatch(now), p.shedNew(now, id)...)
	}
	delete(p.jobs, id)
	return []Action{j.refuse(kind, 0)}
}

func (p *Pool) firstToken(now time.Time, id string) {
	j, ok := p.jobs[id]
	if !ok || j.on == nil || !j.firstAt.IsZero() {
		return
	}
	j.firstAt = now
	if j.prefill >= leastMeasured && len(j.on.running) <= j.on.Slots {
		j.on.measurePrompt(now.Sub(j.sentAt).Seconds(), j.prefill)
	}
	j.on.remember(j)
}

func (p *Pool) ended(now time.Time, ev Ended) []Action {
	j, ok := p.jobs[ev.ID]
	if !ok || j.on == nil {
		return nil
	}
	b := j.on
	b.noteOutcome(ev.Outcome)
	delete(b.running, ev.ID)
	b.noteChange(now, -1)
	j.on = nil
	if ev.Outcome != Rejected {
		j.ran = true
		j.runs++
	}
	var actions []Action
	switch ev.Outcome {
	case Finished:
		p.finished(now, j, b, ev.Tokens)
	case Died:
		p.down(now, b.Name)
		if told, blamed := p.suspects.blame(now, j.Fingerprint, p.Policy.SuspectFor); blamed {
			actions = append(actions, TellSuspect{told})
		}
	case Silent:
		p.down(now, b.Name)
	case Rejected:
		b.downUntil = now.Add(p.Policy.DownFor)
	case Abandoned:
		delete(p.jobs, j.ID)
	}
	return append(actions, p.dispatch(now)...)
}

func (p *Pool) finished(now time.Time, j *job, b *backend, tokens int64) {
	b.deaths = 0
	b.downUntil = time.Time{}
	if j.firstAt.IsZero() {
		b.measureOutput(now.Sub(j.sentAt).Seconds(), max(1, tokens)) // The answer came as a whole.
	} else {
		b.measureOutput(now.Sub(j.firstAt).Seconds(), tokens)
	}
	p.retries = min(p.retryLimit(), p.retries+p.Policy.RetryRatio)
	p.suspects.clear(j.Fingerprint)
	delete(p.jobs, j.ID)
}

func (p *Pool) withdraw(now time.Time, id string) {
	j, ok := p.jobs[id]
	if !ok {
		return
	}
	if j.on != nil {
		delete(j.on.running, id)
		j.on.noteChange(now, -1)
	}
	p.queue.remove(j)
	delete(p.jobs, id)
}

func (p *Pool) reported(now time.Time, ev Reported) {
	b, ok := p.backends[ev.Endpoint]
	if !ok {
		return
	}
	b.report = ev.Load
	b.reportAt = now.Add(-p.Policy.ReportLag)
	b.leavingByReport = ev.Load.Leaving
}

// down pauses an endpoint; several attempts that break together count as one death.
func (p *Pool) down(now time.Time, name string) {
	b, ok := p.backends[name]
	if !ok || now.Before(b.downUntil) {
		return
	}
	pause := p.Policy.DownFor << min(b.deaths, 10)
	b.downUntil = now.Add(min(pause, p.Policy.MaxDownFor))
	b.deaths++
	b.prefixes.Purge()
}

func (p *Pool) leavingSeen(ev LeavingSeen) {
	if b, ok := p.backends[ev.Endpoint]; ok {
		b.leavingBySettings = ev.Leaving
	}
}

func (p *Pool) cacheSeen(ev CacheSeen) {
	b, ok := p.backends[ev.Endpoint]
	switch {
	case !ok:
	case ev.Dropped:
		b.prefixes.Remove(ev.Prefix)
	default:
		b.prefixes.Add(ev.Prefix, struct{}{})
	}
}
