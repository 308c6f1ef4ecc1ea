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

// poolBalancer is the Pool of this package.
type poolBalancer struct {
	pool    Pool
	flights map[string]*flight
	blind   bool // Suspects are not recognized.
}

func newPoolBalancer(b *bench, seed uint64) *poolBalancer {
	p := &poolBalancer{pool: Pool{Policy: Policy{Seed: seed}}, flights: map[string]*flight{}}
	p.handle(b, Configured{b.endpoints()})
	p.handle(b, RoutersCounted{len(b.router)})
	return p
}

func (p *poolBalancer) handle(b *bench, ev Event) {
	for _, action := range p.pool.Handle(b.now, ev) {
		switch action := action.(type) {
		case Send:
			b.send(p.flights[action.ID], action.Endpoint)
		case Refuse:
			p.flights[action.ID].refused = action.Kind
		case TellSuspect:
			for _, other := range b.router {
				if other != balancer(p) && !p.blind {
					b.after(5*time.Millisecond, func() { other.(*poolBalancer).handle(b, SuspectHeard(action)) })
				}
			}
		}
	}
}

func (p *poolBalancer) arrive(b *bench, f *flight) {
	p.flights[f.id] = f
	class, _ := ParseClass(f.Class)
	fingerprint := uint64(b.seq)
	if f.bad && !p.blind {
		fingerprint = 1
	}
	p.handle(b, Submitted{Request{ID: f.id, Serves: "m", Account: f.Account, Weight: f.Weight, Class: class, PromptTokens: f.PromptTokens,
		OutputTokens: f.Limit, Prefix: f.Prefix, Deadline: f.deadline(), Fingerprint: fingerprint, Repeatable: true}})
}

func (p *poolBalancer) first(b *bench, f *flight) { p.handle(b, FirstToken{f.id}) }

func (p *poolBalancer) ended(b *bench, f *flight, died bool) {
	if !died {
		p.handle(b, Ended{f.id, Finished, f.OutputTokens})
		return
	}
	p.handle(b, Ended{f.id, Died, 0})
	p.handle(b, Retried{f.id})
}

func (p *poolBalancer) report(b *bench, name string, l Load, events []CacheSeen) {
	p.handle(b, Reported{name, l})
	for _, ev := range events {
		p.handle(b, ev)
	}
}

func (p *poolBalancer) tick(b *bench) { p.handle(b, Tick{}) }

// simpleBalancer is a baseline without queue or admission; pick chooses among the engines.
type simpleBalancer struct {
	pick     func(s *simpleBalancer, b *bench, f *flight) string
	inFlight map[string]int
	reports  map[string]Load
	on       map[string]string
	tries    map[string]int
	next     int
}

func (s *simpleBalancer) arrive(b *bench, f *flight) {
	name := s.pick(s, b, f)
	s.inFlight[name]++
	s.on[f.id] = name
	b.send(f, name)
}

func (s *simpleBalancer) first(*bench, *flight) {}

func (s *simpleBalancer) ended(b *bench, f *flight, died bool) {
	s.inFlight[s.on[f.id]]--
	s.tries[f.id]++
	if died && s.tries[f.id] < 3 {
		s.arrive(b, f)
	}
}

func (s *simpleBalancer) report(_ *bench, name string, l Load, _ []CacheSeen) { s.reports[name] = l }
func (s *simpleBalancer) tick(*bench)                                         {}

func newSimple(pick func(*simpleBalancer, *bench, *flight) string) *simpleBalancer {
	return &simpleBalancer{pick: pick, inFlight: map[string]int{}, reports: map[string]Load{}, on: map[string]string{}, tries: map[string]int{}}
}

func roundRobin(s *simpleBalancer, b *bench, _ *flight) string {
	s.next++
	return b.names[s.next%len(b.names)]
}

func leastInFlight(s *simpleBalancer, b *bench, _ *flight) string {
	return slices.MinFunc(b.names, func(x, y string) int { return s.inFlight[x] - s.inFlight[y] })
}

// twoChoices compares two random engines by the expected time to the first token.
func twoChoices(s *simpleBalancer, b *bench, f *flight) string {
	cost := func(name string) float64 {
		e := b.engines[name]
		busy := float64(max(s.inFlight[name], s.reports[name].Running+s.reports[name].Waiting))
		wait := max(0, busy+1-float64(e.Slots)) / float64(e.Slots) * float64(f.Limit) / e.TokensPerSecond
		return wait + float64(f.PromptTokens)/e.PromptPerSecond
	}
	x, y := b.names[b.random.IntN(len(b.names))], b.names[b.random.IntN(len(b.names))]
	if cost(x) <= cost(y) {
		return x
	}
	return y
}

// result is a row of the table.
type result struct {
	p50, p95, p99 time.Duration // Time to the first token of what was served.
	goodput       float64       // Share of all requests whose first token came before the deadline.
	interactive   float64       // The same for the interactive class.
	refused       map[string]int
	worstShare    float64 // Least ratio of an account's served tokens to its max-min fair share.
}

