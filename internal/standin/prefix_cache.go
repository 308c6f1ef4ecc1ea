package standin

import (
	"slices"
	"sync"
	"time"

	"github.com/foxtaillanding/foxtaillanding/internal/chat"
)

// Limits of the engine's prefix cache.
const (
	maxPrefixes = 16  // Cached prefixes.
	maxEvents   = 256 // Retained events.
)

// prefixCache is the LRU prefix cache of the engine stand-in with its recent events; its zero value is empty.
type prefixCache struct {
	mu       sync.Mutex
	cached   []uint64          // Guarded by mu; most recently used first.
	events   []chat.CacheEvent // Guarded by mu; oldest first.
	sequence uint64            // Guarded by mu; number of the last event.
}

// recordUse caches the prefix of a prompt that runs and evicts the least recently used one beyond maxPrefixes.
func (c *prefixCache) recordUse(now time.Time, prefix uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	hit := slices.Contains(c.cached, prefix)
	c.cached = append([]uint64{prefix}, slices.DeleteFunc(c.cached, func(p uint64) bool { return p == prefix })...)
	if !hit {
		c.addEvent(now, prefix, false)
	}
	if len(c.cached) > maxPrefixes {
		c.addEvent(now, c.cached[maxPrefixes], true)
		c.cached = c.cached[:maxPrefixes]
	}
}

// addEvent appends an event and discards the oldest beyond maxEvents; mu must be held.
func (c *prefixCache) addEvent(now time.Time, prefix uint64, dropped bool) {
	c.sequence++
	c.events = append(c.events, chat.CacheEvent{Sequence: c.sequence, Prefix: prefix, Dropped: dropped, At: now})
	c.events = c.events[max(0, len(c.events)-maxEvents):]
}

// eventsAfter returns the events numbered above sequence that are at least lag old, and the number of the last event of that age.
//
// It omits the events whose number is a multiple of gap; a gap of zero omits none.
func (c *prefixCache) eventsAfter(now time.Time, sequence uint64, lag time.Duration, gap int) (last uint64, events []chat.CacheEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.events {
		if now.Sub(e.At) < lag {
			break
		}
		last = e.Sequence
		lost := gap > 0 && e.Sequence%uint64(gap) == 0
		if e.Sequence > sequence && !lost {
			events = append(events, e)
		}
	}
	return last, events
}
