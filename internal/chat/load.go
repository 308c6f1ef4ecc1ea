package chat

import "time"

// LoadPath is where endpoints report their load; the query After=N leaves out cache events up to N.
const LoadPath = "/Load"

// HeaderPrefix names the hash of the prompt's beginning, under which an engine reports what it caches.
const HeaderPrefix = "X-Prefix"

// LoadReport is an endpoint's own account of its load and, for a model engine, of its prefix cache.
type LoadReport struct {
	Running       int
	Waiting       int
	Leaving       bool
	CacheSequence uint64       `json:",omitempty"` // Of the last event that there was; lower than before after a restart.
	Cache         []CacheEvent `json:",omitempty"` // May come late and with gaps.
}

// CacheEvent tells that an engine keeps a prompt prefix, or dropped it.
type CacheEvent struct {
	Sequence uint64
	Prefix   uint64 `json:",string"`
	Dropped  bool   `json:",omitempty"`

	At time.Time `json:"-"` // When it happened, known to the engine only.
}
