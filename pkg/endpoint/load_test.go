package endpoint

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

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
