package keyvalue

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
)

// Default rate limits of a GuardedStore, in calls per second.
const (
	DefaultWritesPerSecond = 50
	DefaultReadsPerSecond  = 200
)

// Limits of the circuit breaker of a GuardedStore.
const (
	failuresToOpen  = 5 // Consecutive failed calls.
	minOpenInterval = 200 * time.Millisecond
	maxOpenInterval = 2 * time.Second
)

// GuardedStore wraps a Store with the rate limits of one process and a circuit breaker.
//
// After failuresToOpen consecutive failures the breaker opens, so that a failing
// store gets no further load: calls fail immediately for a jittered interval,
// then a single probe call is let through. Each further failure lengthens the
// interval, up to maxOpenInterval.
type GuardedStore struct {
	Store

	writes *rate.Limiter
	reads  *rate.Limiter

	mu       sync.Mutex
	failures int           // Guarded by mu; consecutive failed calls.
	openedAt time.Time     // Guarded by mu; start of the current open interval.
	openFor  time.Duration // Guarded by mu; length of the current open interval.
}

// NewGuardedStore wraps store with limits in calls per second; a limit of zero or less selects the default.
func NewGuardedStore(store Store, writes, reads int) *GuardedStore {
	if writes <= 0 {
		writes = DefaultWritesPerSecond
	}
	if reads <= 0 {
		reads = DefaultReadsPerSecond
	}
	return &GuardedStore{
		Store:  store,
		writes: rate.NewLimiter(rate.Limit(writes), writes),
		reads:  rate.NewLimiter(rate.Limit(reads), reads),
	}
}

// Get reads one key.
func (g *GuardedStore) Get(ctx context.Context, key string) (Entry, error) {
	if err := g.allow(g.reads); err != nil {
		return Entry{Key: key}, err
	}
	entry, err := g.Store.Get(ctx, key)
	g.record(err)
	return entry, err
}

// GetStale reads one key, possibly in an earlier version.
func (g *GuardedStore) GetStale(ctx context.Context, key string) (Entry, error) {
	if err := g.allow(g.reads); err != nil {
		return Entry{Key: key}, err
	}
	entry, err := g.Store.GetStale(ctx, key)
	g.record(err)
	return entry, err
}

// Put writes one key if its version matches; a call that the limits or the breaker reject has no effect.
func (g *GuardedStore) Put(ctx context.Context, put Put) (WriteResult, error) {
	if err := g.allow(g.writes); err != nil {
		return WriteResult{Outcome: budget.NoEffect}, err
	}
	result, err := g.Store.Put(ctx, put)
	g.record(err)
	return result, err
}

// Remove removes one key if its version matches; a call that the limits or the breaker reject has no effect.
func (g *GuardedStore) Remove(ctx context.Context, key string, ifVersion uint64) (WriteResult, error) {
	if err := g.allow(g.writes); err != nil {
		return WriteResult{Outcome: budget.NoEffect}, err
	}
	result, err := g.Store.Remove(ctx, key, ifVersion)
	g.record(err)
	return result, err
}

// List reads all keys that begin with prefix, sorted.
func (g *GuardedStore) List(ctx context.Context, prefix string) ([]Entry, error) {
	if err := g.allow(g.reads); err != nil {
		return nil, err
	}
	entries, err := g.Store.List(ctx, prefix)
	g.record(err)
	return entries, err
}

// Watch waits until key has a version above after, or until wait has passed, and reads it.
func (g *GuardedStore) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error) {
	if err := g.allow(g.reads); err != nil {
		return Entry{Key: key}, err
	}
	entry, err := g.Store.Watch(ctx, key, after, wait)
	g.record(err)
	return entry, err
}

// allow returns the error of a call that the breaker or its rate limit rejects.
func (g *GuardedStore) allow(limit *rate.Limiter) error {
	now := time.Now()
	if !g.admit(now) {
		return ErrUnavailable
	}
	if !limit.AllowN(now, 1) {
		return ErrLimited
	}
	return nil
}

// admit reports whether the breaker lets a call through; an open breaker admits one probe per interval.
func (g *GuardedStore) admit(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failures < failuresToOpen {
		return true
	}
	if now.Sub(g.openedAt) < g.openFor {
		return false
	}
	g.openedAt = now
	return true
}

// record updates the breaker with the result of a call; every error counts as a failure.
func (g *GuardedStore) record(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil {
		g.failures = 0
		g.openFor = 0
		return
	}
	g.failures++
	if g.failures < failuresToOpen {
		return
	}
	g.openedAt = time.Now()
	interval := min(max(minOpenInterval, 2*g.openFor), maxOpenInterval)
	g.openFor = interval/2 + rand.N(interval/2)
}

// ResetBreaker closes the circuit breaker immediately, for callers that have reached the store on another connection.
func (g *GuardedStore) ResetBreaker() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failures = 0
	g.openFor = 0
}
