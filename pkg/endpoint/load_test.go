package endpoint

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// result holds the measurements of one run.
type result struct {
	p50, p95, p99 time.Duration  // Time to the first token of the served requests.
	goodput       float64        // Fraction of all requests whose first token arrived before the deadline.
	interactive   float64        // Goodput of the interactive class.
	refused       map[string]int // Number of refusals by kind.
	worstShare    float64        // Lowest ratio of an account's served tokens to its max-min fair share.
}

func (sim *simulation) result() result {
	r := result{refused: map[string]int{}}
	var firsts []time.Duration
	good, interactive, interactiveGood := 0, 0, 0
	served, demand, weight := map[string]float64{}, map[string]float64{}, map[string]float64{}
	for _, req := range sim.requests {
		demand[req.Account] += float64(req.OutputTokens)
		weight[req.Account] = req.Weight
		if req.Class == "Interactive" {
			interactive++
		}
		if req.refused != refusal.Internal {
			r.refused[req.refused.String()]++
		}
		if req.first.IsZero() {
			continue
		}
		firsts = append(firsts, req.first.Sub(req.arrived))
		if !req.first.After(req.deadline()) {
			good++
			served[req.Account] += float64(req.OutputTokens)
			if req.Class == "Interactive" {
				interactiveGood++
			}
		}
	}
	slices.Sort(firsts)
	at := func(q float64) time.Duration { return firsts[int(q*float64(len(firsts)-1))].Round(time.Millisecond) }
	r.p50, r.p95, r.p99 = at(0.5), at(0.95), at(0.99)
	r.goodput = float64(good) / float64(len(sim.requests))
	r.interactive = float64(interactiveGood) / float64(interactive)
	r.worstShare = worstShare(served, demand, weight)
	return r
}

// worstShare returns the lowest ratio of an account's served tokens to its max-min
// fair share of the total, at most 1.
func worstShare(served, demand, weight map[string]float64) float64 {
	total := 0.0
	for _, n := range served {
		total += n
	}
	fair := map[string]float64{}
	for range len(demand) {
		var unmetWeight float64 // Weight of the accounts whose demand exceeds their share so far.
		for account := range demand {
			if fair[account] < demand[account] {
				unmetWeight += weight[account]
			}
		}
		left := total
		for _, n := range fair {
			left -= n
		}
		for account := range demand {
			if unmetWeight > 0 && fair[account] < demand[account] {
				fair[account] = min(demand[account], fair[account]+left*weight[account]/unmetWeight)
			}
		}
	}
	worst := 1.0
	for account := range demand {
		worst = min(worst, served[account]/fair[account])
	}
	return worst
}

var balancerKinds = []struct {
	name string
	make func(sim *simulation, i int) balancer
}{
	{"pool", func(sim *simulation, i int) balancer { return newPoolBalancer(sim, uint64(i)) }},
	{"two choices", func(*simulation, int) balancer { return newSimple(twoChoices) }},
	{"least in flight", func(*simulation, int) balancer { return newSimple(leastInFlight) }},
	{"round robin", func(*simulation, int) balancer { return newSimple(roundRobin) }},
}

func runBalancer(load []arrival, share float64, i int, prepare func(*simulation)) result {
	sim := newSimulation(make([]balancer, 3))
	for k := range sim.balancers {
		sim.balancers[k] = balancerKinds[i].make(sim, k)
	}
	prepare(sim)
	sim.run(load, share)
	return sim.result()
}

// TestPolicyUnderLoad checks that the goodput of the pool on the recorded load is
// at least that of each baseline, also with faulty engines. The flag -v prints the measurements.
func TestPolicyUnderLoad(t *testing.T) {
	load := readLoad(t)
	noFaults := func(*simulation) {}
	for _, c := range []struct {
		name    string
		share   float64
		prepare func(*simulation)
	}{
		{"0.5", 0.5, noFaults},
		{"0.9", 0.9, noFaults},
		{"1.2", 1.2, noFaults},
		{"3.0", 3, noFaults},
		{"0.5, one slow, one dead", 0.5, func(sim *simulation) {
			sim.engines["writer-00"].slow = 10
			sim.engines["writer-02"].dead = true
		}},
	} {
		pool := runBalancer(load, c.share, 0, c.prepare)
		for i := range balancerKinds {
			r := runBalancer(load, c.share, i, c.prepare)
			require.GreaterOrEqual(t, pool.goodput, r.goodput, "%s at %s", balancerKinds[i].name, c.name)
			t.Logf("%-24s | %-15s | first token p50 %v p95 %v p99 %v | goodput %.1f%%, interactive %.1f%% | worst share %.2f | refused %v",
				c.name, balancerKinds[i].name, r.p50, r.p95, r.p99, 100*r.goodput, 100*r.interactive, r.worstShare, r.refused)
		}
	}
}

// TestCacheEvents checks that cache events do not lower the goodput of the pool on
// long prompts, although they arrive a second late and some are lost.
func TestCacheEvents(t *testing.T) {
	const promptFactor = 4 // Prompt length relative to the recorded load.
	load := readLoad(t)
	for i := range load {
		load[i].PromptTokens *= promptFactor
	}
	for _, share := range []float64{0.5, 0.9, 1.2, 3} {
		without := runBalancer(load, share, 0, func(sim *simulation) { sim.noCacheEvents = true })
		with := runBalancer(load, share, 0, func(*simulation) {})
		t.Logf("%.1f | without events p50 %v p95 %v goodput %.2f%% | with p50 %v p95 %v goodput %.2f%%",
			share, without.p50, without.p95, 100*without.goodput, with.p50, with.p95, 100*with.goodput)
		require.GreaterOrEqual(t, with.goodput, without.goodput, "share %.1f", share)
	}
}

// TestCrashSuspects sends one of three routers, again and again, the same request,
// which crashes each engine that runs it. If suspects are recognized, at most two
// engines may crash.
func TestCrashSuspects(t *testing.T) {
	load := readLoad(t)[:1200]
	for i := 100; i < len(load); i += 60 {
		load[i].Account = "bad"
	}
	for _, ignoreSuspects := range []bool{false, true} {
		sim := newSimulation(make([]balancer, 3))
		for k := range sim.balancers {
			p := newPoolBalancer(sim, uint64(k))
			p.ignoreSuspects = ignoreSuspects
			sim.balancers[k] = p
		}
		sim.prepare = func(req *simRequest) { req.crashes = req.Account == "bad" }
		sim.run(load, 0.5)
		crashing, lost := 0, 0
		for _, req := range sim.requests {
			switch {
			case req.crashes:
				crashing++
			case req.end.IsZero():
				lost++
			}
		}
		t.Logf("suspects recognized: %t | crashing request submitted %d times | engine deaths %d | other requests lost or refused %d of %d",
			!ignoreSuspects, crashing, sim.deaths, lost, len(load)-crashing)
		if !ignoreSuspects {
			require.LessOrEqual(t, sim.deaths, 2, "the request is refused after the second death")
		}
	}
}
