package endpoint

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRetriesOfOneServiceAreNotEarnedByAnother lets the attempts of a service fail while another one has most of the traffic.
func TestRetriesOfOneServiceAreNotEarnedByAnother(t *testing.T) {
	f := newRetryFleet(1)
	f.rate["m"], f.rate["s"] = 60, 8
	f.Run(20 * time.Second)
	f.failing["s"] = 1
	f.Run(20 * time.Second)
	f.requireRetriesWithinLimits(t)
}

// TestRetriesOfShortSilencesBesideABusyService lets all endpoints of a service fall silent for a second, while some attempts fail
// and another service has most of the traffic.
func TestRetriesOfShortSilencesBesideABusyService(t *testing.T) {
	f := newRetryFleet(1)
	f.stall, f.timeout = 700*time.Millisecond, 20*time.Second
	f.rate["m"], f.rate["s"] = 8, 30
	f.Run(20 * time.Second)
	f.failing["m"] = 0.2
	for range 3 {
		for i := range 9 {
			f.pause(fmt.Sprint("m", i), 1200*time.Millisecond)
		}
		f.Run(6 * time.Second)
	}
	f.Run(10 * time.Second)
	f.requireRetriesWithinLimits(t)
}

// TestRetriesAreEarnedByRecentRequests lets long requests finish after the traffic has fallen, while attempts fail.
func TestRetriesAreEarnedByRecentRequests(t *testing.T) {
	f := newRetryFleet(1)
	f.stall, f.timeout = time.Minute, time.Minute
	f.work["m"] = 24 * time.Second
	f.rate["m"] = 12
	f.Run(14 * time.Second)
	f.rate["m"] = 2
	f.work["m"] = 50 * time.Millisecond
	f.Run(6 * time.Second)
	f.failing["m"] = 1
	f.Run(20 * time.Second)
	f.requireRetriesWithinLimits(t)
}

// TestRetriesOfALongSilenceArriveTogether pauses most endpoints of a service, which then read all that was sent to them.
func TestRetriesOfALongSilenceArriveTogether(t *testing.T) {
	f := newRetryFleet(1)
	f.rate["m"] = 10
	f.Run(20 * time.Second)
	for i := range 8 {
		f.pause(fmt.Sprint("m", i), 12*time.Second)
	}
	f.failing["m"] = 0.2
	f.Run(27 * time.Second)
	f.requireRetriesWithinLimits(t)
}

// TestRetriesOfRestartedRouters restarts all routers twice while attempts fail; they find each other some seconds later.
func TestRetriesOfRestartedRouters(t *testing.T) {
	f := newRetryFleet(1)
	f.rate["m"] = 2
	f.failing["m"] = 1
	f.Run(20 * time.Second)
	for range 2 {
		for _, r := range f.routers {
			r.start()
			r.count(1)
		}
		f.Run(4 * time.Second)
	}
	for _, r := range f.routers {
		r.count(len(f.routers))
	}
	f.Run(20 * time.Second)
	f.requireRetriesWithinLimits(t)
}

// disturb makes one random change.
func (f *retryFleet) disturb() {
	service := []string{"m", "s"}[f.random.IntN(2)]
	switch f.random.IntN(8) {
	case 0, 1, 2:
		d := time.Duration((0.5 + 11*f.random.Float64()*f.random.Float64()) * float64(time.Second))
		share := f.random.Float64()
		for _, name := range []string{"m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8", "s0", "s1", "s2"} {
			if name[:1] == service && f.random.Float64() < share {
				f.pause(name, d)
			}
		}
	case 3:
		f.failing[service] = max(0, 1.6*f.random.Float64()-0.6)
	case 4:
		f.rate[service] = 1 + 30*f.random.Float64()*f.random.Float64()
	case 5:
		r := f.routers[f.random.IntN(len(f.routers))]
		r.start()
		r.count(1)
		f.After(time.Duration(f.random.Int64N(int64(3*time.Second))), func() { r.count(len(f.routers)) })
	case 6:
		r := f.routers[f.random.IntN(len(f.routers))]
		r.count(1 + f.random.IntN(len(f.routers)))
		f.After(time.Duration(f.random.Int64N(int64(5*time.Second))), func() { r.count(len(f.routers)) })
	case 7:
		share := 0.2 + 0.8*f.random.Float64()
		for _, r := range f.routers {
			r.handle(RetryBudgetChanged{share * f.limits.RetryRatio, share * f.limits.FleetRetryReserve})
			f.After(time.Duration(f.random.Int64N(int64(8*time.Second))), func() { r.handle(f.limits) })
		}
	}
}

// TestRetriesStayWithinLimits makes random changes; each is drawn from the seed.
func TestRetriesStayWithinLimits(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newRetryFleet(seed)
			f.rate["m"], f.rate["s"] = 10, 10
			for range 30 {
				f.Run(time.Duration((0.2 + 4*f.random.Float64()) * float64(time.Second)))
				f.disturb()
			}
			f.Run(20 * time.Second)
			f.requireRetriesWithinLimits(t)
		})
	}
}

// TestRetriesOfASilenceThatIsLongerThanMaxArrivalDelay pauses most endpoints for longer than an attempt counts as pending.
func TestRetriesOfASilenceThatIsLongerThanMaxArrivalDelay(t *testing.T) {
	for _, silence := range []time.Duration{11 * time.Second, 15 * time.Second, 40 * time.Second} {
		f := newRetryFleet(1)
		f.rate["m"] = 10
		f.Run(20 * time.Second)
		for i := range 8 {
			f.pause(fmt.Sprint("m", i), silence)
		}
		f.failing["m"] = 0.3
		f.Run(silence + 25*time.Second)
		f.requireRetriesWithinLimits(t)
	}
}

// TestAnswerThatWaitedToBeReadConfirmsNothing lets a router stall while the answer of an endpoint, which is paused then, waits in
// its socket.
func TestAnswerThatWaitedToBeReadConfirmsNothing(t *testing.T) {
	p := &Pool{Policy: Policy{RetryReserve: 100}}
	p.Handle(start, Configured{twoEndpoints.Endpoints[:1]})
	submitTo(p, start, "1") // Its answer is in the socket; the endpoint is paused from now on.
	sent := start.Add(10 * time.Millisecond)
	submitTo(p, sent, "2")
	later := sent.Add(300 * time.Millisecond) // The router was suspended.
	p.Handle(later, Answered{"1"})
	require.False(t, p.jobs["2"].arrivals.arrived, "request 2 cannot have been read yet")
}

// TestNothingIsPendingAfterTheTrafficEnds lets requests end in every way, and then none come.
func TestNothingIsPendingAfterTheTrafficEnds(t *testing.T) {
	for seed := range uint64(30) {
		f := newRetryFleet(seed)
		f.rate["m"], f.rate["s"] = 10, 10
		for range 20 {
			f.Run(time.Second)
			f.disturb()
			for _, r := range f.routers {
				for service, l := range r.pool.retries {
					require.GreaterOrEqual(t, l.pending, 0, service)
				}
			}
		}
		f.pause("m0", time.Hour)
		f.Run(10 * time.Second)
		f.rate["m"], f.rate["s"] = 0, 0
		f.Run(40 * time.Second)
		for _, r := range f.routers {
			require.Empty(t, r.pool.jobs)
			require.Empty(t, r.pool.unconfirmed)
			require.Empty(t, r.pool.retries)
		}
	}
}
