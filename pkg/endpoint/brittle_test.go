package endpoint

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// brittleEndpoint runs a request in each slot, queues a few and rejects the others. If it rejects too many within a
// second, it crashes and comes back later.
type brittleEndpoint struct {
	name       string
	running    int
	waiting    []*brittleRequest
	inFlight   map[*brittleRequest]bool
	rejections []time.Time // Of the last second.
	down       bool
	falls      int
	epoch      int // Incremented by each fall, to cancel the timers set before it.
}

type brittleRequest struct {
	id     string
	router int
	at     *brittleEndpoint
}

// brittleFleet is a fleet of routers before endpoints that are brittle from the start and queue less from queueShrinksAt on.
type brittleFleet struct {
	brittleCase

	now       time.Time
	heap      timerHeap
	seq       int
	random    *rand.Rand
	pools     []*Pool
	names     []string
	endpoints map[string]*brittleEndpoint
	requests  map[string]*brittleRequest
	offered   int
	served    int
	refused   int
	rejected  int
}

// brittleCase is one setup of a brittleFleet.
type brittleCase struct {
	routers   int
	endpoints int
	slots     int
	service   time.Duration // Mean time for which a request occupies a slot.
	tolerated int           // Rejections within a second that an endpoint bears.
	hot       bool          // One router gets as many requests as all others together.
	joins     bool          // Routers restart and know nothing then.
	silent    bool          // The endpoints tell no load.
	length    time.Duration // Of the load; zero means brittleEnd.
}

func (c brittleCase) String() string {
	return fmt.Sprintf("%d routers, %d endpoints x %d slots, %v, N %d, hot %v, joins %v, silent %v", c.routers, c.endpoints, c.slots, c.service, c.tolerated, c.hot, c.joins, c.silent)
}

// Times and sizes of the model.
const (
	queueShrinksAt = 3 * time.Second
	brittleEnd     = 15 * time.Second
	queueBefore    = 16
	queueAfter     = 1
	drainTime      = 3 * time.Second // Without new requests, at the end.
	downTime       = 4 * time.Second
	newsPerMessage = 64
	newsPeriod     = 500 * time.Millisecond
)

func newBrittleFleet(c brittleCase) *brittleFleet {
	c.length = cmp.Or(c.length, brittleEnd)
	f := &brittleFleet{brittleCase: c, now: start, random: rand.New(rand.NewPCG(9, uint64(c.routers))), endpoints: map[string]*brittleEndpoint{}, requests: map[string]*brittleRequest{}}
	for n := range c.endpoints {
		name := fmt.Sprintf("e-%03d", n)
		f.endpoints[name] = &brittleEndpoint{name: name, inFlight: map[*brittleRequest]bool{}}
	}
	for n := range c.routers {
		f.names = append(f.names, fmt.Sprintf("vm-%03d", n))
	}
	for n := range c.routers {
		f.pools = append(f.pools, f.newRouter(n))
	}
	return f
}

func (f *brittleFleet) newRouter(n int) *Pool {
	p := &Pool{Policy: Policy{Seed: uint64(n + 1), ReportLag: time.Millisecond}}
	p.Handle(f.now, Configured{f.configured("")})
	p.Handle(f.now, RoutersCounted{Routers: f.routers})
	p.Handle(f.now, RoutersListed{Self: f.names[n], Routers: slices.Clone(f.names)})
	return p
}

// configured returns the endpoints in a fixed order, without one of them.
func (f *brittleFleet) configured(without string) []Endpoint {
	var list []Endpoint
	for n := range f.brittleCase.endpoints {
		name := fmt.Sprintf("e-%03d", n)
		if name != without {
			list = append(list, Endpoint{Name: name, Serves: []string{"m"}, Slots: f.slots, TokensPerSecond: 1 / f.service.Seconds()})
		}
	}
	return list
}

func (f *brittleFleet) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.heap, timer{f.now.Add(d), f.seq, run})
}

// delay is the time that a message takes.
func (f *brittleFleet) delay() time.Duration {
	return time.Millisecond + time.Duration(f.random.Int64N(int64(10*time.Millisecond)))
}

// capacity returns the requests per second that the slots can serve.
func (f *brittleFleet) capacity() float64 {
	return float64(f.brittleCase.endpoints*f.slots) / f.service.Seconds()
}

