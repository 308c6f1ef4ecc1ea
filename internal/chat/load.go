package chat

import "time"

// LoadPath is the path at which endpoints report their load; the query After=N excludes cache events up to sequence number N.
const LoadPath = "/Load"

// HeaderPrefix carries the hash of the beginning of the prompt, which identifies it in an engine's cache events.
const HeaderPrefix = "X-Prefix"

// LoadReport is an endpoint's report of its load and, for a model engine, of the changes of its prefix cache.
type LoadReport struct {
	Running       int          // Requests being run.
	Waiting       int          // Requests queued at the endpoint.
	Leaving       bool         // The endpoint is shutting down and must get no new requests.
	CacheSequence uint64       `json:",omitempty"` // Sequence number of the last cache event; lower than in the previous report if the engine restarted.
	Cache         []CacheEvent `json:",omitempty"` // Events may be late or missing.
}

// CacheEvent reports that an engine cached a prompt prefix or evicted it.
type CacheEvent struct {
	Sequence uint64
	Prefix   uint64 `json:",string"`
	Dropped  bool   `json:",omitempty"` // The prefix was evicted.

	At time.Time `json:"-"` // Time of the event; not transmitted.
}
