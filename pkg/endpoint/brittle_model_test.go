package endpoint

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/foxtaillanding/foxtaillanding/internal/proof"
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
	proof.VirtualTime

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
	f := &brittleFleet{brittleCase: c, VirtualTime: proof.VirtualTime{Now: start}, random: rand.New(rand.NewPCG(9, uint64(c.routers))), endpoints: map[string]*brittleEndpoint{}, requests: map[string]*brittleRequest{}}
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
	p.Handle(f.Now, Configured{f.configured("")})
	p.Handle(f.Now, RoutersCounted{Routers: f.routers})
	p.Handle(f.Now, RoutersListed{Self: f.names[n], Routers: slices.Clone(f.names)})
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
		f.After(time.Duration(f.random.Int64N(int64(newsPeriod))), func() { f.exchangeNews(n) })
	}
	f.tick()
	if f.joins {
		f.After(5*time.Second, f.restartRouter)
	}
	for f.Next(start.Add(f.length + drainTime)) {
	}
}

func (f *brittleFleet) arrive() {
	if f.Now.Sub(start) > f.length {
		return
	}
	load := 0.5
	if f.Now.Sub(start)%(3*time.Second) >= 2*time.Second {
		load = 1.5
	}
	f.After(seconds(f.random.ExpFloat64()/f.capacity()/load), f.arrive)
	f.offered++
	req := &brittleRequest{id: fmt.Sprint(f.offered), router: f.random.IntN(f.routers)}
	if f.hot && f.random.IntN(2) == 0 {
		req.router = 0
	}
	f.requests[req.id] = req
	r := Request{ID: req.id, Service: "m", OutputTokens: 1, Deadline: f.Now.Add(2 * time.Second), Fingerprint: uint64(f.offered), Repeatable: true}
	f.handle(req.router, Submitted{r})
}

func (f *brittleFleet) tick() {
	for n, p := range f.pools {
		if p.Waiting() > 0 {
			f.handle(n, Tick{})
		}
	}
	f.After(100*time.Millisecond, f.tick)
}

// exchangeNews lets a router and a random other one tell each other what they know.
func (f *brittleFleet) exchangeNews(n int) {
	f.After(newsPeriod, func() { f.exchangeNews(n) })
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
	reports := f.pools[n].BrittleReports(f.Now)
	f.random.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
	return reports[:min(len(reports), newsPerMessage)]
}

// restartRouter starts a router again, without what it knew and without its requests.
func (f *brittleFleet) restartRouter() {
	n := f.random.IntN(f.routers)
	f.pools[n] = f.newRouter(n)
	f.After(3*time.Second, f.restartRouter)
}

func (f *brittleFleet) handle(n int, ev Event) {
	for _, action := range f.pools[n].Handle(f.Now, ev) {
		switch action := action.(type) {
		case Send:
			req := f.requests[action.ID]
			req.at = f.endpoints[action.Endpoint]
			f.After(f.delay(), func() { f.receive(req) })
		case Refuse:
			f.refused++
		}
	}
}

// head passes on what the head of an answer says.
func (f *brittleFleet) head(req *brittleRequest, load Load, turnedAway bool) {
	f.handle(req.router, BrittleReported{Endpoint: req.at.name, Tolerated: f.tolerated, At: f.Now})
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
	if f.Now.Sub(start) > queueShrinksAt {
		limit = queueAfter
	}
	switch {
	case e.down:
		f.After(f.delay(), func() {
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
	e.rejections = addTime(e.rejections, f.Now, time.Second)
	f.After(f.delay(), func() {
		f.head(req, load, true)
		f.end(req, Rejected)
	})
	if len(e.rejections) > f.tolerated && f.Now.Sub(start) > queueShrinksAt {
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
	f.After(prefill+f.delay(), func() {
		if e.epoch == epoch {
			f.head(req, Load{Running: e.running, Waiting: len(e.waiting)}, false)
			f.handle(req.router, FirstToken{req.id})
		}
	})
	f.After(prefill+seconds(f.service.Seconds()*f.random.ExpFloat64()*0.9)+11*time.Millisecond, func() {
		if e.epoch != epoch {
			return
		}
		e.running--
		delete(e.inFlight, req)
		f.served++
		f.After(f.delay(), func() { f.end(req, Finished) })
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
		f.After(f.delay(), func() { f.end(req, Died) })
	}
	f.After(downTime, func() {
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