// run offers a load that alternates between a part of the capacity and more than it, in bursts.
func (f *brittleFleet) run() {
	f.arrive()
	for n := range f.pools {
		f.after(time.Duration(f.random.Int64N(int64(newsPeriod))), func() { f.exchangeNews(n) })
	}
	f.tick()
	if f.joins {
		f.after(5*time.Second, f.restartRouter)
	}
	for len(f.heap) > 0 && f.heap[0].at.Before(start.Add(f.length+drainTime)) {
		next := heap.Pop(&f.heap).(timer)
		f.now = next.at
		next.run()
	}
}

func (f *brittleFleet) arrive() {
	if f.now.Sub(start) > f.length {
		return
	}
	load := 0.5
	if f.now.Sub(start)%(3*time.Second) >= 2*time.Second {
		load = 1.5
	}
	f.after(seconds(f.random.ExpFloat64()/f.capacity()/load), f.arrive)
	f.offered++
	req := &brittleRequest{id: fmt.Sprint(f.offered), router: f.random.IntN(f.routers)}
	if f.hot && f.random.IntN(2) == 0 {
		req.router = 0
	}
	f.requests[req.id] = req
	r := Request{ID: req.id, Service: "m", OutputTokens: 1, Deadline: f.now.Add(2 * time.Second), Fingerprint: uint64(f.offered), Repeatable: true}
	f.handle(req.router, Submitted{r})
}

func (f *brittleFleet) tick() {
	for n, p := range f.pools {
		if p.Waiting() > 0 {
			f.handle(n, Tick{})
		}
	}
	f.after(100*time.Millisecond, f.tick)
}

// exchangeNews lets a router and a random other one tell each other what they know.
func (f *brittleFleet) exchangeNews(n int) {
	f.after(newsPeriod, func() { f.exchangeNews(n) })
	other := f.random.IntN(f.routers)
	told, heard := f.newsOf(n), f.newsOf(other)
	for _, r := range told {
		f.handle(other, r)
	}
	for _, r := range heard {
		f.handle(n, r)
	}
}

// newsOf returns what one message of a router has room for.
func (f *brittleFleet) newsOf(n int) []BrittleReported {
	reports := f.pools[n].BrittleReports(f.now)
	f.random.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
	return reports[:min(len(reports), newsPerMessage)]
}

// restartRouter starts a router again, without what it knew and without its requests.
func (f *brittleFleet) restartRouter() {
	n := f.random.IntN(f.routers)
	f.pools[n] = f.newRouter(n)
	f.after(3*time.Second, f.restartRouter)
}

func (f *brittleFleet) handle(n int, ev Event) {
	for _, action := range f.pools[n].Handle(f.now, ev) {
		switch action := action.(type) {
		case Send:
			req := f.requests[action.ID]
			req.at = f.endpoints[action.Endpoint]
			f.after(f.delay(), func() { f.receive(req) })
		case Refuse:
			f.refused++
		}
	}
}

// head passes on what the head of an answer says.
func (f *brittleFleet) head(req *brittleRequest, load Load, turnedAway bool) {
	f.handle(req.router, BrittleReported{Endpoint: req.at.name, Tolerated: f.tolerated, At: f.now})
	if turnedAway {
		f.handle(req.router, CapacityRejected{Endpoint: req.at.name})
	}
	if !f.silent {
		f.handle(req.router, LoadReported{Endpoint: req.at.name, Load: load})
	}
}

// receive lets an endpoint take a request or reject it.
func (f *brittleFleet) receive(req *brittleRequest) {
	e := req.at
	limit := queueBefore
	if f.now.Sub(start) > queueShrinksAt {
		limit = queueAfter
	}
	switch {
	case e.down:
		f.after(f.delay(), func() {
			f.handle(req.router, ConnectionRefused{Endpoint: e.name})
			f.end(req, Rejected)
		})
	case e.running < f.slots:
		f.start(req)
	case len(e.waiting) < limit:
		e.waiting = append(e.waiting, req)
		e.inFlight[req] = true
	default:
		f.reject(req)
	}
}

func (f *brittleFleet) reject(req *brittleRequest) {
	e := req.at
	f.rejected++
	load := Load{Running: e.running, Waiting: len(e.waiting)}
	e.rejections = addTime(e.rejections, f.now, time.Second)
	f.after(f.delay(), func() {
		f.head(req, load, true)
		f.end(req, Rejected)
	})
	if len(e.rejections) > f.tolerated && f.now.Sub(start) > queueShrinksAt {
		f.fall(e)
	}
}

// end ends an attempt, and retries the request.
func (f *brittleFleet) end(req *brittleRequest, outcome Outcome) {
	f.handle(req.router, Ended{req.id, outcome, 1})
	if outcome != Finished {
		f.handle(req.router, Retried{req.id})
	}
}

