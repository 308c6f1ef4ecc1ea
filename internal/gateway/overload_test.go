package gateway

import (
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRequestsAreRefusedWhileTheProcessorIsOverloaded replays a router whose goroutines wait for the processor. A single
// pause, such as that of a frozen VM, is no overload, nor are the few waits of an idle process.
func TestRequestsAreRefusedWhileTheProcessorIsOverloaded(t *testing.T) {
	var o overload
	now := start
	measure := func(samples uint64, p95 time.Duration) {
		now = now.Add(measurePeriod)
		require.True(t, o.due(now))
		o.measured(now, schedulerWait{Samples: samples, P95: p95})
		require.False(t, o.due(now))
	}
	measure(200, 20*time.Millisecond)
	measure(200, 5*time.Second)
	require.False(t, o.arrived(now, requestBytes))
	measure(200, 20*time.Millisecond)
	measure(3, time.Second)
	measure(3, time.Second)
	require.False(t, o.arrived(now, requestBytes))
	measure(200, maxWait)
	measure(200, maxWait)
	require.True(t, o.arrived(now, requestBytes))
	require.True(t, o.isLate(now))
	require.EqualValues(t, 1, o.load(now, 100))
	measure(200, 20*time.Millisecond)
	require.False(t, o.arrived(now, requestBytes))
}

// TestWaitsBehindOtherGoroutinesAreMeasured checks the measurement with goroutines that keep the processors busy.
func TestWaitsBehindOtherGoroutinesAreMeasured(t *testing.T) {
	var s schedulerWaits
	s.measure()
	var done sync.WaitGroup
	for range 64 * runtime.GOMAXPROCS(0) {
		done.Go(func() {
			for end := time.Now().Add(2 * time.Millisecond); time.Now().Before(end); {
				runtime.Gosched()
			}
		})
	}
	done.Wait()
	w := s.measure()
	require.NotZero(t, w.Samples)
	require.NotZero(t, w.P95)
	require.Equal(t, time.Second, percentile95([]uint64{90, 10}, []float64{0, 1, 2}))
	require.Zero(t, percentile95([]uint64{96, 4}, []float64{0, 1, 2}))
	require.Zero(t, percentile95([]uint64{0, 0}, []float64{0, 1, 2}))
}

const requestBytes = 4000

// TestCallersDoNotFillTheLink replays callers that send more than the link carries until they are refused, as seen in
// incident inc1: the answers of all peers and endpoints waited behind their requests.
func TestCallersDoNotFillTheLink(t *testing.T) {
	const linkRequests = 250.0 // Requests per second that fill the link.
	o := overload{LinkBytesPerSecond: linkRequests * requestBytes}
	now := start
	refusedShare := func(rate float64) float64 {
		refused, total := 0.0, 0.0
		for end := now.Add(5 * time.Second); now.Before(end); now = now.Add(time.Duration(float64(time.Second) / rate)) {
			total++
			if o.arrived(now, requestBytes) {
				refused++
			}
		}
		return refused / total
	}
	require.Zero(t, refusedShare(0.6*linkRequests))
	require.False(t, o.isLate(now))
	require.InDelta(t, 0.25, refusedShare(0.7*linkRequests), 0.1)
	require.False(t, o.isLate(now))
	require.Greater(t, refusedShare(linkRequests), 0.9)
	require.True(t, o.isLate(now))
	refusedShare(0.3 * linkRequests)
	require.Zero(t, refusedShare(0.6*linkRequests))
	o.LinkBytesPerSecond = 0
	require.Zero(t, refusedShare(3*linkRequests), "the link is not known")
}

func TestLoadChangesRarely(t *testing.T) {
	const capacity = 58.0
	var o overload
	now := start
	loads := func(rate float64, d time.Duration) map[float64]int {
		seen := map[float64]int{}
		for end := now.Add(d); now.Before(end); now = now.Add(time.Duration(float64(time.Second) / rate)) {
			require.False(t, o.arrived(now, requestBytes), "requests that the processor can serve are served, whatever the capacity")
			seen[o.load(now, capacity)]++
		}
		return seen
	}
	loads(capacity/2, 5*time.Second)
	require.NotContains(t, loads(0.8*capacity, 5*time.Second), 1.0)
	loads(2*capacity, 3*time.Second)
	require.NotContains(t, loads(0.8*capacity, 5*time.Second), 0.0, "a router that was overloaded stays off the lists for a while")
	loads(0.3*capacity, 5*time.Second)
	require.NotContains(t, loads(0.3*capacity, 5*time.Second), 1.0)
}
