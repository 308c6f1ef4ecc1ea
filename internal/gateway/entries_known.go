package gateway

import (
	"sync"
	"time"
)

// entriesKnown tells requests that arrive while the process starts when the endpoints are known. The zero value knows none.
type entriesKnown struct {
	mu       sync.Mutex
	complete bool          // All entries were read at least once; guarded by mu.
	updated  chan struct{} // Closed at the next update; nil while no request waits for it; guarded by mu.
}

// update records that the pool of endpoints was configured, with all entries or a part of them.
func (k *entriesKnown) update(complete bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.complete = k.complete || complete
	if k.updated != nil {
		close(k.updated)
		k.updated = nil
	}
}

// next returns a channel that is closed at the next update, or nil if the endpoints are known.
func (k *entriesKnown) next() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.complete {
		return nil
	}
	if k.updated == nil {
		k.updated = make(chan struct{})
	}
	return k.updated
}

// Limits of the wait of a request for the first read of the entries.
const (
	entriesWait        = 2 * time.Second // From the start of the process. A store that answers later than that is taken for lost.
	entriesWaitDivisor = 4               // A request waits for this part of the time until its deadline at most.
)

// await blocks a request that arrives while the process starts until the endpoints are known, or serves reports that those known
// will do. It reports false if its caller has left or the wait has taken too long before that. A request that arrives later
// never waits.
func (k *entriesKnown) await(now, started, deadline time.Time, callerGone <-chan struct{}, serves func() bool) bool {
	starting := started.Add(entriesWait).Sub(now)
	if starting <= 0 {
		return true
	}
	timer := time.NewTimer(min(starting, deadline.Sub(now)/entriesWaitDivisor))
	defer timer.Stop()
	for {
		updated := k.next()
		if updated == nil || serves() {
			return true
		}
		select {
		case <-updated:
		case <-callerGone:
			return false
		case <-timer.C:
			return false
		}
	}
}
