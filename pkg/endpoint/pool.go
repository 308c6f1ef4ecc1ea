package endpoint

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// Pool assigns the requests of one router to endpoints.
//
// The zero value is ready to use. A Pool is not safe for concurrent use.
type Pool struct {
	Policy Policy

	backends      map[string]*backend
	serving       map[string]int // Number of endpoints by the models and services that they serve.
	started       bool           // Whether there have been endpoints; those that are added later have just started.
	startedAt     time.Time      // Time of the first event.
	handledAt     time.Time      // Time of the last event.
	suspendedAt   time.Time      // When this process was last suspended, as far as a time without events tells.
	caughtUpAt    time.Time      // When it has read what came meanwhile.
	ordered       []*backend     // The backends, sorted by name, so that decisions do not depend on map order.
	jobs          map[string]*job
	queue         queue
	suspects      suspects                  // Requests.
	parts         suspects                  // Parts of prompts.
	retries       map[string]*retryLog      // By model or service.
	unconfirmed   map[string][]*sentAttempt // Attempts that may still arrive, by endpoint, also if it is not configured any more.
	peers         int                       // Number of other routers that send to the same endpoints.
	maxPeers      int                       // Highest value of peers so far; a router that this one has lost contact with may still send.
	expectedPeers int                       // Number of other routers that may be running, whether this one has had contact with them or not.
	self          string                    // Name of this router; empty if the routers are not listed.
	routers       []string                  // Names of all routers that may send to the same endpoints.
	registered    registeredRouters
	pathLost      bool
	random        *rand.Rand
}

// Handle applies an event at time now and returns the actions to carry out.
func (p *Pool) Handle(now time.Time, ev Event) []Action {
	p.init(now)
	p.observeGap(now)
	switch ev := ev.(type) {
	case Configured:
		p.configure(now, ev.Endpoints)
		return p.dispatch(now)
	case Submitted:
		return p.submit(now, ev.Request)
	case Retried:
		return p.retry(now, ev.ID)
	case FirstToken:
		return p.recordFirstToken(now, ev.ID)
	case Ended:
		return p.endAttempt(now, ev)
	case Withdrawn:
		p.withdraw(now, ev.ID)
		return p.dispatch(now)
	case RoutersCounted:
		p.peers = max(0, ev.Routers-1)
		p.maxPeers = max(p.maxPeers, p.peers)
		return nil
	case Tick:
		p.suspects.expire(now)
		p.parts.expire(now)
		p.confirmOld(now)
		p.expireRetries(now)
		return slices.Concat(p.expireBrittle(now), p.reportColdChanges(now), p.reportPaceChanges(now), p.dispatch(now), p.shed(now))
	default:
		return p.handleUpdate(now, ev)
	}
}

// handleUpdate applies an event that carries information from endpoints, other routers or the settings.
func (p *Pool) handleUpdate(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case LoadReported:
		p.updateLoad(now, ev)
		return p.dispatch(now)
	case LeavingUpdated:
		p.updateLeaving(ev)
		return p.dispatch(now)
	case RoutersExpected:
		p.expectedPeers = ev.Routers - 1
		return nil
	case RoutersListed:
		return p.listRouters(now, ev)
	case RoutersRegistered:
		p.registerRouters(now, ev)
		return nil
	case CacheUpdated:
		p.updateCache(ev)
		return nil
	case SuspectReported:
		p.suspectsOf(ev.Suspect.Part).merge(now, ev.Suspect)
		return p.dispatch(now)
	case RetryBudgetChanged:
		p.Policy.RetryRatio = ev.RetryRatio
		p.Policy.FleetRetryReserve = ev.FleetRetryReserve
		return nil
	case SuspectCleared:
		p.suspectsOf(ev.Part).clear(ev.Fingerprint)
		return p.dispatch(now)
	default:
		return p.handleStatement(now, ev)
	}
}

// handleStatement applies an event that carries what an endpoint says about itself in an answer.
func (p *Pool) handleStatement(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case LeavingAnnounced:
		p.announceLeaving(ev.Endpoint)
		return p.dispatch(now)
	case RestRequested:
		p.rest(now, ev)
		return append(p.refuseResting(now), p.dispatch(now)...)
	case LimitReported:
		return p.updateLimit(now, ev)
	case BrittleReported:
		return p.updateBrittle(now, ev)
	case ColdReported:
		p.reportCold(now, ev)
		return nil
	case Answered:
		p.recordAnswer(now, ev.ID)
		return nil
	case CapacityRejected:
		p.recordRejection(now, ev.Endpoint)
		return nil
	default:
		return p.handleFailure(now, ev)
	}
}

// handleFailure applies an event that tells what failed at an endpoint or on the way there.
func (p *Pool) handleFailure(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case ConnectionRefused:
		p.recordDown(now, ev.Endpoint)
		return nil
	case PathLost:
		p.losePath(now, ev.Since)
		return nil
	case PathRestored:
		p.restorePath()
		return p.dispatch(now)
	case Crashed:
		p.recordDown(now, ev.Endpoint)
		return p.recordCrash(now, ev)
	default:
		return p.handleMove(now, ev)
	}
}

