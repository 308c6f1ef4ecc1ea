package gateway

import (
	"math"
	"sync"
	"time"
)

// overload measures whether this router gets more requests than its VM can serve; the zero value has no measurements.
//
// A caller keeps its connections, so a few busy ones can overload a router
// while all others are idle. Such callers are moved by closing connections;
// what exceeds the capacity nevertheless is refused at once, as it would
// otherwise delay all requests until none is answered in time.
type overload struct {
	mu       sync.Mutex
	rate     float64 // Requests per second, averaged over rateWindow; guarded by mu.
	rateAt   time.Time
	excess   float64 // Connections to close so far, as a fraction; guarded by mu.
	spare    float64 // Requests that may be served at once, at most those of burstWindow; guarded by mu.
	lags     [lagSamples]time.Duration
	nextLag  int
	tickedAt time.Time
	shunned  bool // Callers are sent to other routers; guarded by mu.
}

const (
	rateWindow  = time.Second
	burstWindow = time.Second            // Requests beyond the capacity are served for about this time.
	shunShare   = 0.9                    // Share of the capacity from which on callers are sent to other routers.
	returnShare = 0.5                    // Share of the capacity below which callers are sent to this router again.
	targetShare = 0.8                    // Share of the capacity above which connections are closed.
	closeShare  = 0.1                    // Closed connections for each excess request; a busy caller repeats within rateWindow.
	lagSamples  = 4                      // Ticks that must all be late, so that a single pause is no overload.
	maxLag      = 150 * time.Millisecond // Lateness of ticks above which requests are refused; each waits for the processor several times.
)

// admission is the decision about one arriving request.
type admission struct {
	Refused         bool
	CloseConnection bool // The caller is to open another connection, and so to reach another router.
}

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

// arrived counts a request and decides about it; capacity is the number of requests per second that the VM can serve.
func (o *overload) arrived(now time.Time, capacity float64) admission {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.decay(now, capacity)
	o.rate += 1 / rateWindow.Seconds()
	if o.lag() > maxLag || o.spare < 1 {
		return admission{Refused: true, CloseConnection: true}
	}
	o.spare--
	if target := targetShare * capacity; o.rate > target {
		o.excess += closeShare * (1 - target/o.rate)
	}
	if o.excess < 1 {
		return admission{}
	}
	o.excess--
	return admission{CloseConnection: true}
}

// lag returns the least lateness of the last ticks; mu must be held.
func (o *overload) lag() time.Duration {
	least := o.lags[0]
	for _, lag := range o.lags {
		least = min(least, lag)
	}
	return least
}

// load returns the load that the directory goes by: 1 if callers are to be sent to other routers, otherwise 0.
//
// It changes rarely, because callers abandon their connections to a router that is no longer listed.
func (o *overload) load(now time.Time, capacity float64) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.decay(now, capacity)
	limit := shunShare
	if o.shunned {
		limit = returnShare
	}
	if o.shunned = o.rate > limit*capacity || o.lag() > maxLag; o.shunned {
		return 1
	}
	return 0
}

// decay brings the averages up to now; mu must be held.
func (o *overload) decay(now time.Time, capacity float64) {
	elapsed := now.Sub(o.rateAt)
	if elapsed <= 0 {
		return
	}
	o.spare = min(o.spare+capacity*elapsed.Seconds(), capacity*burstWindow.Seconds())
	o.rate *= math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
	o.rateAt = now
}
