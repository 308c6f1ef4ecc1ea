package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
)

// countedStore counts the calls of a Store and notes when it last answered.
type countedStore struct {
	Store

	count    func(call string, err error)
	heard    func(time.Time) // Called at each answer.
	answered atomic.Int64    // Nanoseconds of the Unix time; zero before the first answer.

	mu     sync.Mutex
	recent map[string]int // Calls by name since they were last taken; guarded by mu.
}

// takeRecent returns the calls since it was last asked, by name; failed ones are counted apart.
func (s *countedStore) takeRecent() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	recent := s.recent
	s.recent = nil
	return recent
}

func (s *countedStore) note(call string, err error) {
	s.count(call, err)
	s.mu.Lock()
	if s.recent == nil {
		s.recent = map[string]int{}
	}
	s.recent[call]++
	if err != nil {
		s.recent[call+"Failed"]++
	}
	s.mu.Unlock()
	if err == nil || errors.Is(err, keyvalue.ErrHistoryGone) || errors.Is(err, keyvalue.ErrLeaseEnded) {
		now := time.Now()
		s.answered.Store(now.UnixNano())
		s.heard(now)
	}
}

// silence returns the time since the store last answered.
func (s *countedStore) silence(now time.Time) time.Duration {
	at := s.answered.Load()
	if at == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, at))
}

// Get reads one key.
func (s *countedStore) Get(ctx context.Context, key string) (keyvalue.Entry, error) {
	entry, err := s.Store.Get(ctx, key)
	s.note("Get", err)
	return entry, err
}

// Put writes one key on a condition.
func (s *countedStore) Put(ctx context.Context, put keyvalue.Put) (keyvalue.Written, error) {
	written, err := s.Store.Put(ctx, put)
	s.note("Put", err)
	return written, err
}

// Remove removes one key on a condition.
func (s *countedStore) Remove(ctx context.Context, key string, ifVersion uint64) (keyvalue.Written, error) {
	written, err := s.Store.Remove(ctx, key, ifVersion)
	s.note("Remove", err)
	return written, err
}

// Range reads all keys that begin with prefix.
func (s *countedStore) Range(ctx context.Context, prefix string) ([]keyvalue.Entry, uint64, error) {
	entries, revision, err := s.Store.Range(ctx, prefix)
	s.note("Range", err)
	return entries, revision, err
}

// Changes waits for changes after a revision.
func (s *countedStore) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) (keyvalue.Changes, error) {
	changes, err := s.Store.Changes(ctx, prefix, after, wait)
	s.note("Changes", err)
	return changes, err
}

// Grant starts a lease.
func (s *countedStore) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	lease, err := s.Store.Grant(ctx, ttl)
	s.note("Grant", err)
	return lease, err
}

// Renew extends a lease.
func (s *countedStore) Renew(ctx context.Context, lease uint64) error {
	err := s.Store.Renew(ctx, lease)
	s.note("Renew", err)
	return err
}
