package budget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Policies of the homes of a budget: grants for a fixed time of demand, and grants that follow what is left.
var (
	fixedReserve   = Policy{Horizon: 6 * time.Second, Step: 2 * time.Second, ShareDivisor: 3, SealAfter: 6 * time.Second, FlushEvery: 5 * time.Second}
	sharingReserve = Policy{Horizon: 20 * time.Second, MinHorizon: 2 * time.Second, ReserveDivisor: 5,
		Step: 2 * time.Second, ShareDivisor: 3, SealAfter: 6 * time.Second, FlushEvery: 5 * time.Second}
)

const (
	dayLength     = 36 * time.Second
	homeWeight    = 40.0 // 48 requests a second at each of two homes.
	shortDuration = 300 * time.Millisecond
)

// newBudgetDay returns a script of a budget with two homes whose prepaid tokens are the demand of dayLength.
func newBudgetDay(seed uint64, p Policy) *script {
	s := newScript(seed, escrow{p}, homeWeight, homeWeight)
	s.lasts = shortDuration
	s.topUp("first", int64(2*homeWeight*requestRate*dayLength.Seconds()*meanTokens*meanUse))
	for _, r := range s.routers {
		s.arrive(r)
	}
	return s
}

// runUntil lets the day pass until a time after its start, and fails if more is spent than is prepaid.
func (s *script) runUntil(t *testing.T, at time.Duration) {
	for s.Next(start.Add(at)) {
		require.LessOrEqual(t, s.spent, s.store.record.Prepaid())
	}
}

// Guards against homes that run dry in a long outage of the store although most of the budget is left: outages that overlapped kept
// the store away for 12 s, twice as long as grants of 6 s last.
func TestReserveBridgesALongOutageWhilePlentyIsLeft(t *testing.T) {
	const outage, outageLength = 4 * time.Second, 12 * time.Second
	refused := func(seed uint64, p Policy) float64 {
		s := newBudgetDay(seed, p)
		s.runUntil(t, outage)
		before := s.figures
		s.storeDown = true
		s.runUntil(t, outage+outageLength)
		return percent(s.figures.refused-before.refused, s.figures.requests-before.requests)
	}
	var fixed, sharing float64
	for seed := range uint64(*scriptSeeds) {
		fixed += refused(seed, fixedReserve) / float64(*scriptSeeds)
		sharing += refused(seed, sharingReserve) / float64(*scriptSeeds)
	}
	t.Logf("refused in the outage: %.1f%% with grants of 6 s, %.1f%% with a fifth of what is left", fixed, sharing)
	require.Less(t, sharing, fixed/2)
}

// Guards against homes that hold most of what is left of a budget when all routers lose power: those tokens count as spent, so that
// after the return requests were refused although their account had paid.
func TestReserveShrinksAsTheBudgetRunsOut(t *testing.T) {
	const loss = 28 * time.Second
	held := func(seed uint64, p Policy) float64 {
		s := newBudgetDay(seed, p)
		s.runUntil(t, loss)
		var sum int64
		for _, r := range s.routers {
			sum += r.holder.accounts[testBudget].headroom()
		}
		return percent(int(sum), int(s.store.record.Prepaid()-s.spent-s.running))
	}
	for seed := range uint64(*scriptSeeds) {
		fixed, sharing := held(seed, fixedReserve), held(seed, sharingReserve)
		t.Logf("seed %d: held by the homes of what is left: %.0f%% with grants of 6 s, %.0f%% with a fifth of what is left", seed, fixed, sharing)
		require.LessOrEqual(t, sharing, 100*2*1.5/5, "two homes hold a fifth each, and return what is above one and a half of it")
		require.Less(t, sharing, fixed)
	}
}

// Guards against a target that a nearly empty budget drives to zero, which would cost a write of the store for each request.
func TestGrantTargetKeepsItsMinimum(t *testing.T) {
	a := account{rate: 1000, rateAt: start, rateSince: start.Add(-time.Minute)}
	perSecond := a.demand()
	target := func(free int64) float64 {
		a.record.TopUps = map[string]int64{"first": free}
		return float64(a.grantTarget(sharingReserve)) / perSecond
	}
	const delta = 0.01 // Seconds of demand.
	require.InDelta(t, 2, target(0), delta)
	require.InDelta(t, 10, target(int64(50*perSecond)), delta)
	require.InDelta(t, 20, target(int64(1000*perSecond)), delta)
}
