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
	entries  map[string]Entry // Guarded by mu.
	revision uint64           // Guarded by mu; the version given to the last write.
	changed  chan struct{}    // Guarded by mu; closed at the next write.
}

// Get reads one key.
func (m *Memory) Get(_ context.Context, key string) (Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.get(key), nil
}

func (m *Memory) get(key string) Entry {
	entry, ok := m.entries[key]
	if !ok {
		return Entry{Key: key}
	}
	return entry
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
	if m.entries == nil {
		m.entries = map[string]Entry{}
	}
	m.entries[put.Key] = Entry{Key: put.Key, Value: slices.Clone(put.Value), Version: m.revision}
	m.wake()
	return Written{Outcome: budget.TookEffect, Version: m.revision}, nil
}

// Remove removes one key on the condition that it has a version.
func (m *Memory) Remove(_ context.Context, key string, ifVersion uint64) (Written, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ifVersion == 0 || m.get(key).Version != ifVersion {
		return Written{Outcome: budget.NoEffect}, nil
	}
	m.revision++
	delete(m.entries, key)
	m.wake()
	return Written{Outcome: budget.TookEffect, Version: m.revision}, nil
}

// wake ends all watches; mu is held.
func (m *Memory) wake() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// List reads all keys that begin with prefix, in order.
func (m *Memory) List(_ context.Context, prefix string) ([]Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []Entry
	for key, entry := range m.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, entry)
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
