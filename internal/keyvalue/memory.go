package keyvalue

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
)

// MaxValue is the largest value in bytes that the store takes.
const MaxValue = 1 << 20

// Memory is a Store that lives in this process; its zero value is empty.
type Memory struct {
	mu       sync.Mutex
	entries  map[string]stored // Guarded by mu.
	revision uint64            // Guarded by mu; the version given to the last write.
	changed  chan struct{}     // Guarded by mu; closed at the next write.
}

type stored struct {
	entry  Entry
	expiry time.Time // Zero for a key without a time to live.
}

func (s stored) live(now time.Time) bool {
	return s.expiry.IsZero() || now.Before(s.expiry)
}

// Get reads one key.
func (m *Memory) Get(_ context.Context, key string) (Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.get(key), nil
}

func (m *Memory) get(key string) Entry {
	s, ok := m.entries[key]
	if !ok || !s.live(time.Now()) {
		return Entry{Key: key}
	}
	return s.entry
}

// Put writes one key on a condition.
func (m *Memory) Put(_ context.Context, put Put) (Written, error) {
	if len(put.Value) > MaxValue {
		return Written{Outcome: budget.NoEffect}, ErrTooLarge
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.get(put.Key).Version != put.IfVersion {
		return Written{Outcome: budget.NoEffect}, nil
	}
	m.revision++
	s := stored{entry: Entry{Key: put.Key, Value: slices.Clone(put.Value), Version: m.revision}}
	if put.TTL > 0 {
		s.expiry = time.Now().Add(put.TTL)
	}
	if m.entries == nil {
		m.entries = map[string]stored{}
	}
	m.entries[put.Key] = s
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
	return Written{Outcome: budget.TookEffect, Version: m.revision}, nil
}

// List reads all keys that begin with prefix, in order.
func (m *Memory) List(_ context.Context, prefix string) ([]Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	var found []Entry
	for key, s := range m.entries {
		if strings.HasPrefix(key, prefix) && s.live(now) {
			found = append(found, s.entry)
		}
	}
	slices.SortFunc(found, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	return found, nil
}

// Watch waits for a version of key above after.
func (m *Memory) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		entry := m.get(key)
		if m.changed == nil {
			m.changed = make(chan struct{})
		}
		changed := m.changed
		m.mu.Unlock()
		if entry.Version > after {
			return entry, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return entry, nil
		case <-ctx.Done():
			return entry, ctx.Err()
		}
	}
}
