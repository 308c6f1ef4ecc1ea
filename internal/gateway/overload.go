package gateway

import (
	"math"
	"sync"
	"time"
)

// overload measures whether this router gets more requests than its VM can serve; the zero value has no measurements.
//
// Some callers keep to one router, which can be overloaded while all others are
// idle. The directory sends the other callers away from it, and requests that
// would wait for the processor until none is answered in time are refused.
type overload struct {
	mu       sync.Mutex
	rate     float64                   // Requests per second, averaged over rateWindow; guarded by mu.
	rateAt   time.Time                 // Guarded by mu.
	lags     [lagSamples]time.Duration // Lateness of the last ticks; guarded by mu.
	nextLag  int                       // Guarded by mu.
	tickedAt time.Time                 // Guarded by mu.
	shunned  bool                      // Callers are sent to other routers; guarded by mu.
}

const (
	rateWindow  = time.Second
	shunShare   = 0.9                    // Share of the capacity from which on callers are sent to other routers.
	returnShare = 0.5                    // Share of the capacity below which callers are sent to this router again.
	lagSamples  = 4                      // Ticks that must all be late, so that a single pause is no overload.
	maxLag      = 150 * time.Millisecond // Lateness of ticks above which requests are refused; each waits for the processor several times.
)

// ticked records a tick, which is late if the process waits for the processor.
func (o *overload) ticked(now time.Time, period time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.tickedAt.IsZero() {
		o.lags[o.nextLag] = now.Sub(o.tickedAt) - period
		o.nextLag = (o.nextLag + 1) % lagSamples
	}
	o.tickedAt = now
}

// arrived counts a request and reports whether it is to be refused.
func (o *overload) arrived(now time.Time) (refused bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.decay(now)
	o.rate += 1 / rateWindow.Seconds()
	return o.late()
}

// load returns the load that the directory goes by: 1 if callers are to be sent to other routers, otherwise 0. The
// capacity is the number of requests per second that the VM can serve.
//
// It changes rarely, because callers abandon their connections to a router that is no longer listed.
func (o *overload) load(now time.Time, capacity float64) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.decay(now)
	limit := shunShare
	if o.shunned {
		limit = returnShare
	}
	if o.shunned = o.rate > limit*capacity || o.late(); o.shunned {
		return 1
	}
	return 0
}

// late reports whether all of the last ticks were late; mu must be held.
func (o *overload) late() bool {
	for _, lag := range o.lags {
		if lag <= maxLag {
			return false
		}
	}
	return true
}

// decay brings the rate up to now; mu must be held.
func (o *overload) decay(now time.Time) {
	elapsed := now.Sub(o.rateAt)
	if elapsed <= 0 {
		return
	}
	o.rate *= math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
	o.rateAt = now
}
