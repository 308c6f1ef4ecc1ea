package decision

import (
	"sync"
	"time"
)

// Waiters delivers decisions to the goroutines that wait for them, by request. The zero value is ready to use.
type Waiters[A any] struct {
	mu       sync.Mutex
	channels map[string]chan A // By request; guarded by mu.
}

// maxPending is the capacity of the channel of a request. A decider makes at most a few decisions about a request before
// they are received.
const maxPending = 16

// Open returns a buffered channel of the decisions about a request. It replaces the channel of an earlier Open.
func (w *Waiters[A]) Open(request string) <-chan A {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.channels == nil {
		w.channels = map[string]chan A{}
	}
	ch := make(chan A, maxPending)
	w.channels[request] = ch
	return ch
}

// Close stops the delivery of decisions about a request. It does not close the channel.
func (w *Waiters[A]) Close(request string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.channels, request)
}

// Send delivers a decision without blocking. It reports whether it did: the request may not be open, or its channel full.
func (w *Waiters[A]) Send(request string, action A) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	ch, ok := w.channels[request]
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

// Apply applies an event to a decider under the decider's mutex and returns the resulting actions.
func Apply[E, A any](mu *sync.Mutex, handle func(time.Time, E) []A, now time.Time, ev E) []A {
	mu.Lock()
	defer mu.Unlock()
	return handle(now, ev)
}

// Every calls f once per period until stop is closed.
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

// Ticker calls a function often while there is work that waits for time to pass, and rarely otherwise.
//
// Frequent wake-ups of an idle process cost more of its processor than the work itself.
type Ticker struct {
	Busy time.Duration // Period while there is such work.
	Idle time.Duration // Period otherwise.

	once sync.Once
	work chan struct{}
}

func (t *Ticker) init() {
	t.once.Do(func() { t.work = make(chan struct{}, 1) })
}

// Wake makes the next call come after Busy at most.
func (t *Ticker) Wake() {
	t.init()
	select {
	case t.work <- struct{}{}:
	default:
	}
}

// Run calls f until stop is closed. The function reports whether there is work that waits for time to pass.
func (t *Ticker) Run(stop <-chan struct{}, f func(now time.Time) (busy bool)) {
	t.init()
	period := t.Busy
	timer := time.NewTimer(period)
	defer timer.Stop()
	last := time.Now()
	for {
		select {
		case <-stop:
			return
		case <-t.work:
			if period == t.Busy {
				continue
			}
			// The time that has passed already is part of the period.
			period = max(t.Busy, time.Since(last))
			timer.Reset(period - time.Since(last))
		case <-timer.C:
			// The present time: that of the timer does not include the wait for the processor.
			last = time.Now()
			busy := f(last)
			period = t.Idle
			if busy {
				period = t.Busy
			}
			timer.Reset(period)
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
