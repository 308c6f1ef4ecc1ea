package gateway

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestBusyCallerIsMovedToOtherRouters replays callers that send 140 requests a second over kept connections to a router
// that can serve 58. A connection that is closed is opened again to one of the other routers.
//
// Nothing moved such callers, and the router held their requests past the timeouts of their routes.
func TestBusyCallerIsMovedToOtherRouters(t *testing.T) {
	const (
		capacity      = 58.0
		perConnection = 7.0 // Requests per second.
	)
	var o overload
	connections := 20.0
	now := start
	for range 2000 {
		now = now.Add(time.Duration(float64(time.Second) / (connections * perConnection)))
		if o.arrived(now, capacity).CloseConnection && connections > 1 {
			connections--
		}
	}
	require.LessOrEqual(t, connections*perConnection, capacity)
	require.GreaterOrEqual(t, connections*perConnection, capacity/2, "not more connections are closed than necessary")
}

func TestConnectionsAreKeptWithinTheCapacity(t *testing.T) {
	for _, capacity := range []float64{200, math.Inf(1)} {
		var o overload
		for i := range 1000 {
			require.Equal(t, admission{}, o.arrived(start.Add(time.Duration(i)*10*time.Millisecond), capacity))
		}
	}
}

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
	require.False(t, o.arrived(now, 100).Refused)
	for range lagSamples {
		tick(late)
	}
	require.Equal(t, admission{Refused: true, CloseConnection: true}, o.arrived(now, 100))
	tick(tickPeriod)
	require.False(t, o.arrived(now, 100).Refused)
}

// TestRequestsBeyondTheCapacityAreRefused replays callers that stay with one router, whatever it answers, and send 230
// requests a second to a VM that can serve 58.
func TestRequestsBeyondTheCapacityAreRefused(t *testing.T) {
	const (
		capacity = 58.0
		rate     = 230
	)
	var o overload
	served := 0
	for i := range 10 * rate {
		if !o.arrived(start.Add(time.Duration(i)*time.Second/rate), capacity).Refused {
			served++
		}
	}
	require.InDelta(t, 10*capacity, served, 1.5*capacity)
}

func TestLoadChangesRarely(t *testing.T) {
	const capacity = 58.0
	var o overload
	now := start
	loads := func(rate float64, d time.Duration) map[float64]int {
		seen := map[float64]int{}
		for end := now.Add(d); now.Before(end); now = now.Add(time.Duration(float64(time.Second) / rate)) {
			o.arrived(now, capacity)
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