func (f *brittleFleet) start(req *brittleRequest) {
	e := req.at
	e.running++
	e.inFlight[req] = true
	epoch := e.epoch
	prefill := f.service / 10
	f.after(prefill+f.delay(), func() {
		if e.epoch == epoch {
			f.head(req, Load{Running: e.running, Waiting: len(e.waiting)}, false)
			f.handle(req.router, FirstToken{req.id})
		}
	})
	f.after(prefill+seconds(f.service.Seconds()*f.random.ExpFloat64()*0.9)+11*time.Millisecond, func() {
		if e.epoch != epoch {
			return
		}
		e.running--
		delete(e.inFlight, req)
		f.served++
		f.after(f.delay(), func() { f.end(req, Finished) })
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			f.start(next)
		}
	})
}

// fall crashes an endpoint, which starts again as a new process.
func (f *brittleFleet) fall(e *brittleEndpoint) {
	e.falls++
	e.epoch++
	e.down = true
	broken := e.inFlight
	*e = brittleEndpoint{name: e.name, inFlight: map[*brittleRequest]bool{}, down: true, falls: e.falls, epoch: e.epoch}
	ids := make([]*brittleRequest, 0, len(broken))
	for req := range broken {
		ids = append(ids, req)
	}
	slices.SortFunc(ids, func(x, y *brittleRequest) int { return cmp.Compare(x.id, y.id) })
	for _, req := range ids {
		f.after(f.delay(), func() { f.end(req, Died) })
	}
	f.after(downTime, func() {
		e.down = false
		for n := range f.pools {
			f.handle(n, Configured{f.configured(e.name)})
			f.handle(n, Configured{f.configured("")})
		}
	})
}

func (f *brittleFleet) falls() int {
	n := 0
	for _, e := range f.endpoints {
		n += e.falls
	}
	return n
}

var brittleCases = []brittleCase{
	{routers: 1, endpoints: 3, slots: 6, service: 80 * time.Millisecond, tolerated: 1},
	{routers: 1, endpoints: 9, slots: 64, service: 2 * time.Second, tolerated: 5},
	{routers: 6, endpoints: 3, slots: 6, service: 80 * time.Millisecond, tolerated: 2},
	{routers: 6, endpoints: 3, slots: 6, service: 80 * time.Millisecond, tolerated: 8, hot: true},
	{routers: 6, endpoints: 9, slots: 64, service: 2 * time.Second, tolerated: 1},
	{routers: 6, endpoints: 9, slots: 64, service: 2 * time.Second, tolerated: 6, hot: true},
	{routers: 6, endpoints: 9, slots: 64, service: 2 * time.Second, tolerated: 10, joins: true},
	{routers: 73, endpoints: 18, slots: 64, service: 2 * time.Second, tolerated: 2},
	{routers: 73, endpoints: 18, slots: 64, service: 2 * time.Second, tolerated: 20, joins: true},
	{routers: 6, endpoints: 9, slots: 64, service: 2 * time.Second, tolerated: 1, silent: true},
	{routers: 73, endpoints: 18, slots: 64, service: 2 * time.Second, tolerated: 2, silent: true},
	{routers: 73, endpoints: 18, slots: 64, service: 2 * time.Second, tolerated: 20, silent: true},
	{routers: 295, endpoints: 3, slots: 64, service: time.Second, tolerated: 1},
	{routers: 295, endpoints: 32, slots: 16, service: time.Second, tolerated: 2, length: 9 * time.Second},
	{routers: 73, endpoints: 256, slots: 4, service: time.Second, tolerated: 2, length: 6 * time.Second},
}

// TestBrittleEndpointsDoNotFall offers bursts above the capacity of brittle endpoints.
//
// Routers that send each of them what they think it has room for, and retry elsewhere, bring them down one after the other.
func TestBrittleEndpointsDoNotFall(t *testing.T) {
	for _, c := range brittleCases {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			f := newBrittleFleet(c)
			f.run()
			t.Logf("%d falls, %d rejections; served %d of %d offered, refused %d; capacity %.0f",
				f.falls(), f.rejected, f.served, f.offered, f.refused, f.capacity()*f.length.Seconds())
			require.LessOrEqual(t, f.falls(), 2+c.endpoints/10)
			if slots := c.endpoints * c.slots; !c.silent && (2*c.routers <= slots || c.routers < 10) {
				require.GreaterOrEqual(t, float64(f.served), minServed*float64(f.offered))
			}
		})
	}
}

// minServed is the least share of the offered requests that is served, although a third of them arrives in bursts of one and
// a half times the capacity.
const minServed = 0.75

