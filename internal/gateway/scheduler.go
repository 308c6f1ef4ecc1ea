package gateway

import (
	"math"
	runtimemetrics "runtime/metrics"
	"time"
)

// schedulerWait is how long goroutines that could run waited for the processor in some period.
type schedulerWait struct {
	Samples uint64        // Number of waits that the runtime sampled.
	P95     time.Duration // 95th percentile of the waits.
}

// schedulerWaits measures the waits of this process's goroutines. The zero value measures from the start of the process.
type schedulerWaits struct {
	sample []runtimemetrics.Sample
	before []uint64 // Counts of the histogram at the last measurement.
}

// measure returns the waits since the last call.
func (s *schedulerWaits) measure() schedulerWait {
	if s.sample == nil {
		s.sample = []runtimemetrics.Sample{{Name: "/sched/latencies:seconds"}}
	}
	runtimemetrics.Read(s.sample)
	if s.sample[0].Value.Kind() != runtimemetrics.KindFloat64Histogram {
		return schedulerWait{}
	}
	h := s.sample[0].Value.Float64Histogram()
	if s.before == nil {
		s.before = make([]uint64, len(h.Counts))
	}
	counts := make([]uint64, len(h.Counts))
	var out schedulerWait
	for i, n := range h.Counts {
		counts[i] = n - s.before[i]
		out.Samples += counts[i]
		s.before[i] = n
	}
	out.P95 = percentile95(counts, h.Buckets)
	return out
}

// percentile95 returns the lower bound of the bucket of a histogram that holds the 95th percentile; bounds are in seconds.
func percentile95(counts []uint64, bounds []float64) time.Duration {
	const share = 0.95
	var total uint64
	for _, n := range counts {
		total += n
	}
	rank := uint64(math.Ceil(share * float64(total)))
	var seen uint64
	for i, n := range counts {
		seen += n
		if n > 0 && seen >= rank {
			return time.Duration(max(0, bounds[i]) * float64(time.Second))
		}
	}
	return 0
}
