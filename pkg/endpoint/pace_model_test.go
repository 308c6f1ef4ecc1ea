package endpoint

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/foxtaillanding/foxtaillanding/internal/proof"
)

// paceServer streams an answer in each slot, queues a few requests and rejects the others.
type paceServer struct {
	name    string
	running int
	waiting []*paceRequest
}

type paceRequest struct {
	id       string
	router   int
	at       *paceServer
	arrived  time.Time
	observed bool // It arrived at the endpoint that has returned.
}

// paceMode says how routers load an endpoint that has returned.
type paceMode string

const (
	noPace     paceMode = "no pace"
	oneAtATime paceMode = "one at a time"
	withPace   paceMode = "pace"
)

// Values of the model of paceFleet.
const (
	paceRouters   = 71
	paceEndpoints = 31
	paceSlots     = 12
	paceQueue     = 8
	paceFirst     = 40 * time.Millisecond  // Time to the first token.
	paceReturnsAt = 4 * time.Second        // When the last endpoint returns.
	paceObserved  = 7 * time.Second        // Time that is observed after that.
	paceSlow      = 200 * time.Millisecond // A longer wait at the endpoint makes a request slow.
	paceSample    = 50 * time.Millisecond
)

// paceFleet is a fleet of routers before endpoints of which one returns under load.
type paceFleet struct {
	proof.VirtualTime

	mode     paceMode
	work     time.Duration // Mean time for which a request occupies a slot.
	slots    int           // Slots of the endpoint that returns.
	random   *rand.Rand
	pools    []*Pool
	names    []string
	servers  map[string]*paceServer
	returned *paceServer
	requests map[string]*paceRequest
	offered  int
	got      int // Requests at the endpoint that has returned.
	rejected int // Of them.
	slow     int // Of them.
	busy     []float64
	others   []float64 // Mean busy slots of the others, for each sample.
}

func newPaceFleet(mode paceMode, work time.Duration, slots int, seed uint64) *paceFleet {
	f := &paceFleet{VirtualTime: proof.VirtualTime{Now: start}, mode: mode, work: work, slots: slots, random: rand.New(rand.NewPCG(seed, seed)), servers: map[string]*paceServer{}, requests: map[string]*paceRequest{}}
	for n := range paceEndpoints {
		name := fmt.Sprintf("e-%03d", n)
		f.servers[name] = &paceServer{name: name}
	}
	f.returned = f.servers[fmt.Sprintf("e-%03d", paceEndpoints-1)]
	for n := range paceRouters {
		f.names = append(f.names, fmt.Sprintf("vm-%03d", n))
	}
	for n := range paceRouters {
		p := &Pool{Policy: Policy{Seed: uint64(n + 1), ReportLag: time.Millisecond, BaseEjectionTime: 500 * time.Millisecond, MaxEjectionTime: 4 * time.Second}}
		p.Handle(start, RoutersCounted{Routers: paceRouters})
		p.Handle(start, RoutersRegistered{Self: f.names[n], Routers: f.names})
		p.Handle(start, Configured{f.configured(false)})
		f.pools = append(f.pools, p)
	}
	return f
}

func (f *paceFleet) configured(returned bool) []Endpoint {
	var list []Endpoint
	for n := range paceEndpoints {
		e := Endpoint{Name: fmt.Sprintf("e-%03d", n), Serves: []string{"m"}, Slots: paceSlots, TokensPerSecond: 1 / f.work.Seconds(), Paced: f.mode == withPace}
		if e.Name != f.returned.name {
			list = append(list, e)
		} else if returned {
			e.Slots = f.slots
			list = append(list, e)
		}
	}
	return list
}

func (f *paceFleet) delay() time.Duration {
	return time.Millisecond + time.Duration(f.random.Int64N(int64(10*time.Millisecond)))
}

func (f *paceFleet) run() {
	f.arrive()
	f.tick()
	f.After(paceReturnsAt, func() {
		for n, p := range f.pools {
			f.After(time.Duration(f.random.Int64N(int64(200*time.Millisecond))), func() {
				if f.mode == oneAtATime {
					p.backends[f.returned.name] = newBackend(Endpoint{Name: f.returned.name, Serves: []string{"m"}, Slots: f.slots, TokensPerSecond: 1 / f.work.Seconds()})
					p.backends[f.returned.name].deaths = 1
				}
				f.handle(n, Configured{f.configured(true)})
			})
		}
		f.sample()
	})
	for f.Next(start.Add(paceReturnsAt + paceObserved)) {
	}
}

