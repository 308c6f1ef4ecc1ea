package gateway

import (
	"math"
	"sync"
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/route"
)

// durations tracks how long the requests of each route take at most; the zero value is empty.
type durations struct {
	mu    sync.Mutex
	peaks map[string]peak // By route name; guarded by mu.
}

// peak is the longest recent duration of a route's requests; it halves every peakHalfLife.
type peak struct {
	duration time.Duration
	at       time.Time
}

const (
	peakHalfLife = 30 * time.Second
	maxDurations = 512 // Routes that are tracked.
)

func (p peak) value(now time.Time) time.Duration {
	return time.Duration(float64(p.duration) * math.Exp2(-float64(now.Sub(p.at))/float64(peakHalfLife)))
}

// record adds the duration of a request that was sent to an endpoint.
func (d *durations) record(now time.Time, routeName string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if took < d.peaks[routeName].value(now) {
		return
	}
	if _, known := d.peaks[routeName]; !known && len(d.peaks) >= maxDurations {
		d.peaks = nil
	}
	if d.peaks == nil {
		d.peaks = map[string]peak{}
	}
	d.peaks[routeName] = peak{took, now}
}

// estimate returns how long a request of a route may take, which is at most left.
//
// Recent durations do not bound the next one. An idempotent request that outlasts them is repeated by its caller; a stream
// or a request that may run once only is lost, so that nothing but its deadline counts.
func (d *durations) estimate(now time.Time, r *route.Route, left time.Duration) time.Duration {
	if r.Kind != route.Idempotent {
		return left
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	p, known := d.peaks[r.Name]
	switch {
	case known:
		const margin = 1.25
		return min(left, time.Duration(margin*float64(p.value(now))))
	case r.Objective <= 0:
		return left
	}
	return min(left, r.Objective)
}
