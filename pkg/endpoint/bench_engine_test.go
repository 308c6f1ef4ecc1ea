package endpoint

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/internal/proof"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// arrival is one line of the recorded load.
type arrival struct {
	At           float64 // In units of the mean time between arrivals.
	Account      string
	Weight       float64
	Class        string
	PromptTokens int64
	OutputTokens int64 // Actual length of the response.
	Limit        int64 // Maximum length that the caller allows.
	Prefix       uint64
}

func readLoad(t testing.TB) []arrival {
	f, err := os.Open("testdata/load.jsonl")
	require.NoError(t, err)
	defer func() { _ = f.Close() }()
	var load []arrival
	for lines := bufio.NewScanner(f); lines.Scan(); {
		var a arrival
		require.NoError(t, json.Unmarshal(lines.Bytes(), &a))
		load = append(load, a)
	}
	return load
}

// cacheSize is the number of prompt prefixes that an engine keeps.
const cacheSize = 6

// engine simulates a model engine with slots of a fixed speed, a queue ordered by class, and a prefix cache.
type engine struct {
	Endpoint
	slow    float64 // Factor on all durations.
	dead    bool
	running []*simRequest
	waiting []*simRequest
	cached  []uint64
	events  []CacheUpdated // Cache events that are not reported yet.
	epoch   int            // Incremented by each death, to cancel the timers set before it.
}

// simRequest is one request of a simulation.
type simRequest struct {
	arrival
	id      string
	router  int // Index of the router that receives it.
	arrived time.Time
	first   time.Time // Time of the first token; zero if none arrived.
	end     time.Time // Time of the complete response; zero if none arrived.
	refused refusal.Kind
	crashes bool // Whether it crashes each engine that runs it.
}

func (req *simRequest) deadline() time.Time {
	return req.arrived.Add(map[string]time.Duration{
		"Interactive": 1700 * time.Millisecond, "Standard": 5 * time.Second, "Batch": 30 * time.Second}[req.Class])
}

// simulation runs the recorded load through routers and engines in virtual time.
type simulation struct {
	proof.VirtualTime

	engines   map[string]*engine
	names     []string
	requests  []*simRequest
	balancers []balancer // One for each router.
	random    *rand.Rand
	deaths    int // Number of engine crashes.

	noCacheEvents bool // Engines report no cache events.

	prepare func(*simRequest) // Called for each request before the run; may be nil.
}

// balancer is the load balancing of one router. The simulation calls it when a
// request arrives, gets its first token or ends, and for each report and tick.
type balancer interface {
	arrive(sim *simulation, req *simRequest)
	first(sim *simulation, req *simRequest)
	ended(sim *simulation, req *simRequest, died bool)
	report(sim *simulation, name string, l Load, events []CacheUpdated)
	tick(sim *simulation)
}

func newSimulation(balancers []balancer) *simulation {
	sim := &simulation{VirtualTime: proof.VirtualTime{Now: start}, engines: map[string]*engine{}, balancers: balancers, random: rand.New(rand.NewPCG(3, 3))}
	for i, speed := range []float64{90, 90, 70, 60, 45, 45, 30, 30, 25, 18} {
		slots := 8
		if speed <= 30 {
			slots = 4
		}
		e := &engine{slow: 1, Endpoint: Endpoint{Name: fmt.Sprintf("writer-%02d", i), Serves: []string{"m"}, Slots: slots,
			TokensPerSecond: speed, PromptTokensPerSecond: 30 * speed}}
		sim.engines[e.Name] = e
		sim.names = append(sim.names, e.Name)
	}
	return sim
}

func (sim *simulation) endpoints() []Endpoint {
	var list []Endpoint
	for _, name := range sim.names {
		list = append(list, sim.engines[name].Endpoint)
	}
	return list
}

// meanGap returns the mean time between arrivals that offers the given share of the engines' capacity.
func (sim *simulation) meanGap(load []arrival, share float64) time.Duration {
	var capacity, work float64
	for _, e := range sim.engines {
		capacity += float64(e.Slots) * e.TokensPerSecond
	}
	for _, a := range load {
		work += float64(a.OutputTokens) + float64(a.PromptTokens)/30
	}
	perSecond := capacity / (work / float64(len(load)))
	return time.Duration(float64(time.Second) / (perSecond * share))
}

