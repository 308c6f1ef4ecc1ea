package endpoint

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/internal/proof"
)

// Limits that the retries of the modelled fleet have to keep, and the margin by which its routers stay below them.
const (
	modelRatio  = 0.2
	modelSlack  = 52.0
	modelWindow = 10 * time.Second
	modelMargin = 0.8
)

// modelRouters is the number of routers of the modelled fleet.
const modelRouters = 6

// Times of the modelled fleet.
const (
	modelHop   = time.Millisecond       // From a router to an endpoint.
	modelPause = 500 * time.Millisecond // Between two searches for another endpoint.
	modelTick  = 100 * time.Millisecond // Between two ticks of a router.
)

// retryFleet is a model in virtual time of the routers of one fleet. It counts the arrivals at the endpoints.
type retryFleet struct {
	proof.VirtualTime

	random    *rand.Rand
	routers   []*modelRouter
	endpoints map[string]*modelEndpoint
	limits    RetryBudgetChanged
	stall     time.Duration            // Silence after which a request looks for another endpoint.
	timeout   time.Duration            // Time that a caller waits.
	rate      map[string]float64       // Requests per second at each router, by service.
	work      map[string]time.Duration // Mean time for which an endpoint works on a request, by service.
	failing   map[string]float64       // Share of the attempts that fail, by service.
	sent      map[string][]time.Time   // Requests of callers, by service.
	repeats   map[string][]time.Time   // Arrivals beyond the first of each request, by service.
	served    int
}

// modelRouter is one router with the requests that it serves.
type modelRouter struct {
	fleet *retryFleet
	name  string
	pool  *Pool
	jobs  map[string]*modelRequest
}

// modelRequest is a request of a caller.
type modelRequest struct {
	id       string
	service  string
	router   *modelRouter
	pool     *Pool // That of the router at the time of the request; a restart replaces the router's.
	attempt  int   // Number of the attempt in flight; earlier ones were aborted.
	arrivals int
	ended    bool
}

// modelEndpoint is an endpoint that reads nothing while it is paused, and then all that was sent to it.
type modelEndpoint struct {
	Endpoint

	pausedUntil time.Time
}

// newRetryFleet returns a fleet with nine endpoints of service m and three of service s, and no traffic.
func newRetryFleet(seed uint64) *retryFleet {
	f := &retryFleet{
		VirtualTime: proof.VirtualTime{Now: start},
		random:      rand.New(rand.NewPCG(seed, seed)),
		endpoints:   map[string]*modelEndpoint{},
		limits:      RetryBudgetChanged{RetryRatio: modelMargin * modelRatio, FleetRetryReserve: modelMargin * modelSlack},
		stall:       time.Second,
		timeout:     8 * time.Second,
		rate:        map[string]float64{},
		work:        map[string]time.Duration{"m": 400 * time.Millisecond, "s": 100 * time.Millisecond},
		failing:     map[string]float64{},
		sent:        map[string][]time.Time{},
		repeats:     map[string][]time.Time{},
	}
	for i := range 12 {
		e := Endpoint{Name: fmt.Sprint("m", i), Serves: []string{"m"}, Slots: 256}
		if i >= 9 {
			e = Endpoint{Name: fmt.Sprint("s", i-9), Serves: []string{"s"}, Slots: 256}
		}
		f.endpoints[e.Name] = &modelEndpoint{Endpoint: e}
	}
	for i := range modelRouters {
		r := &modelRouter{fleet: f, name: fmt.Sprint("r", i)}
		f.routers = append(f.routers, r)
		r.start()
		r.count(modelRouters)
		r.tick()
	}
	return f
}

// pause stops an endpoint for a time, unless it is paused already.
func (f *retryFleet) pause(name string, d time.Duration) {
	if e := f.endpoints[name]; !f.Now.Before(e.pausedUntil) {
		e.pausedUntil = f.Now.Add(d)
	}
}

// start begins a new process with an empty pool; the requests of the one before are lost.
func (r *modelRouter) start() {
	f := r.fleet
	f.Sequence++
	r.pool = &Pool{Policy: Policy{
		Seed: uint64(f.Sequence), RetryRatio: f.limits.RetryRatio, FleetRetryReserve: f.limits.FleetRetryReserve,
		BaseEjectionTime: 500 * time.Millisecond, MaxEjectionTime: 4 * time.Second, MaxQueue: 1024,
	}}
	r.jobs = map[string]*modelRequest{}
	var all []Endpoint
	for i := range 12 {
		name := fmt.Sprint("m", i)
		if i >= 9 {
			name = fmt.Sprint("s", i-9)
		}
		all = append(all, f.endpoints[name].Endpoint)
	}
	r.handle(Configured{all})
}

// count tells the router how many of the routers it is in contact with, itself included.
func (r *modelRouter) count(n int) { r.handle(RoutersCounted{n}) }

// tick submits the requests of the time since the last tick.
func (r *modelRouter) tick() {
	f := r.fleet
	r.handle(Tick{})
	for _, service := range []string{"m", "s"} {
		expected := f.rate[service] * modelTick.Seconds()
		for expected > 0 {
			if f.random.Float64() < expected {
				f.After(time.Duration(f.random.Int64N(int64(modelTick))), func() { r.submit(service) })
			}
			expected--
		}
	}
	f.After(modelTick, r.tick)
}