// oneBrittle returns a pool with two endpoints, one of which is known to bear a number of rejections.
func oneBrittle(routers, tolerated int) *Pool {
	p := &Pool{}
	var names []string
	for n := range routers {
		names = append(names, fmt.Sprintf("vm-%03d", n))
	}
	p.Handle(start, Configured{[]Endpoint{{Name: "a", Serves: []string{"m"}, Slots: 8}, {Name: "b", Serves: []string{"other"}, Slots: 8}}})
	p.Handle(start, RoutersCounted{Routers: routers})
	p.Handle(start, RoutersListed{Self: names[0], Routers: names})
	p.Handle(start, BrittleReported{Endpoint: "a", Tolerated: tolerated, At: start})
	return p
}

// TestQuotasOfAllRoutersAreWhatABrittleEndpointBears guards against routers that each risk what all may.
func TestQuotasOfAllRoutersAreWhatABrittleEndpointBears(t *testing.T) {
	for _, routers := range []int{1, 6, 73, 295} {
		for _, tolerated := range []int{1, 2, 7, 100, 1000} {
			f := newBrittleFleet(brittleCase{routers: routers, endpoints: 2, slots: 64, service: time.Second})
			sum := 0
			for _, p := range f.pools {
				p.Handle(start, BrittleReported{Endpoint: "e-000", Tolerated: tolerated, At: start})
				sum += p.backends["e-000"].brittle.quota
			}
			require.LessOrEqual(t, sum, tolerated, "%d routers", routers)
			require.Greater(t, 2*sum, tolerated-2, "%d routers", routers)
		}
	}
}

// TestRejectedRouterSendsNothingMoreThanTheEndpointBears lets a brittle endpoint reject everything at once.
func TestRejectedRouterSendsNothingMoreThanTheEndpointBears(t *testing.T) {
	for _, routers := range []int{1, 6, 295} {
		const tolerated = 2
		f := newBrittleFleet(brittleCase{routers: routers, endpoints: 1, slots: 64, service: time.Second})
		var rejections []time.Time
		for at := time.Duration(0); at < 10*time.Second; at += 50 * time.Millisecond {
			now := start.Add(at)
			for n, p := range f.pools {
				p.Handle(now, BrittleReported{Endpoint: "e-000", Tolerated: tolerated, At: now})
				id := fmt.Sprint(n, at)
				for _, action := range p.Handle(now, Submitted{Request{ID: id, Service: "m", OutputTokens: 1, Deadline: now.Add(20 * time.Millisecond), Repeatable: true}}) {
					if _, ok := action.(Send); !ok {
						continue
					}
					rejections = append(rejections, now)
					p.Handle(now, CapacityRejected{Endpoint: "e-000"})
					p.Handle(now, LoadReported{Endpoint: "e-000", Load: Load{Running: 64}})
					p.Handle(now, Ended{ID: id, Outcome: Rejected})
				}
				p.Handle(now, Withdrawn{id})
			}
		}
		slices.SortFunc(rejections, time.Time.Compare)
		broken := 0
		for i, at := range rejections {
			if i >= tolerated && at.Sub(rejections[i-tolerated]) < time.Second {
				broken++
			}
		}
		require.LessOrEqual(t, broken, 2, "%d routers: %v", routers, rejections)
		require.NotEmpty(t, rejections, "%d routers", routers)
	}
}

// TestBrittlenessEnds lets an answer say so, lets other routers tell so, lets no answer confirm it, and restarts the endpoint.
func TestBrittlenessEnds(t *testing.T) {
	later := start.Add(time.Second)
	p := oneBrittle(6, 12)
	require.Equal(t, []BrittleReported{{Endpoint: "a", Tolerated: 12, At: start}}, p.BrittleReports(start))
	ended := p.Handle(later, BrittleReported{Endpoint: "a", At: later})
	require.Equal(t, []Action{BrittleChanged{Endpoint: "a", Before: 12, Age: time.Second}}, ended)
	require.Empty(t, p.Handle(later, BrittleReported{Endpoint: "a", Tolerated: 12, At: start}), "older than what is known")
	require.Len(t, p.BrittleReports(later), 1, "other routers are told that it has ended")
	require.Empty(t, p.BrittleReports(later.Add(brittleRetention+1)))

	p = oneBrittle(6, 12)
	require.Empty(t, p.Handle(start.Add(brittleTTL), Tick{}))
	require.Len(t, p.Handle(start.Add(brittleTTL+1), Tick{}), 1)

	p = oneBrittle(6, 12)
	p.Handle(later, Configured{[]Endpoint{{Name: "b", Serves: []string{"other"}, Slots: 8}}})
	p.Handle(later, Configured{[]Endpoint{{Name: "a", Serves: []string{"m"}, Slots: 8}, {Name: "b", Serves: []string{"other"}, Slots: 8}}})
	require.Empty(t, p.Handle(later, BrittleReported{Endpoint: "a", Tolerated: 12, At: start}), "of the process before")
	require.False(t, p.backends["a"].brittle.active())
	require.Len(t, p.Handle(later, BrittleReported{Endpoint: "a", Tolerated: 12, At: later}), 1)
}

