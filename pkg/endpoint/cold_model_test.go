package endpoint

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/foxtaillanding/foxtaillanding/internal/proof"
)

// coldServer runs a request in each slot and queues the others. While it is down, its address refuses connections.
type coldServer struct {
	name      string
	running   int
	waiting   []*coldRequest
	inFlight  map[*coldRequest]bool
	down      bool
	epoch     int // Incremented by each start, to cancel the timers set before it.
	startedAt time.Time
	coldUntil time.Time
	arrivals  []time.Time // While it was cold.
}

type coldRequest struct {
	id     string
	router int
	at     *coldServer
}

// coldCase is one setup of a coldFleet.
type coldCase struct {
	name       string
	routers    int
	endpoints  int
	failing    int           // Endpoints that fail together.
	perSecond  float64       // Requests of the whole fleet.
	event      string        // What happens to them: "restart", "evacuation" or "cold again".
	downFor    time.Duration // Time until they return.
	cutOff     int           // Routers that get no entries from before the failure on, and know of half of the fleet only.
	restarting bool          // Routers restart while the endpoints are cold.
	unbounded  bool          // Routers do not know that endpoints may be cold.
}

// Values of the deployment and times of the model.
const (
	coldRate     = 8.8
	coldExcess   = 1.5
	coldSlack    = 5.0
	coldTime     = 3 * time.Second
	coldSlots    = 12
	coldWork     = 1300 * time.Millisecond // Mean time for which a request occupies a slot.
	coldFailsAt  = 3 * time.Second
	coldTail     = 5 * time.Second // Time that is observed after the return.
	maxNewsDelay = time.Second     // Longest time until a router reads a changed entry.
)

// coldFleet is a fleet of routers before endpoints of which some become cold.
type coldFleet struct {
	coldCase
	proof.VirtualTime

	random   *rand.Rand
	pools    []*Pool
	names    []string
	servers  []*coldServer
	byName   map[string]*coldServer
	requests map[string]*coldRequest
	offered  int
	served   int
	refused  int
}

func newColdFleet(c coldCase) *coldFleet {
	f := &coldFleet{coldCase: c, VirtualTime: proof.VirtualTime{Now: start}, random: rand.New(rand.NewPCG(4, uint64(c.routers))), byName: map[string]*coldServer{}, requests: map[string]*coldRequest{}}
	for n := range c.endpoints {
		s := &coldServer{name: fmt.Sprintf("e-%03d", n), inFlight: map[*coldRequest]bool{}}
		f.servers = append(f.servers, s)
		f.byName[s.name] = s
	}
	for n := range c.routers {
		f.names = append(f.names, fmt.Sprintf("vm-%03d", n))
	}
	for n := range c.routers {
		f.pools = append(f.pools, f.newRouter(n))
	}
	return f
}

func (f *coldFleet) newRouter(n int) *Pool {
	p := &Pool{Policy: Policy{Seed: uint64(n + 1), ReportLag: time.Millisecond, BaseEjectionTime: 500 * time.Millisecond, MaxEjectionTime: 4 * time.Second,
		ColdExcess: coldExcess, ColdSlack: coldSlack, RetryReserve: 5}}
	alive := f.names
	if n < f.cutOff {
		alive = f.names[:f.routers/2]
	}
	p.Handle(f.Now, RoutersCounted{Routers: len(alive)})
	p.Handle(f.Now, RoutersListed{Self: f.names[n], Routers: slices.Clone(alive)})
	p.Handle(f.Now, RoutersRegistered{Self: f.names[n], Routers: slices.Clone(f.names)})
	p.Handle(f.Now, Configured{f.configured("")})
	return p
}

// configured returns the endpoints as their entries describe them, without one of them.
func (f *coldFleet) configured(without string) []Endpoint {
	var list []Endpoint
	for _, s := range f.servers {
		if s.name == without {
			continue
		}
		e := Endpoint{Name: s.name, Serves: []string{"m"}, Slots: coldSlots, TokensPerSecond: 1 / coldWork.Seconds()}
		if !f.unbounded {
			e.ColdRate = coldRate
			e.ColdFor = coldTime
			e.ColdLeft = max(0, s.coldUntil.Sub(f.Now))
		}
		list = append(list, e)
	}
	return list
}

func (f *coldFleet) delay() time.Duration {
	return time.Millisecond + time.Duration(f.random.Int64N(int64(20*time.Millisecond)))
}

// run lets the endpoints fail and return under load.
func (f *coldFleet) run() {
	f.arrive()
	f.tick()
	f.After(coldFailsAt, func() {
		for _, s := range f.servers[:f.failing] {
			f.begin(s)
		}
	})
	if f.restarting {
		f.After(coldFailsAt+f.downFor, f.restartRouter)
	}
	for f.Next(start.Add(coldFailsAt + f.downFor + coldTail)) {
	}
}

func (f *coldFleet) begin(s *coldServer) {
	switch f.event {
	case "restart":
		f.crash(s)
	case "evacuation":
		f.news(func(n int) { f.handle(n, LeavingUpdated{s.name, true}) })
		f.After(f.downFor, func() {
			s.coldUntil = f.Now.Add(coldTime)
			f.news(func(n int) {
				f.handle(n, ColdReported{s.name, coldTime})
				f.handle(n, LeavingUpdated{s.name, false})
			})
		})
	case "cold again":
		s.coldUntil = f.Now.Add(coldTime)
		f.news(func(n int) { f.handle(n, ColdReported{s.name, s.coldUntil.Sub(f.Now)}) })
	}
}

