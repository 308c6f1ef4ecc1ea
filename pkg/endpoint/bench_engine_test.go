package endpoint

import (
	"bufio"
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// arrival is one line of the recorded load; At is in units of the mean gap.
type arrival struct {
	At           float64
	Account      string
	Weight       float64
	Class        string
	PromptTokens int64
	OutputTokens int64 // What the answer will have.
	Limit        int64 // What the caller allows.
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

// engine is a small fake: slots with a fixed speed, a queue by class, a prefix cache.
type engine struct {
	Endpoint
	slow    float64
	dead    bool
	running []*flight
	waiting []*flight
	cached  []uint64
	events  []CacheSeen // Not yet reported.
	epoch   int         // Raised by each death.
}

// flight is one request on its way through a run.
type flight struct {
	arrival
	id      string
	router  int
	arrived time.Time
	first   time.Time
	end     time.Time
	refused refusal.Kind
	bad     bool // Kills each endpoint that runs it.
}

func (f *flight) deadline() time.Time {
	return f.arrived.Add(map[string]time.Duration{
		"Interactive": 1700 * time.Millisecond, "Standard": 5 * time.Second, "Batch": 30 * time.Second}[f.Class])
}

type moment struct {
	at  time.Time
	seq int
	run func()
}

type moments []moment

func (h moments) Len() int { return len(h) }
func (h moments) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || (h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq)
}
func (h moments) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a moment.
func (h *moments) Push(x any) { *h = append(*h, x.(moment)) }

// Pop removes the last moment.
func (h *moments) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// bench runs the recorded load through routers and engines in virtual time.
type bench struct {
	now     time.Time
	heap    moments
	seq     int
	engines map[string]*engine
	names   []string
	flights []*flight
	router  []balancer
	random  *rand.Rand
	deaths  int

	noEvents bool // Engines do not tell what they cache.

	prepare func(*flight) // Called for each flight before it starts; may be nil.
}

// balancer is a router's way to place requests; sent and ended are told to it.
type balancer interface {
	arrive(b *bench, f *flight)
	first(b *bench, f *flight)
	ended(b *bench, f *flight, died bool)
	report(b *bench, name string, l Load, events []CacheSeen)
	tick(b *bench)
}

func (b *bench) after(d time.Duration, run func()) {
	b.seq++
	heap.Push(&b.heap, moment{b.now.Add(d), b.seq, run})
}

func newBench(balancers []balancer) *bench {
	b := &bench{now: start, engines: map[string]*engine{}, router: balancers, random: rand.New(rand.NewPCG(3, 3))}
	for i, speed := range []float64{90, 90, 70, 60, 45, 45, 30, 30, 25, 18} {
		slots := 8
		if speed <= 30 {
			slots = 4
		}
		e := &engine{slow: 1, Endpoint: Endpoint{Name: fmt.Sprintf("writer-%02d", i), Serves: []string{"m"}, Slots: slots,
			TokensPerSecond: speed, PromptPerSecond: 30 * speed}}
		b.engines[e.Name] = e
		b.names = append(b.names, e.Name)
	}
	return b
}

func (b *bench) endpoints() []Endpoint {
	var list []Endpoint
	for _, name := range b.names {
		list = append(list, b.engines[name].Endpoint)
	}
	return list
}

// gap is the mean time between arrivals at the given share of the engines' capacity.
func (b *bench) gap(load []arrival, share float64) time.Duration {
	var slots, work float64
	for _, e := range b.engines {
		slots += float64(e.Slots) * e.TokensPerSecond
	}
	for _, a := range load {
		work += float64(a.OutputTokens) + float64(a.PromptTokens)/30
	}
	perSecond := slots / (work / float64(len(load)))
	return time.Duration(float64(time.Second) / (perSecond * share))
}

func (b *bench) run(load []arrival, share float64) {
	gap := b.gap(load, share)
	for i, a := range load {
		f := &flight{arrival: a, id: fmt.Sprint("request-", i), router: i % len(b.router)}
		if b.prepare != nil {
			b.prepare(f)
		}
		b.flights = append(b.flights, f)
		b.after(time.Duration(a.At*float64(gap)), func() {
			f.arrived = b.now
			b.router[f.router].arrive(b, f)
		})
	}
	end := start.Add(time.Duration(load[len(load)-1].At*float64(gap)) + 2*time.Minute)
	var tick func()
	tick = func() {
		for _, r := range b.router {
			r.tick(b)
		}
		b.after(50*time.Millisecond, tick)
	}
	b.after(0, tick)
	b.reports()
	for len(b.heap) > 0 && b.heap[0].at.Before(end) {
		next := heap.Pop(&b.heap).(moment)
		b.now = next.at
		next.run()
	}
}

// reports brings each engine's load to each router every second, a second late.
func (b *bench) reports() {
	for _, name := range b.names {
		e := b.engines[name]
		l := Load{Running: len(e.running), Waiting: len(e.waiting)}
		if e.dead {
			continue
		}
		events := b.withGaps(e.events)
		e.events = nil
		b.after(time.Second, func() {
			for _, r := range b.router {
				r.report(b, name, l, events)
			}
		})
	}
	b.after(time.Second, b.reports)
}

// withGaps loses one cache event in ten.
func (b *bench) withGaps(events []CacheSeen) []CacheSeen {
	if b.noEvents {
		return nil
	}
	return slices.DeleteFunc(events, func(CacheSeen) bool { return b.random.IntN(10) == 0 })
}

func (b *bench) send(f *flight, name string) {
	e := b.engines[name]
	if e.dead {
		b.after(5*time.Millisecond, func() { b.router[f.router].ended(b, f, true) })
		return
	}
	e.waiting = append(e.waiting, f)
	slices.SortStableFunc(e.waiting, func(x, y *flight) int { return rank(x) - rank(y) })
	b.begin(e)
}

// die breaks everything on an engine, which comes back after a while.
func (b *bench) die(e *engine) {
	const deadTime = 5 * time.Second
	b.deaths++
	e.epoch++
	e.dead = true
	broken := slices.Concat(e.running, e.waiting)
	e.running, e.waiting, e.cached = nil, nil, nil
	b.after(deadTime, func() { e.dead = false })
	for _, f := range broken {
		f.first = time.Time{}
		b.router[f.router].ended(b, f, true)
	}
}

func rank(f *flight) int {
	class, _ := ParseClass(f.Class)
	return int(class)
}

func (b *bench) begin(e *engine) {
	for len(e.running) < e.Slots && len(e.waiting) > 0 {
		f := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, f)
		prompt := float64(f.PromptTokens) / e.PromptPerSecond * e.slow
		if slices.Contains(e.cached, f.Prefix) {
			prompt *= 0.2
		}
		e.events = append(e.events, CacheSeen{e.Name, f.Prefix, false})
		e.cached = append([]uint64{f.Prefix}, slices.DeleteFunc(e.cached, func(p uint64) bool { return p == f.Prefix })...)
		if len(e.cached) > cacheSize {
			e.events = append(e.events, CacheSeen{e.Name, e.cached[cacheSize], true})
			e.cached = e.cached[:cacheSize]
		}
		output := float64(f.OutputTokens) / e.TokensPerSecond * e.slow
		epoch := e.epoch
		b.after(seconds(prompt), func() {
			if e.epoch != epoch {
				return
			}
			if f.bad {
				b.die(e)
				return
			}
			f.first = b.now
			b.router[f.router].first(b, f)
		})
		b.after(seconds(prompt+output), func() {
			if e.epoch != epoch {
				return
			}
			f.end = b.now
			e.running = slices.DeleteFunc(e.running, func(other *flight) bool { return other == f })
			b.router[f.router].ended(b, f, false)
			b.begin(e)
		})
	}
}
