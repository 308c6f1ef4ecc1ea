package keyvalue

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
)

// MaxValueBytes is the largest size of a value that the store accepts.
const MaxValueBytes = 1 << 20

// Memory is a Store within this process that ignores leases; its zero value is empty.
type Memory struct {
	mu       sync.Mutex
	entries  map[string]Entry // Guarded by mu.
	revision uint64           // Guarded by mu; the version assigned to the last write.
	changed  chan struct{}    // Guarded by mu; closed at the next write.
}

// Get reads one key.
func (m *Memory) Get(_ context.Context, key string) (Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.get(key), nil
}

// GetStale reads one key, like Get.
func (m *Memory) GetStale(ctx context.Context, key string) (Entry, error) { return m.Get(ctx, key) }

func (m *Memory) get(key string) Entry {
	entry, ok := m.entries[key]
	if !ok {
		return Entry{Key: key}
	}
	return entry
}

// Put writes one key if its version is put.IfVersion.
func (m *Memory) Put(_ context.Context, put Put) (WriteResult, error) {
	if len(put.Value) > MaxValueBytes {
		return WriteResult{Outcome: budget.NoEffect}, ErrTooLarge
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.get(put.Key).Version != put.IfVersion {
		return WriteResult{Outcome: budget.NoEffect}, nil
	}
	m.revision++
	if m.entries == nil {
		m.entries = map[string]Entry{}
	}
	m.entries[put.Key] = Entry{Key: put.Key, Value: slices.Clone(put.Value), Version: m.revision}
	m.wake()
	return WriteResult{Outcome: budget.TookEffect, Version: m.revision}, nil
}

// Remove removes one key if its version is ifVersion; zero never matches.
func (m *Memory) Remove(_ context.Context, key string, ifVersion uint64) (WriteResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ifVersion == 0 || m.get(key).Version != ifVersion {
		return WriteResult{Outcome: budget.NoEffect}, nil
	}
	m.revision++
	delete(m.entries, key)
	m.wake()
	return WriteResult{Outcome: budget.TookEffect, Version: m.revision}, nil
}

// wake makes all waiting watches read their key again; mu must be held.
func (m *Memory) wake() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// List reads all keys that begin with prefix, sorted.
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

// Watch waits until key has a version above after, or until wait has passed, and reads it.
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