func (f *paceFleet) sample() {
	f.After(paceSample, f.sample)
	sum := 0
	for _, s := range f.servers {
		if s != f.returned {
			sum += s.running
		}
	}
	f.busy = append(f.busy, float64(f.returned.running)/float64(f.slots))
	f.others = append(f.others, float64(sum)/float64((paceEndpoints-1)*paceSlots))
}

// shareAfter returns the time from the return until the endpoint has been as busy as the others, less a tenth, for half a second on
// average.
func (f *paceFleet) shareAfter() time.Duration {
	const window = int(500 * time.Millisecond / paceSample)
	for i := range len(f.busy) - window {
		busy, others := 0.0, 0.0
		for k := i; k < i+window; k++ {
			busy += f.busy[k]
			others += f.others[k]
		}
		if busy >= 0.9*others {
			return time.Duration(i) * paceSample
		}
	}
	return paceObserved
}

func (f *paceFleet) arrive() {
	const load = 0.8
	perSecond := load * paceSlots * paceEndpoints / (f.work + paceFirst).Seconds()
	f.After(seconds(f.random.ExpFloat64()/perSecond), f.arrive)
	f.offered++
	req := &paceRequest{id: fmt.Sprint(f.offered), router: f.random.IntN(paceRouters)}
	f.requests[req.id] = req
	f.handle(req.router, Submitted{Request{ID: req.id, Service: "m", OutputTokens: 1, Deadline: f.Now.Add(2 * time.Second), Fingerprint: uint64(f.offered), Repeatable: true}})
}

func (f *paceFleet) tick() {
	for n, p := range f.pools {
		if p.Waiting() > 0 {
			f.handle(n, Tick{})
		}
	}
	f.After(20*time.Millisecond, f.tick)
}

func (f *paceFleet) handle(n int, ev Event) {
	for _, action := range f.pools[n].Handle(f.Now, ev) {
		if send, ok := action.(Send); ok {
			req := f.requests[send.ID]
			req.at = f.servers[send.Endpoint]
			f.After(f.delay(), func() { f.receive(req) })
		}
	}
}

// head passes on what the head of an answer says.
func (f *paceFleet) head(req *paceRequest, load Load) {
	f.handle(req.router, Answered{req.id})
	f.handle(req.router, LoadReported{req.at.name, load})
}

func (f *paceFleet) receive(req *paceRequest) {
	s := req.at
	req.arrived = f.Now
	req.observed = s == f.returned
	if req.observed {
		f.got++
	}
	slots := paceSlots
	if s == f.returned {
		slots = f.slots
	}
	switch {
	case s.running < slots:
		f.serve(req)
	case len(s.waiting) < paceQueue:
		s.waiting = append(s.waiting, req)
	default:
		if req.observed {
			f.rejected++
		}
		load := Load{Running: s.running, Waiting: len(s.waiting)}
		f.After(f.delay(), func() {
			f.head(req, load)
			f.handle(req.router, CapacityRejected{s.name})
			f.handle(req.router, Ended{req.id, Rejected, 0})
			f.handle(req.router, Retried{req.id})
		})
	}
}

func (f *paceFleet) serve(req *paceRequest) {
	s := req.at
	s.running++
	if req.observed && f.Now.Sub(req.arrived) > paceSlow {
		f.slow++
	}
	f.After(paceFirst+f.delay(), func() {
		f.head(req, Load{Running: s.running, Waiting: len(s.waiting)})
		f.handle(req.router, FirstToken{req.id})
	})
	f.After(paceFirst+11*time.Millisecond+seconds(f.work.Seconds()*f.random.ExpFloat64()), func() {
		s.running--
		f.After(f.delay(), func() { f.handle(req.router, Ended{req.id, Finished, 1}) })
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = slices.Delete(s.waiting, 0, 1)
			f.serve(next)
		}
	})
}
