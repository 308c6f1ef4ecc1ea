package decision

import (
	"sync"
	"time"
)

// Waiters hands decisions to the workers that wait for them, by request.
type Waiters[A any] struct {
	mu sync.Mutex
	by map[string]chan A // Guarded by mu.
}

// decisionsKept is the number of decisions that may wait for a worker; a decider emits at most a few for a request before the worker reads them.
const decisionsKept = 16

// Open starts to collect the decisions about a request.
func (w *Waiters[A]) Open(request string) <-chan A {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.by == nil {
		w.by = map[string]chan A{}
	}
	ch := make(chan A, decisionsKept)
	w.by[request] = ch
	return ch
}

// Close ends the collection of decisions about a request.
func (w *Waiters[A]) Close(request string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.by, request)
}

// Send hands a decision over and reports whether somebody waits for it.
func (w *Waiters[A]) Send(request string, action A) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	ch, ok := w.by[request]
	if !ok {
		return false
	}
	select {
	case ch <- action:
		return true
	default:
		return false
	}
}

// Locked applies an event to a decider under its mutex and returns the decider's actions.
func Locked[E, A any](mu *sync.Mutex, handle func(time.Time, E) []A, now time.Time, ev E) []A {
	mu.Lock()
	defer mu.Unlock()
	return handle(now, ev)
}

// Every calls f at each period until stop is closed.
func Every(period time.Duration, stop <-chan struct{}, f func(now time.Time)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			f(now)
		case <-stop:
			return
		}
	}
}

// Pause waits for d or until done is closed.
func Pause(d time.Duration, done <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-done:
	}
}
