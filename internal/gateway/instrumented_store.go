package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
)

// instrumentedStore counts the calls to a Store and records when it last answered.
type instrumentedStore struct {
	Store

	countCall  func(call string, err error) // Called after each call.
	onAnswer   func(time.Time)              // Called after each answer.
	lastAnswer atomic.Pointer[time.Time]    // Nil before the first answer; with the monotonic clock, as the time of day may jump.

	mu     sync.Mutex
	counts map[string]int // Calls by name since the last resetCounts; guarded by mu.
}

// resetCounts returns the number of calls by name since the previous resetCounts.
//
// Failed calls are counted once more under their name with the suffix Failed.
func (s *instrumentedStore) resetCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	s.counts = nil
	return counts
}

// record counts a call and, if the store answered it, records the time of the answer.
func (s *instrumentedStore) record(call string, err error) {
	s.countCall(call, err)
	s.mu.Lock()
	if s.counts == nil {
		s.counts = map[string]int{}
	}
	s.counts[call]++
	if err != nil {
		s.counts[call+"Failed"]++
	}
	s.mu.Unlock()
	if err == nil || errors.Is(err, keyvalue.ErrHistoryGone) || errors.Is(err, keyvalue.ErrLeaseEnded) {
		now := time.Now()
		s.lastAnswer.Store(&now)
		s.onAnswer(now)
	}
}

// silence returns the time since the last answer, or zero before the first one.
func (s *instrumentedStore) silence(now time.Time) time.Duration {
	at := s.answeredAt()
	if at.IsZero() {
		return 0
	}
	return now.Sub(at)
}

// answeredAt returns the time of the last answer, or zero before the first one.
func (s *instrumentedStore) answeredAt() time.Time {
	if at := s.lastAnswer.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Get reads one key.
func (s *instrumentedStore) Get(ctx context.Context, key string) (keyvalue.Entry, error) {
	entry, err := s.Store.Get(ctx, key)
	s.record("Get", err)
	return entry, err
}

// GetStale reads one key, possibly in an earlier version.
func (s *instrumentedStore) GetStale(ctx context.Context, key string) (keyvalue.Entry, error) {
	entry, err := s.Store.GetStale(ctx, key)
	s.record("GetStale", err)
	return entry, err
}

// Put writes one key if its version is the expected one.
func (s *instrumentedStore) Put(ctx context.Context, put keyvalue.Put) (keyvalue.WriteResult, error) {
	written, err := s.Store.Put(ctx, put)
	s.record("Put", err)
	return written, err
}

// Remove removes one key if its version is the expected one.
func (s *instrumentedStore) Remove(ctx context.Context, key string, ifVersion uint64) (keyvalue.WriteResult, error) {
	written, err := s.Store.Remove(ctx, key, ifVersion)
	s.record("Remove", err)
	return written, err
}

// Range reads all keys with a prefix.
func (s *instrumentedStore) Range(ctx context.Context, prefix string, onPage func([]keyvalue.Entry)) ([]keyvalue.Entry, uint64, error) {
	entries, revision, err := s.Store.Range(ctx, prefix, onPage)
	s.record("Range", err)
	return entries, revision, err
}

// Changes waits for changes after a revision of the store.
func (s *instrumentedStore) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) (keyvalue.Changes, error) {
	changes, err := s.Store.Changes(ctx, prefix, after, wait)
	s.record("Changes", err)
	return changes, err
}

// Grant starts a lease.
func (s *instrumentedStore) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	lease, err := s.Store.Grant(ctx, ttl)
	s.record("Grant", err)
	return lease, err
}

// Renew extends a lease.
func (s *instrumentedStore) Renew(ctx context.Context, lease uint64) error {
	err := s.Store.Renew(ctx, lease)
	s.record("Renew", err)
	return err
}
