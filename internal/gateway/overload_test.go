package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRequestsAreRefusedWhileTheProcessorIsOverloaded replays a router whose goroutines wait for the processor. A single
// pause, such as that of a frozen VM, is no overload.
func TestRequestsAreRefusedWhileTheProcessorIsOverloaded(t *testing.T) {
	const late = maxLag + tickPeriod + time.Millisecond
	var o overload
	now := start
	tick := func(after time.Duration) {
		now = now.Add(after)
		o.ticked(now, tickPeriod)
	}
	for range 2 * lagSamples {
		tick(tickPeriod)
	}
	tick(5 * time.Second)
	require.False(t, o.arrived(now))
	for range lagSamples {
		tick(late)
	}
	require.True(t, o.arrived(now))
	require.EqualValues(t, 1, o.load(now, 100))
	tick(tickPeriod)
	require.False(t, o.arrived(now))
}

func TestLoadChangesRarely(t *testing.T) {
	const capacity = 58.0
	var o overload
	now := start
	loads := func(rate float64, d time.Duration) map[float64]int {
		seen := map[float64]int{}
		for end := now.Add(d); now.Before(end); now = now.Add(time.Duration(float64(time.Second) / rate)) {
			require.False(t, o.arrived(now), "requests that the processor can serve are served, whatever the capacity")
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