// TestEndpointsOfABrittleServiceArePresumedBrittle until an answer says what they are, also one that starts later.
func TestEndpointsOfABrittleServiceArePresumedBrittle(t *testing.T) {
	var p Pool
	endpoints := []Endpoint{{Name: "a", Serves: []string{"m"}, Slots: 8}, {Name: "b", Serves: []string{"m"}, Slots: 8}, {Name: "c", Serves: []string{"other"}, Slots: 8}}
	p.Handle(start, Configured{endpoints})
	changes := p.Handle(start, BrittleReported{Endpoint: "a", Tolerated: 3, At: start})
	require.Equal(t, []Action{BrittleChanged{Endpoint: "a", Now: 3, Share: 3}, BrittleChanged{Endpoint: "b", Now: 3, Share: 3, Presumed: true}}, changes)
	require.Len(t, p.BrittleReports(start), 1, "what is presumed is not told")
	require.Len(t, p.Handle(start, BrittleReported{Endpoint: "b", At: start}), 1, "an answer ends it")
	later := start.Add(time.Second)
	require.Empty(t, p.Handle(later, BrittleReported{Endpoint: "a", Tolerated: 3, At: later}), "once")
	p.Handle(later, Configured{append(endpoints, Endpoint{Name: "d", Serves: []string{"m"}, Slots: 8})})
	require.True(t, p.backends["d"].brittle.presumed)
	p.Handle(later, BrittleReported{Endpoint: "d", Tolerated: 0, At: later})
	require.False(t, p.backends["d"].brittle.active())
}

// TestRequestsWithoutRoomAtBrittleEndpointsAreRefusedAtOnce when this router has no turn before their deadline.
func TestRequestsWithoutRoomAtBrittleEndpointsAreRefusedAtOnce(t *testing.T) {
	p := oneBrittle(295, 1)
	require.Zero(t, p.backends["a"].brittle.quota)
	p.Handle(start, CapacityRejected{Endpoint: "a"})
	now := start.Add(time.Second)
	r := Request{ID: "1", Service: "m", OutputTokens: 1, Deadline: now.Add(time.Second), Repeatable: true}
	refused := p.Handle(now, Submitted{r})[0].(Refuse)
	require.Greater(t, refused.RetryAfter, 20*time.Second, "the router rests")
	require.LessOrEqual(t, refused.RetryAfter, maxBrittleRest)
}

// TestOverloadAccusesNobody lets a brittle endpoint die after it had rejected requests, and without that.
func TestOverloadAccusesNobody(t *testing.T) {
	for name, c := range map[string]struct {
		tolerated int
		turned    BrittleReported
		accused   bool
	}{
		"after a rejection here":           {3, BrittleReported{RejectedAt: start}, false},
		"after a rejection long ago":       {3, BrittleReported{RejectedAt: start.Add(-time.Minute)}, true},
		"without rejections":               {3, BrittleReported{}, true},
		"sound endpoint after a rejection": {0, BrittleReported{RejectedAt: start}, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := oneBrittle(6, c.tolerated)
			parts := []Part{{ID: 1, Tokens: 1}, {ID: 2, Tokens: 1}}
			p.Handle(start, BrittleReported{Endpoint: "a", Tolerated: c.tolerated, At: start, RejectedAt: c.turned.RejectedAt})
			p.jobs["1"] = &job{Request: Request{ID: "1", Service: "m", Fingerprint: 9, Parts: parts, Repeatable: true}, prefixHashes: prefixHashesOf(parts)}
			p.send(start, p.jobs["1"], p.backends["a"])
			now := start.Add(time.Second)
			p.Handle(now, Ended{ID: "1", Outcome: Died})
			p.Handle(now, Crashed{Endpoint: "a", Parts: parts})
			if c.accused {
				require.Len(t, p.Suspicions(), 2)
			} else {
				require.Empty(t, p.Suspicions())
			}
		})
	}
}
