package keyvalue

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
)

// Defaults of a Guarded store in calls a second.
const (
	DefaultWritesPerSecond = 50
	DefaultReadsPerSecond  = 200
)

// Limits of the breaker of a Guarded store.
const (
	failuresToOpen = 5 // Failed calls in a row.
	firstPause     = 200 * time.Millisecond
	longestPause   = 2 * time.Second
)

// Guarded keeps one process within its budget of store calls and spares a store that fails.
//
// After several failed calls in a row, calls fail at once for a jittered pause
// that grows; then a single call tries the store again.
type Guarded struct {
	Store

	writes *rate.Limiter
	reads  *rate.Limiter

	mu       sync.Mutex
	failures int       // Guarded by mu; in a row.
	openedAt time.Time // Guarded by mu.
	pause    time.Duration
}

// NewGuarded guards a store with limits in calls a second; zero takes the defaults.
func NewGuarded(store Store, writes, reads int) *Guarded {
	if writes <= 0 {
		writes = DefaultWritesPerSecond
	}
	if reads <= 0 {
		reads = DefaultReadsPerSecond
	}
	return &Guarded{
		Store:  store,
		writes: rate.NewLimiter(rate.Limit(writes), writes),
		reads:  rate.NewLimiter(rate.Limit(reads), reads),
	}
}

// Get reads one key.
func (g *Guarded) Get(ctx context.Context, key string) (Entry, error) {
	if err := g.allow(g.reads); err != nil {
		return Entry{Key: key}, err
	}
	entry, err := g.Store.Get(ctx, key)
	g.note(err)
	return entry, err
}

// Put writes one key on a condition; a call that is held back has no effect.
func (g *Guarded) Put(ctx context.Context, put Put) (Written, error) {
	if err := g.allow(g.writes); err != nil {
		return Written{Outcome: budget.NoEffect}, err
	}
	written, err := g.Store.Put(ctx, put)
	g.note(err)
	return written, err
}

// Remove removes one key on a condition; a call that is held back has no effect.
func (g *Guarded) Remove(ctx context.Context, key string, ifVersion uint64) (Written, error) {
	if err := g.allow(g.writes); err != nil {
		return Written{Outcome: budget.NoEffect}, err
	}
	written, err := g.Store.Remove(ctx, key, ifVersion)
	g.note(err)
	return written, err
}

// List reads all keys that begin with prefix.
func (g *Guarded) List(ctx context.Context, prefix string) ([]Entry, error) {
	if err := g.allow(g.reads); err != nil {
		return nil, err
	}
	entries, err := g.Store.List(ctx, prefix)
	g.note(err)
	return entries, err
}

// Watch waits for a version of key above after.
func (g *Guarded) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error) {
	if err := g.allow(g.reads); err != nil {
		return Entry{Key: key}, err
	}
	entry, err := g.Store.Watch(ctx, key, after, wait)
	g.note(err)
	return entry, err
}

func (g *Guarded) allow(limit *rate.Limiter) error {
	now := time.Now()
	if !g.tries(now) {
		return ErrUnavailable
	}
	if !limit.AllowN(now, 1) {
		return ErrLimited
	}
	return nil
}

// tries reports whether a call may be made; while the breaker is open, one call in each pause may.
func (g *Guarded) tries(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failures < failuresToOpen {
		return true
	}
	if now.Sub(g.openedAt) < g.pause {
		return false
	}
	g.openedAt = now
	return true
}

func (g *Guarded) note(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil {
		g.failures = 0
		g.pause = 0
		return
	}
	g.failures++
	if g.failures < failuresToOpen {
		return
	}
	g.openedAt = time.Now()
	next := min(max(firstPause, 2*g.pause), longestPause)
	g.pause = next/2 + rand.N(next/2)
}

// Recovered lets calls through at once, since the store was heard by other means.
func (g *Guarded) Recovered() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failures = 0
	g.pause = 0
}
