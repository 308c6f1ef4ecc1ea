package gateway

import (
	"math"
	"sync"
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/admission"
)

// overload measures whether this router gets more requests than its VM can serve; the zero value has no measurements.
//
// Some callers keep to one router, which can be overloaded while all others are
// idle. The directory sends the other callers away from it, and requests that
// would wait for the processor or the link until none is answered in time are
// refused, so that their callers can turn to other routers in time.
//
// The wait is measured over all goroutines: timers, and with them the ticks of
// the gateway, come before goroutines that wait for the network.
type overload struct {
	LinkBytesPerSecond float64 // Bandwidth of the VM's link in each direction; zero if not known. Set before the first request.

	mu           sync.Mutex
	rate         float64       // Requests per second, averaged over rateWindow; guarded by mu.
	byteRate     float64       // Bytes per second that callers send, likewise; guarded by mu.
	rateAt       time.Time     // Guarded by mu.
	refusals     float64       // Refusals that are due because of the link, less those made; below 1. Guarded by mu.
	wait         schedulerWait // Last measurement; guarded by mu.
	measuredAt   time.Time     // Guarded by mu.
	lateMeasures int           // Number of measurements in a row that were too long; guarded by mu.
	wasLate      bool          // State at the last measurement; guarded by mu.
	shunned      bool          // Callers are sent to other routers; guarded by mu.
}

const (
	rateWindow  = time.Second
	shunShare   = 0.9 // Share of the capacity from which on callers are sent to other routers.
	returnShare = 0.5 // Share of the capacity below which callers are sent to this router again.

	linkRefuseFrom = 0.65                    // Share of the link that callers may use before some requests are refused; answers and peers need the rest.
	linkRefuseAll  = 0.85                    // Share of the link from which on all are refused.
	lateLinkExcess = admission.MinLinkExcess // Share of requests to refuse because of the link from which on the process is late.

	measurePeriod   = 200 * time.Millisecond // Between two measurements of the wait for the processor.
	minWaitSamples  = 16                     // Fewer waits say nothing about the load.
	maxWait         = 100 * time.Millisecond // 95th percentile above which the process is late; each request waits about twenty times.
	endWait         = 30 * time.Millisecond  // 95th percentile below which the process is no longer late.
	minLateMeasures = 2                      // In a row, so that a single pause of the VM is no overload.
)

// due reports whether the wait for the processor is to be measured.
func (o *overload) due(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return now.Sub(o.measuredAt) >= measurePeriod
}

// measured records how long goroutines waited for the processor since the last measurement. It returns the state of the
// process and whether it became late, or no longer is, since the last measurement.
func (o *overload) measured(now time.Time, w schedulerWait) (state overloadState, changed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.decay(now)
	o.measuredAt = now
	o.wait = w
	limit := maxWait
	if o.processorLate() {
		limit = endWait
	}
	if w.Samples >= minWaitSamples && w.P95 >= limit {
		o.lateMeasures++
	} else {
		o.lateMeasures = 0
	}
	state = o.stateNow()
	changed = state.Late != o.wasLate
	o.wasLate = state.Late
	return state, changed
}

// overloadState describes the load of the process.
type overloadState struct {
	Late           bool    // Because of the processor or the link.
	LinkExcess     float64 // Share of the requests to refuse because of the link.
	ProcessorLate  bool
	Rate           float64 // Requests per second.
	BytesPerSecond float64 // Sent by callers.
}

// isLate reports whether the process waits so long for its processor or its link that its timeouts say nothing about
// others.
func (o *overload) isLate(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.decay(now)
	return o.processorLate() || o.linkExcess() >= lateLinkExcess
}

// state returns the current load of the process.
func (o *overload) state(now time.Time) overloadState {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.decay(now)
	return o.stateNow()
}

// stateNow returns the load of the process; mu must be held and the rates be up to date.
func (o *overload) stateNow() overloadState {
	out := overloadState{LinkExcess: o.linkExcess(), ProcessorLate: o.processorLate(), Rate: o.rate, BytesPerSecond: o.byteRate}
	out.Late = out.ProcessorLate || out.LinkExcess >= lateLinkExcess
	return out
}

// lastWait returns the last measurement.
func (o *overload) lastWait() schedulerWait {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.wait
}

// arrived counts a request of some bytes and reports whether it is to be refused.
func (o *overload) arrived(now time.Time, size int) (refused bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.decay(now)
	o.rate += 1 / rateWindow.Seconds()
	o.byteRate += float64(size) / rateWindow.Seconds()
	o.refusals += o.linkExcess()
	if o.refusals >= 1 {
		o.refusals--
		return true
	}
	return o.processorLate()
}

// linkExcess returns the share of the requests to refuse because of the link, which grows with its use; mu must be held.
//
// When the link is full, the answers of endpoints and of other routers wait
// behind what callers send, until none of them arrives in time.
func (o *overload) linkExcess() float64 {
	if o.LinkBytesPerSecond <= 0 {
		return 0
	}
	use := o.byteRate / o.LinkBytesPerSecond
	return min(1, max(0, (use-linkRefuseFrom)/(linkRefuseAll-linkRefuseFrom)))
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
	if o.shunned = o.rate > limit*capacity || o.processorLate(); o.shunned {
		return 1
	}
	return 0
}

// processorLate reports whether the last measurements were too long; mu must be held.
func (o *overload) processorLate() bool { return o.lateMeasures >= minLateMeasures }

// decay brings the rate up to now; mu must be held.
func (o *overload) decay(now time.Time) {
	elapsed := now.Sub(o.rateAt)
	if elapsed <= 0 {
		return
	}
	kept := math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
	o.rate *= kept
	o.byteRate *= kept
	o.rateAt = now
}
