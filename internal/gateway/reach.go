package gateway

import (
	"context"
	"sync"
	"time"
)

// storeReachability tracks for all feeds whether the store is reachable; the zero value means that it is.
//
// A watch waits for a long time, and its connection may stay open although the
// store is unreachable, so a watch may not detect an outage by itself; other
// calls do. While the store is unreachable, only one feed probes it, because
// every call counts against the rate limits of the store, and the first answer
// to any call lets all feeds continue.
type storeReachability struct {
	mu          sync.Mutex
	ctx         context.Context // Context of the pending watches; guarded by mu.
	cancel      context.CancelFunc
	answered    chan struct{} // Closed at the next answer; nil while the store is reachable; guarded by mu.
	recoveredAt time.Time     // Time of the first answer after the last outage; guarded by mu.
}

// watchContext returns the context for the next watch.
func (r *storeReachability) watchContext() context.Context {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx == nil {
		r.ctx, r.cancel = context.WithCancel(context.Background())
	}
	return r.ctx
}

// markUnreachable records an outage of the store and cancels all pending watches.
func (r *storeReachability) markUnreachable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancel != nil {
		r.cancel()
	}
	r.ctx = nil
	r.cancel = nil
	if r.answered == nil {
		r.answered = make(chan struct{})
	}
}

// markReachable records an answer of the store and reports whether it is the first one after an outage.
func (r *storeReachability) markReachable(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answered == nil {
		return false
	}
	close(r.answered)
	r.answered = nil
	r.recoveredAt = now
	return true
}

// peerRecoveryDelay is the time that the other routers need to detect that the store is reachable again.
//
// It lets the homes of the budgets draw grants before all other routers do.
const peerRecoveryDelay = time.Second

// unreachable reports whether the store is unreachable or became reachable again less than peerRecoveryDelay ago.
func (r *storeReachability) unreachable(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answered != nil || now.Sub(r.recoveredAt) < peerRecoveryDelay
}

// nextAnswer returns a channel that is closed at the store's next answer; it is nil while the store is reachable.
func (r *storeReachability) nextAnswer() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answered
}