// news lets each router that reads entries learn something a little later.
func (f *coldFleet) news(learn func(n int)) {
	for n := f.cutOff; n < f.routers; n++ {
		f.After(time.Duration(f.random.Int64N(int64(maxNewsDelay))), func() { learn(n) })
	}
}

// crash ends an endpoint, which starts again as a new process.
func (f *coldFleet) crash(s *coldServer) {
	s.down = true
	s.epoch++
	s.running = 0
	s.waiting = nil
	broken := make([]*coldRequest, 0, len(s.inFlight))
	for req := range s.inFlight {
		broken = append(broken, req)
	}
	s.inFlight = map[*coldRequest]bool{}
	slices.SortFunc(broken, func(a, b *coldRequest) int { return slices.Compare([]byte(a.id), []byte(b.id)) })
	for _, req := range broken {
		f.After(f.delay(), func() { f.end(req, Died) })
	}
	f.After(f.downFor, func() {
		s.down = false
		s.startedAt = f.Now
		s.coldUntil = f.Now.Add(coldTime)
		f.news(func(n int) {
			f.handle(n, Configured{f.configured(s.name)})
			f.handle(n, Configured{f.configured("")})
		})
	})
}

// restartRouter starts a router again, without what it knew and without its requests.
func (f *coldFleet) restartRouter() {
	if f.Now.Sub(start) > coldFailsAt+f.downFor+coldTime {
		return
	}
	n := f.random.IntN(f.routers)
	f.pools[n] = f.newRouter(n)
	f.After(100*time.Millisecond, f.restartRouter)
}

func (f *coldFleet) arrive() {
	f.After(seconds(f.random.ExpFloat64()/f.perSecond), f.arrive)
	f.offered++
	req := &coldRequest{id: fmt.Sprint(f.offered), router: f.random.IntN(f.routers)}
	f.requests[req.id] = req
	r := Request{ID: req.id, Service: "m", OutputTokens: 1, Deadline: f.Now.Add(2 * time.Second), Fingerprint: uint64(f.offered), Repeatable: true}
	f.handle(req.router, Submitted{r})
}

func (f *coldFleet) tick() {
	for n, p := range f.pools {
		if p.Waiting() > 0 {
			f.handle(n, Tick{})
		}
	}
	f.After(50*time.Millisecond, f.tick)
}

func (f *coldFleet) handle(n int, ev Event) {
	for _, action := range f.pools[n].Handle(f.Now, ev) {
		switch action := action.(type) {
		case Send:
			req := f.requests[action.ID]
			req.at = f.byName[action.Endpoint]
			sent := f.Now
			f.After(f.delay(), func() { f.receive(req, sent) })
		case Refuse:
			f.refused++
		}
	}
}

// receive lets an endpoint take a request, and counts it if it was sent and arrived while the endpoint is cold.
func (f *coldFleet) receive(req *coldRequest, sent time.Time) {
	s := req.at
	if s.down {
		f.After(f.delay(), func() {
			f.handle(req.router, ConnectionRefused{s.name})
			f.end(req, Rejected)
		})
		return
	}
	if f.Now.Before(s.coldUntil) && !sent.Before(s.coldUntil.Add(-coldTime)) {
		s.arrivals = append(s.arrivals, f.Now)
	}
	s.inFlight[req] = true
	if s.running < coldSlots {
		f.serve(req)
		return
	}
	s.waiting = append(s.waiting, req)
}

func (f *coldFleet) serve(req *coldRequest) {
	s := req.at
	s.running++
	epoch := s.epoch
	f.After(30*time.Millisecond+seconds(coldWork.Seconds()*f.random.ExpFloat64()), func() {
		if s.epoch != epoch {
			return
		}
		s.running--
		delete(s.inFlight, req)
		f.served++
		load := Load{Running: s.running, Waiting: len(s.waiting)}
		left := s.coldUntil.Sub(f.Now)
		f.After(f.delay(), func() {
			f.handle(req.router, Answered{req.id})
			f.handle(req.router, ColdReported{s.name, left})
			f.handle(req.router, LoadReported{s.name, load})
			f.end(req, Finished)
		})
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			f.serve(next)
		}
	})
}

// end ends an attempt, and retries the request.
func (f *coldFleet) end(req *coldRequest, outcome Outcome) {
	f.handle(req.router, Ended{req.id, outcome, 1})
	if outcome != Finished {
		f.handle(req.router, Retried{req.id})
	}
}

// most returns the largest number of requests that a cold endpoint got within a second, and the mean number in all that time.
func (f *coldFleet) most() (most int, mean float64) {
	for _, s := range f.servers[:f.failing] {
		mean += float64(len(s.arrivals)) / float64(f.failing)
		for i, at := range s.arrivals {
			end, _ := slices.BinarySearchFunc(s.arrivals, at.Add(time.Second), time.Time.Compare)
			most = max(most, end-i)
		}
	}
	return most, mean
}