func (b *bench) result() result {
	r := result{refused: map[string]int{}}
	var firsts []time.Duration
	good, interactive, interactiveGood := 0, 0, 0
	served, demand, weight := map[string]float64{}, map[string]float64{}, map[string]float64{}
	for _, f := range b.flights {
		demand[f.Account] += float64(f.OutputTokens)
		weight[f.Account] = f.Weight
		if f.Class == "Interactive" {
			interactive++
		}
		if f.refused != refusal.Internal {
			r.refused[f.refused.String()]++
		}
		if f.first.IsZero() {
			continue
		}
		firsts = append(firsts, f.first.Sub(f.arrived))
		if !f.first.After(f.deadline()) {
			good++
			served[f.Account] += float64(f.OutputTokens)
			if f.Class == "Interactive" {
				interactiveGood++
			}
		}
	}
	slices.Sort(firsts)
	at := func(q float64) time.Duration { return firsts[int(q*float64(len(firsts)-1))].Round(time.Millisecond) }
	r.p50, r.p95, r.p99 = at(0.5), at(0.95), at(0.99)
	r.goodput = float64(good) / float64(len(b.flights))
	r.interactive = float64(interactiveGood) / float64(interactive)
	r.worstShare = worstShare(served, demand, weight)
	return r
}

// worstShare compares what accounts got with the max-min fair division of the same total.
func worstShare(served, demand, weight map[string]float64) float64 {
	total := 0.0
	for _, n := range served {
		total += n
	}
	fair := map[string]float64{}
	for range len(demand) {
		var open float64
		for account := range demand {
			if fair[account] < demand[account] {
				open += weight[account]
			}
		}
		left := total
		for _, n := range fair {
			left -= n
		}
		for account := range demand {
			if open > 0 && fair[account] < demand[account] {
				fair[account] = min(demand[account], fair[account]+left*weight[account]/open)
			}
		}
	}
	worst := 1.0
	for account := range demand {
		worst = min(worst, served[account]/fair[account])
	}
	return worst
}

var methods = []struct {
	name string
	make func(b *bench, i int) balancer
}{
	{"pool", func(b *bench, i int) balancer { return newPoolBalancer(b, uint64(i)) }},
	{"two choices", func(*bench, int) balancer { return newSimple(twoChoices) }},
	{"least in flight", func(*bench, int) balancer { return newSimple(leastInFlight) }},
	{"round robin", func(*bench, int) balancer { return newSimple(roundRobin) }},
}

func runMethod(load []arrival, share float64, i int, prepare func(*bench)) result {
	b := newBench(make([]balancer, 3))
	for k := range b.router {
		b.router[k] = methods[i].make(b, k)
	}
	prepare(b)
	b.run(load, share)
	return b.result()
}

// TestPolicyUnderLoad measures the pool against the baselines on the recorded load; run it with -v for the table.
func TestPolicyUnderLoad(t *testing.T) {
	load := readLoad(t)
	faultless := func(*bench) {}
	for _, c := range []struct {
		name    string
		share   float64
		prepare func(*bench)
	}{
		{"0.5", 0.5, faultless},
		{"0.9", 0.9, faultless},
		{"1.2", 1.2, faultless},
		{"3.0", 3, faultless},
		{"0.5, one slow, one dead", 0.5, func(b *bench) {
			b.engines["writer-00"].slow = 10
			b.engines["writer-02"].dead = true
		}},
	} {
		pool := runMethod(load, c.share, 0, c.prepare)
		for i := range methods {
			r := runMethod(load, c.share, i, c.prepare)
			require.GreaterOrEqual(t, pool.goodput, r.goodput, "%s at %s", methods[i].name, c.name)
			t.Logf("%-24s | %-15s | first token p50 %v p95 %v p99 %v | goodput %.1f%%, interactive %.1f%% | worst share %.2f | refused %v",
				c.name, methods[i].name, r.p50, r.p95, r.p99, 100*r.goodput, 100*r.interactive, r.worstShare, r.refused)
		}
	}
}

// TestCacheEvents compares the pool with and without the engines' cache events, which come a second late and with gaps, on long prompts.
func TestCacheEvents(t *testing.T) {
	const longer = 4 // Prompt tokens against the recorded load.
	load := readLoad(t)
	for i := range load {
		load[i].PromptTokens *= longer
	}
	for _, share := range []float64{0.5, 0.9, 1.2, 3} {
		without := runMethod(load, share, 0, func(b *bench) { b.noEvents = true })
		with := runMethod(load, share, 0, func(*bench) {})
		t.Logf("%.1f | without events p50 %v p95 %v goodput %.2f%% | with p50 %v p95 %v goodput %.2f%%",
			share, without.p50, without.p95, 100*without.goodput, with.p50, with.p95, 100*with.goodput)
		require.GreaterOrEqual(t, with.goodput, without.goodput, "share %.1f", share)
	}
}

// TestCrashSuspects lets one bad request, sent again and again to every router, kill the engines that run it.
func TestCrashSuspects(t *testing.T) {
	load := readLoad(t)[:1200]
	for i := 100; i < len(load); i += 60 {
		load[i].Account = "bad"
	}
	for _, blind := range []bool{false, true} {
		b := newBench(make([]balancer, 3))
		for k := range b.router {
			p := newPoolBalancer(b, uint64(k))
			p.blind = blind
			b.router[k] = p
		}
		b.prepare = func(f *flight) { f.bad = f.Account == "bad" }
		b.run(load, 0.5)
		bad, innocent := 0, 0
		for _, f := range b.flights {
			switch {
			case f.bad:
				bad++
			case f.end.IsZero():
				innocent++
			}
		}
		t.Logf("suspects recognized: %t | bad request sent %d times | engines died %d times | innocent requests lost or refused %d of %d",
			!blind, bad, b.deaths, innocent, len(load)-bad)
		if !blind {
			require.LessOrEqual(t, b.deaths, 2, "a request is refused after its second death")
		}
	}
}