// MaySend reports whether an endpoint is configured and not leaving.
func (p *Pool) MaySend(name string) bool {
	b, ok := p.backends[name]
	return ok && !b.leaving()
}

// Serves reports whether a model or service has an endpoint that is not leaving.
func (p *Pool) Serves(service string) bool {
	if p.serving[service] == 0 {
		return false
	}
	for _, b := range p.backends {
		if b.serves(service) && !b.leaving() {
			return true
		}
	}
	return false
}

// suspectsOf returns the suspects among the parts of prompts or among the requests.
func (p *Pool) suspectsOf(part bool) *suspects {
	if part {
		return &p.parts
	}
	return &p.suspects
}

func (p *Pool) init(now time.Time) {
	if p.backends != nil {
		return
	}
	p.Policy = p.Policy.withDefaults()
	p.parts.limit = maxKnownGoodParts
	p.backends = map[string]*backend{}
	p.jobs = map[string]*job{}
	p.startedAt = now
	p.retries = map[string]*retryLog{}
	p.unconfirmed = map[string][]*sentAttempt{}
	p.random = rand.New(rand.NewPCG(p.Policy.Seed, p.Policy.Seed))
}

func (p *Pool) configure(now time.Time, endpoints []Endpoint) {
	configured := map[string]bool{}
	for _, e := range endpoints {
		configured[e.Name] = true
		if b, ok := p.backends[e.Name]; ok {
			b.describe(e)
			p.configureCold(now, b, false)
			continue
		}
		b := newBackend(e)
		if p.started {
			b.addedAt = now
		}
		p.presumeNew(now, b)
		p.configureCold(now, b, true)
		p.configurePace(now, b)
		p.backends[e.Name] = b
	}
	maps.DeleteFunc(p.backends, func(name string, _ *backend) bool { return !configured[name] })
	p.ordered = slices.SortedFunc(maps.Values(p.backends), func(a, b *backend) int { return strings.Compare(a.Name, b.Name) })
	p.serving = map[string]int{}
	for _, b := range p.backends {
		for _, name := range b.Serves {
			p.serving[name]++
		}
	}
	p.started = p.started || len(p.ordered) > 0
}

func (p *Pool) submit(now time.Time, r Request) []Action {
	if _, ok := p.jobs[r.ID]; ok {
		return nil
	}
	j := &job{Request: r, arrived: now, prefixHashes: prefixHashesOf(r.Parts), runs: r.Runs, arrivals: arrivals{service: r.Service, arrived: r.Arrived}}
	if kind, ok := p.unservable(now, j); ok {
		return []Action{j.refuse(kind, 0)}
	}
	if until, resting := p.allRest(now, j.selector()); resting {
		return []Action{j.refuse(refusal.Overloaded, p.returnAfter(now, until))}
	}
	switch {
	case !r.Arrived:
		p.retriesOf(r.Service).requests.add(now)
	case j.attemptsExhausted(p.Policy, j.runs), p.RetryBudget(now, r.Service).Exhausted():
		return []Action{j.refuse(refusal.NoEndpoint, 0)}
	default:
		p.decideRetry(j)
	}
	p.jobs[r.ID] = j
	p.queue.add(j)
	return append(p.dispatch(now), p.shedNew(now, r.ID)...)
}

// unservable reports whether a request cannot be served, and with which kind to refuse it.
func (p *Pool) unservable(now time.Time, j *job) (refusal.Kind, bool) {
	if p.blocked(now, &j.Request) {
		return refusal.Suspect, true
	}
	if len(p.queue.waiting) >= p.Policy.MaxQueue && !j.mayHaveRun {
		return refusal.Overloaded, true // One that may have run cannot turn to another router.
	}
	serving, notLeaving := 0, 0
	for _, b := range p.ordered {
		if !b.fits(j.selector()) {
			continue
		}
		serving++
		if !b.leaving() {
			notLeaving++
		}
	}
	switch {
	case serving == 0 && !j.VersionBound:
		return refusal.UnknownModel, true
	case notLeaving == 0:
		return refusal.NoEndpoint, true
	}
	return 0, false
}

func (p *Pool) retry(now time.Time, id string) []Action {
	j, ok := p.jobs[id]
	if !ok || j.target != nil {
		return nil
	}
	kind, refused := p.unservable(now, j)
	switch {
	case refused:
	case !j.Repeatable && j.mayHaveRun, j.attemptsExhausted(p.Policy, j.runs), p.RetryBudget(now, j.Service).Exhausted():
		kind = refusal.NoEndpoint
	default:
		p.decideRetry(j)
		p.queue.add(j)
		return append(p.dispatch(now), p.shedNew(now, id)...)
	}
	p.remove(j)
	return []Action{j.refuse(kind, 0)}
}