func (sim *simulation) run(load []arrival, share float64) {
	gap := sim.meanGap(load, share)
	for i, a := range load {
		req := &simRequest{arrival: a, id: fmt.Sprint("request-", i), router: i % len(sim.balancers)}
		if sim.prepare != nil {
			sim.prepare(req)
		}
		sim.requests = append(sim.requests, req)
		sim.After(time.Duration(a.At*float64(gap)), func() {
			req.arrived = sim.Now
			sim.balancers[req.router].arrive(sim, req)
		})
	}
	end := start.Add(time.Duration(load[len(load)-1].At*float64(gap)) + 2*time.Minute)
	var tick func()
	tick = func() {
		for _, b := range sim.balancers {
			b.tick(sim)
		}
		sim.After(50*time.Millisecond, tick)
	}
	sim.After(0, tick)
	sim.sendReports()
	for sim.Next(end) {
	}
}

// sendReports delivers each engine's load and cache events to each router every second, with a delay of a second.
func (sim *simulation) sendReports() {
	for _, name := range sim.names {
		e := sim.engines[name]
		l := Load{Running: len(e.running), Waiting: len(e.waiting)}
		if e.dead {
			continue
		}
		events := sim.loseSome(e.events)
		e.events = nil
		sim.After(time.Second, func() {
			for _, b := range sim.balancers {
				b.report(sim, name, l, events)
			}
		})
	}
	sim.After(time.Second, sim.sendReports)
}

// loseSome drops a random tenth of the cache events.
func (sim *simulation) loseSome(events []CacheUpdated) []CacheUpdated {
	if sim.noCacheEvents {
		return nil
	}
	return slices.DeleteFunc(events, func(CacheUpdated) bool { return sim.random.IntN(10) == 0 })
}

func (sim *simulation) send(req *simRequest, name string) {
	e := sim.engines[name]
	if e.dead {
		sim.After(5*time.Millisecond, func() { sim.balancers[req.router].ended(sim, req, true) })
		return
	}
	e.waiting = append(e.waiting, req)
	slices.SortStableFunc(e.waiting, func(x, y *simRequest) int { return rank(x) - rank(y) })
	sim.startWaiting(e)
}

// crash ends all requests on an engine, which restarts after deadTime.
func (sim *simulation) crash(e *engine) {
	const deadTime = 5 * time.Second
	sim.deaths++
	e.epoch++
	e.dead = true
	broken := slices.Concat(e.running, e.waiting)
	e.running, e.waiting, e.cached = nil, nil, nil
	sim.After(deadTime, func() { e.dead = false })
	for _, req := range broken {
		req.first = time.Time{}
		sim.balancers[req.router].ended(sim, req, true)
	}
}

func rank(req *simRequest) int {
	class, _ := ParseClass(req.Class)
	return int(class)
}

// startWaiting starts waiting requests in the free slots of an engine.
func (sim *simulation) startWaiting(e *engine) {
	for len(e.running) < e.Slots && len(e.waiting) > 0 {
		req := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, req)
		prompt := float64(req.PromptTokens) / e.PromptTokensPerSecond * e.slow
		if slices.Contains(e.cached, req.Prefix) {
			prompt *= 0.2
		}
		e.events = append(e.events, CacheUpdated{e.Name, req.Prefix, false})
		e.cached = append([]uint64{req.Prefix}, slices.DeleteFunc(e.cached, func(p uint64) bool { return p == req.Prefix })...)
		if len(e.cached) > cacheSize {
			e.events = append(e.events, CacheUpdated{e.Name, e.cached[cacheSize], true})
			e.cached = e.cached[:cacheSize]
		}
		output := float64(req.OutputTokens) / e.TokensPerSecond * e.slow
		epoch := e.epoch
		sim.After(seconds(prompt), func() {
			if e.epoch != epoch {
				return
			}
			if req.crashes {
				sim.crash(e)
				return
			}
			req.first = sim.Now
			sim.balancers[req.router].first(sim, req)
		})
		sim.After(seconds(prompt+output), func() {
			if e.epoch != epoch {
				return
			}
			req.end = sim.Now
			e.running = slices.DeleteFunc(e.running, func(other *simRequest) bool { return other == req })
			sim.balancers[req.router].ended(sim, req, false)
			sim.startWaiting(e)
		})
	}
}
