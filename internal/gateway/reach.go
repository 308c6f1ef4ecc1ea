package gateway

import (
	"context"
	"sync"
	"time"
)

// reach is what the feeds know together of whether the store can be reached; its zero value takes it for reachable.
//
// A watch waits for long and its connection may go on without the store, so
// that it does not find out by itself; other calls do. While the store is lost,
// one feed asks for it, since each call has its price, and the first answer of
// any call lets all feeds go on.
type reach struct {
	mu     sync.Mutex
	ctx    context.Context // Of the watches that wait now; guarded by mu.
	cancel context.CancelFunc
	back   chan struct{} // Closed at the next answer; nil while the store is reachable; guarded by mu.
	backAt time.Time     // Of the last answer after a loss; guarded by mu.
}

// context returns the context of the next watch.
func (r *reach) context() context.Context {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx == nil {
		r.ctx, r.cancel = context.WithCancel(context.Background())
	}
	return r.ctx
}

// lose ends all watches that wait.
func (r *reach) lose() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancel != nil {
		r.cancel()
	}
	r.ctx = nil
	r.cancel = nil
	if r.back == nil {
		r.back = make(chan struct{})
	}
}

// regain notes an answer of the store.
func (r *reach) regain(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.back != nil {
		close(r.back)
		r.back = nil
		r.backAt = now
	}
}

// othersReturn is the time after the store's return in which the other routers find out, so that the homes of budgets draw before all others do.
const othersReturn = time.Second

// lost reports whether the store has not answered since it was lost, or has answered only a moment ago.
func (r *reach) lost(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.back != nil || now.Sub(r.backAt) < othersReturn
}

// returned is closed at the store's next answer; it is nil while the store is reachable.
func (r *reach) returned() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.back
}
