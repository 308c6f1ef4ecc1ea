package decision

import (
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTickerFollowsTheWork checks, in virtual time, that an idle process is woken rarely and that work is not delayed by it.
func TestTickerFollowsTheWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ticker := Ticker{Busy: 25 * time.Millisecond, Idle: 200 * time.Millisecond}
		stop := make(chan struct{})
		start := time.Now()
		var busy atomic.Bool
		var mu sync.Mutex
		var calls []time.Duration
		called := func() []time.Duration {
			synctest.Wait()
			mu.Lock()
			defer mu.Unlock()
			return slices.Clone(calls)
		}
		go ticker.Run(stop, func(now time.Time) bool {
			mu.Lock()
			defer mu.Unlock()
			calls = append(calls, now.Sub(start))
			return busy.Load()
		})
		time.Sleep(time.Second)
		require.Equal(t, []time.Duration{25 * time.Millisecond, 225 * time.Millisecond, 425 * time.Millisecond, 625 * time.Millisecond, 825 * time.Millisecond}, called())
		time.Sleep(10 * time.Millisecond)
		busy.Store(true)
		ticker.Wake()
		time.Sleep(20 * time.Millisecond)
		require.Len(t, called(), 6, "a request that begins to wait does not wait for the idle period")
		time.Sleep(100 * time.Millisecond)
		require.Len(t, called(), 10, "ticks are frequent while there is work")
		close(stop)
		synctest.Wait()
	})
}