func (r *modelRouter) submit(service string) {
	f := r.fleet
	f.Sequence++
	f.sent[service] = append(f.sent[service], f.Now)
	x := &modelRequest{id: fmt.Sprint(f.Sequence), service: service, router: r, pool: r.pool}
	r.jobs[x.id] = x
	f.After(f.timeout, func() {
		if x.ended {
			return
		}
		x.end()
		x.handle(Withdrawn{x.id})
	})
	r.handle(Submitted{Request{ID: x.id, Service: service, OutputTokens: 1, Fingerprint: uint64(f.Sequence), Deadline: f.Now.Add(f.timeout), Repeatable: true, MaxAttempts: 3}})
}

// handle passes an event to the pool and carries out its actions.
func (r *modelRouter) handle(ev Event) {
	for _, action := range r.pool.Handle(r.fleet.Now, ev) {
		switch action := action.(type) {
		case Send:
			r.jobs[action.ID].send(action.Endpoint)
		case Refuse:
			r.jobs[action.ID].end()
		case Reserved:
			x := r.jobs[action.Place.ID]
			r.handle(Moved{x.id, Silent})
			x.send(action.Place.Endpoint)
		}
	}
}

func (x *modelRequest) end() {
	x.ended = true
	x.attempt++
	delete(x.router.jobs, x.id)
}

// handle passes an event of the request to the pool, unless the router has restarted.
func (x *modelRequest) handle(ev Event) {
	if x.pool == x.router.pool {
		x.router.handle(ev)
	}
}

// current reports whether an attempt is in flight still.
func (x *modelRequest) current(attempt int) bool {
	return !x.ended && x.attempt == attempt && x.pool == x.router.pool
}

// send starts an attempt.
func (x *modelRequest) send(name string) {
	f := x.router.fleet
	x.attempt++
	attempt := x.attempt
	e := f.endpoints[name]
	f.After(modelHop, func() { f.whenAwake(e, func() { x.arrive(e, attempt) }) })
	f.After(f.stall, func() { x.search(attempt) })
}

// whenAwake calls a function once an endpoint is not paused.
func (f *retryFleet) whenAwake(e *modelEndpoint, run func()) {
	if f.Now.Before(e.pausedUntil) {
		f.After(e.pausedUntil.Sub(f.Now), func() { f.whenAwake(e, run) })
		return
	}
	run()
}

// search looks for another place for an attempt whose endpoint is silent.
func (x *modelRequest) search(attempt int) {
	f := x.router.fleet
	if !x.current(attempt) {
		return
	}
	x.handle(MoveRequested{x.id})
	f.After(modelPause, func() { x.search(attempt) })
}

// arrive lets an endpoint read an attempt, whose connection may have been closed meanwhile.
func (x *modelRequest) arrive(e *modelEndpoint, attempt int) {
	f := x.router.fleet
	x.arrivals++
	if x.arrivals > 1 {
		f.repeats[x.service] = append(f.repeats[x.service], f.Now)
	}
	if !x.current(attempt) {
		return
	}
	work := time.Duration((0.5 + f.random.Float64()) * float64(f.work[x.service]))
	fails := f.random.Float64() < f.failing[x.service]
	f.After(work, func() { f.whenAwake(e, func() { x.answer(attempt, fails) }) })
}

// answer ends an attempt with an answer of its endpoint.
func (x *modelRequest) answer(attempt int, fails bool) {
	f := x.router.fleet
	if !x.current(attempt) {
		return
	}
	x.handle(Answered{x.id})
	if fails {
		x.handle(Ended{ID: x.id, Outcome: Incomplete})
		x.handle(Retried{x.id})
		return
	}
	f.served++
	x.end()
	x.handle(Ended{ID: x.id, Outcome: Finished, Tokens: 1})
}

// countBetween returns how many of the times, oldest first, are in a window that begins at a time.
func countBetween(times []time.Time, begin time.Time, d time.Duration) int {
	n := 0
	for _, t := range times {
		if !t.Before(begin) && t.Before(begin.Add(d)) {
			n++
		}
	}
	return n
}

// worstWindow returns the window of a service in which the repeats come closest to their limit or exceed it most.
func (f *retryFleet) worstWindow(service string) (at time.Duration, repeats int, limit float64) {
	for i, begin := range f.repeats[service] {
		if i > 0 && begin.Equal(f.repeats[service][i-1]) {
			continue
		}
		n := countBetween(f.repeats[service][i:], begin, modelWindow)
		if repeats > 0 && float64(n) <= modelSlack {
			continue
		}
		requests := 0
		for _, earlier := range []time.Duration{0, modelWindow / 2, modelWindow} {
			requests = max(requests, countBetween(f.sent[service], begin.Add(-earlier), modelWindow))
		}
		allowed := modelRatio*float64(requests) + modelSlack
		if repeats == 0 || float64(n)-allowed > float64(repeats)-limit {
			at, repeats, limit = begin.Sub(start), n, allowed
		}
	}
	return at, repeats, limit
}

// requireRetriesWithinLimits checks each window of each service.
func (f *retryFleet) requireRetriesWithinLimits(t *testing.T) {
	t.Helper()
	for _, service := range []string{"m", "s"} {
		at, repeats, limit := f.worstWindow(service)
		t.Logf("service %s: %d requests, %d repeats, in the worst window (from %s) %d of %.0f allowed", service, len(f.sent[service]), len(f.repeats[service]), at, repeats, limit)
		require.LessOrEqual(t, float64(repeats), limit, "service %s, window from %s", service, at)
	}
	t.Logf("%d served", f.served)
}
