package standin

import (
	"slices"
	"sync"
	"time"

	"github.com/foxtaillanding/foxtaillanding/internal/chat"
)

// Sizes of the engine's prefix cache.
const (
	prefixesCached = 16
	eventsKept     = 256
)

// prefixCache is the prefix cache of the engine stand-in and its events; its zero value is empty.
type prefixCache struct {
	mu       sync.Mutex
	cached   []uint64          // Guarded by mu; most recently used first.
	events   []chat.CacheEvent // Guarded by mu; oldest first.
	sequence uint64            // Guarded by mu.
}

// use notes that a prompt with the prefix ran.
func (c *prefixCache) use(now time.Time, prefix uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := slices.Contains(c.cached, prefix)
	c.cached = append([]uint64{prefix}, slices.DeleteFunc(c.cached, func(p uint64) bool { return p == prefix })...)
	if !known {
		c.tell(now, prefix, false)
	}
	if len(c.cached) > prefixesCached {
		c.tell(now, c.cached[prefixesCached], true)
		c.cached = c.cached[:prefixesCached]
	}
}

func (c *prefixCache) tell(now time.Time, prefix uint64, dropped bool) {
	c.sequence++
	c.events = append(c.events, chat.CacheEvent{Sequence: c.sequence, Prefix: prefix, Dropped: dropped, At: now})
	c.events = c.events[max(0, len(c.events)-eventsKept):]
}

// after returns the events above a sequence number that are at least lag old, without each gap-th one.
func (c *prefixCache) after(now time.Time, sequence uint64, lag time.Duration, gap int) (last uint64, events []chat.CacheEvent) {
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