func (p *Pool) recordFirstToken(now time.Time, id string) []Action {
	j, ok := p.jobs[id]
	if !ok || j.target == nil || !j.firstTokenAt.IsZero() {
		return nil
	}
	p.recordAnswer(now, id)
	j.firstTokenAt = now
	j.begun = true
	j.bindVersion()
	p.observeFirstToken(now, j.target, j)
	if j.prefill >= minMeasuredPromptTokens && len(j.target.running) <= j.target.Slots {
		j.target.measurePrompt(now.Sub(j.sentAt).Seconds(), j.prefill)
	}
	j.target.recordPrompt(j)
	return p.recordResponded(now, id)
}

func (p *Pool) endAttempt(now time.Time, ev Ended) []Action {
	j, ok := p.jobs[ev.ID]
	if !ok || j.target == nil {
		return nil
	}
	p.releasePlace(now, j)
	b := j.target
	p.observeEnd(now, j, ev.Outcome)
	if ev.Outcome == Died || ev.Outcome == Silent || ev.Outcome == Rejected {
		p.saveHealth(now, b)
	}
	b.recordOutcome(ev.Outcome)
	delete(b.running, ev.ID)
	b.recordChange(now, -1)
	b.endBrittleAttempt(now, ev.Outcome)
	j.target = nil
	if ev.Outcome != Rejected {
		j.mayHaveRun = true
		j.runs++
	}
	switch ev.Outcome {
	case Finished, Incomplete, Rejected, Died:
		p.confirm(now, j.sent)
	}
	var actions []Action
	switch ev.Outcome {
	case Finished:
		p.finishRequest(now, j, b, ev.Tokens)
	case Died:
		p.eject(now, b.Name)
		if b.overloaded(now) {
			break
		}
		next := Suspicion{Fingerprint: j.Fingerprint, Until: now.Add(p.Policy.SuspicionTTL)}
		if suspicion, recorded := p.suspects.recordDeath(now, next); recorded {
			actions = append(actions, BroadcastSuspect{suspicion})
		}
	case Silent:
		b.recordSilence(now, p.Policy)
	case Incomplete:
		b.recoverFromSilence(now)
	case Rejected:
		b.ejectedUntil = now.Add(p.Policy.BaseEjectionTime)
	case Abandoned:
		p.remove(j)
	}
	return append(actions, p.dispatch(now)...)
}

func (p *Pool) finishRequest(now time.Time, j *job, b *backend, tokens int64) {
	p.confirmReceived(now, b.Name)
	b.deaths = 0
	b.ejectedUntil = time.Time{}
	p.forgetHealth(b)
	b.recoverFromSilence(now)
	if j.firstTokenAt.IsZero() {
		p.observeWholeAnswer(now, b, j, tokens)
		b.measureOutput(now.Sub(j.sentAt).Seconds(), max(1, tokens)) // The response was not streamed.
	} else {
		b.measureOutput(now.Sub(j.firstTokenAt).Seconds(), tokens)
	}
	p.suspects.clear(j.Fingerprint)
	if tokens > 0 {
		p.clearParts(&j.Request)
	}
	p.remove(j)
}

func (p *Pool) withdraw(now time.Time, id string) {
	j, ok := p.jobs[id]
	if !ok {
		return
	}
	p.releasePlace(now, j)
	if j.target != nil {
		delete(j.target.running, id)
		j.target.recordChange(now, -1)
	}
	p.remove(j)
}

// remove removes a job that is not in flight.
func (p *Pool) remove(j *job) {
	p.queue.remove(j)
	p.giveRetryBack(j)
	delete(p.jobs, j.ID)
}

func (p *Pool) updateLoad(now time.Time, ev LoadReported) {
	b, ok := p.backends[ev.Endpoint]
	if !ok {
		return
	}
	b.brittle.load = ev.Load
	b.brittle.loadAt = now
	b.report = ev.Load
	b.reportAt = now.Add(-p.Policy.ReportLag)
	b.leavingByReport = ev.Load.Leaving
}

// eject ejects an endpoint for a time that doubles with each death.
// It does nothing while the endpoint is ejected, so that several attempts that break together count as one death.
func (p *Pool) eject(now time.Time, name string) {
	b, ok := p.backends[name]
	if !ok || now.Before(b.ejectedUntil) {
		return
	}
	duration := p.Policy.BaseEjectionTime << min(b.deaths, 10)
	b.ejectedUntil = now.Add(min(duration, p.Policy.MaxEjectionTime))
	b.deaths++
	b.endSilence() // A connection that breaks is no silence.
	b.beginPace(b.ejectedUntil)
	b.prefixes = newPrefixes()
}

func (p *Pool) updateLeaving(ev LeavingUpdated) {
	if b, ok := p.backends[ev.Endpoint]; ok {
		b.leavingBySettings = ev.Leaving
	}
}

func (p *Pool) updateCache(ev CacheUpdated) {
	b, ok := p.backends[ev.Endpoint]
	switch {
	case !ok:
	case ev.Dropped:
		b.prefixes.Remove(ev.Prefix)
	default:
		b.prefixes.Add(ev.Prefix, struct{}{})
	}
}
