package request

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/connection"
	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
)

// place is a place at another endpoint that is reserved for a request, and a connection to it.
type place struct {
	send endpoint.Send
	conn *connection.Conn
}

// stallWatch looks for another place for a request while its endpoint is silent.
//
// The attempt at the silent endpoint goes on until a place and a connection to
// it are there, however long that takes; then it is aborted, which wakes its
// reader. If the endpoint speaks first, the place is given back. A stallWatch
// belongs to one attempt; a nil one does nothing.
type stallWatch struct {
	f        *Forwarder
	req      *Request
	attempt  *attempt
	endpoint string

	mu      sync.Mutex
	timer   *time.Timer     // Runs search; nil before the first wait.
	waits   int             // Number of waits so far, by which a search finds out that its wait has ended.
	silent  bool            // The endpoint was silent in this wait for so long that a place was looked for.
	waiting bool            // The reader of the attempt waits for the endpoint.
	since   time.Time       // Start of the wait.
	pause   time.Duration   // Time between two searches.
	found   *place          // Place for which the attempt was aborted; nil while it goes on.
	logged  map[string]bool // Outcomes that were logged.
}

// errMoved reports that an attempt was aborted in favour of a place at another endpoint.
var errMoved = errors.New("the request goes on at another endpoint")

// newStallWatch returns the watch of an attempt, or nil if the request must not move to another endpoint.
func (r *run) newStallWatch(a *attempt, name string) *stallWatch {
	if r.direct || !r.req.Repeatable {
		return nil
	}
	return &stallWatch{f: r.f, req: r.req, attempt: a, endpoint: name}
}

// firstStallTimeout returns the silence after which a request without an answer or a first event may move to another endpoint.
//
// Enough of the time until the deadline is left for another attempt.
func (r *run) firstStallTimeout(now time.Time) time.Duration {
	if r.req.StallTimeout > 0 {
		return r.req.StallTimeout
	}
	left := r.req.Deadline.Sub(now)
	return max(2*r.req.Objective, left/2)
}

// endFirstWait ends the wait for an answer or the first event, of which out is the result. It returns the place at which the
// request goes on, unless the answer came all the same; a stream that has begun goes on there after its first event.
func (r *run) endFirstWait(out *Reply) *place {
	next := r.stall.end()
	switch {
	case out == nil:
		return next
	case out.Stream != nil && !out.Stream.completed:
		out.Stream.next = next
	default:
		r.f.giveBack(next, false)
	}
	return nil
}

// maxSearchPause is the longest time between two searches for a place while an endpoint stays silent.
const maxSearchPause = 500 * time.Millisecond

// begin starts a wait for the endpoint; after the silence d a place is looked for.
func (w *stallWatch) begin(now time.Time, d time.Duration) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waits++
	w.waiting = true
	w.silent = false
	w.since = now
	w.pause = min(d, maxSearchPause)
	if w.timer == nil {
		w.timer = time.AfterFunc(d, w.search)
		return
	}
	w.timer.Reset(d)
}

// stop ends the wait. If the attempt was aborted, it returns the place for which it was.
func (w *stallWatch) stop() *place {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
	w.waiting = false
	return w.found
}

// end ends the wait and hands over the place at which the request goes on, if the attempt was aborted for one.
func (w *stallWatch) end() *place {
	found := w.stop()
	if found == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.found = nil
	return found
}

// wasSilent reports whether a place was looked for in the last wait.
func (w *stallWatch) wasSilent() bool {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.silent
}

// startsAnew ends the wait for the first event, and reports whether the attempt was aborted for a place at which the stream
// cannot go on after that event. The caller has not received the event yet, so the request starts anew there.
func (r *run) startsAnew(first Event) bool {
	next := r.stall.stop()
	if next == nil {
		return false
	}
	return !r.req.Resumable || first.ID == "" || next.send.Version != r.version
}

// search looks for a place, and aborts the attempt if there is one and the endpoint is still silent.
func (w *stallWatch) search() {
	w.mu.Lock()
	wait, silence := w.waits, time.Since(w.since)
	active := w.waiting
	w.silent = w.silent || active
	w.mu.Unlock()
	if !active {
		return
	}
	var next *place
	if !w.f.late(time.Now()) {
		next = w.reserve(silence)
	}
	if w.settle(wait, next) || next == nil {
		return
	}
	w.log("Overtaken", next.send.Endpoint, silence, nil)
	w.f.giveBack(next, false)
}

// settle ends a search: it aborts the attempt for a place or, without one, arranges the next search. It reports false if the
// wait has ended meanwhile.
func (w *stallWatch) settle(wait int, next *place) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.waiting || w.waits != wait {
		return false
	}
	if next == nil {
		w.timer.Reset(w.pause)
		return true
	}
	w.waiting = false
	w.found = next
	w.attempt.abort()
	return true
}

// reserve returns a place at another endpoint with a connection to it, or nil.
func (w *stallWatch) reserve(silence time.Duration) *place {
	now := time.Now()
	reserved, denial := w.f.Endpoints.RequestMove(now, w.req.RunID)
	if reserved == nil {
		w.log(denial.String(), "", silence, nil)
		return nil
	}
	next := &place{send: reserved.Place}
	conn, err := w.f.connect(now, next.send.Endpoint, w.req.ID)
	if err != nil {
		w.log("NotConnected", next.send.Endpoint, silence, err)
		w.f.giveBack(next, true)
		return nil
	}
	next.conn = conn
	w.log("Placed", next.send.Endpoint, silence, nil)
	return next
}

// log logs the outcome of a search, each outcome once for an attempt.
func (w *stallWatch) log(outcome, to string, silence time.Duration, err error) {
	w.mu.Lock()
	repeated := w.logged[outcome]
	if w.logged == nil {
		w.logged = map[string]bool{}
	}
	w.logged[outcome] = true
	w.mu.Unlock()
	if repeated {
		return
	}
	budget := retryFields(w.req.Service, w.f.Endpoints.RetryBudget(time.Now(), w.req.Service))
	w.f.Log.Info("endpoint silent", append(budget, zap.String("Request", w.req.ID), zap.String("Run", w.req.RunID), zap.String("Endpoint", w.endpoint),
		zap.Duration("Silence", silence), zap.String("Outcome", outcome), zap.String("To", to), logfile.Error(err))...)
}

// connect returns a connection to an endpoint for the request with an ID, which is repeatable.
func (f *Forwarder) connect(now time.Time, name, id string) (*connection.Conn, error) {
	address, ok := f.Endpoints.Address(name)
	if !ok {
		return nil, errors.Wrapf(connection.ErrNotSent, "no address known for endpoint %s", name)
	}
	conn, err := f.Connections.Get(now, address, connection.Terms{NewTo: id})
	f.observeConnect(time.Now(), name, conn, err)
	if connection.IsRefused(err) {
		f.Endpoints.Handle(now, endpoint.ConnectionRefused{Endpoint: name})
	}
	return conn, err
}

// move ends the attempt in flight, so that the request goes on at a place. It reports false if the endpoint there has changed
// since the place was reserved, so that the request needs another one.
func (r *run) move(to *place, outcome endpoint.Outcome) bool {
	now := time.Now()
	if r.f.Endpoints.Move(now, r.req.RunID, r.observeEnd(outcome)) {
		return true
	}
	r.f.Log.Info("place lost", zap.String("Request", r.req.ID), zap.String("Run", r.req.RunID), zap.String("Endpoint", to.send.Endpoint),
		zap.String("EndpointVersion", to.send.Version), zap.Stringer("Reason", endpoint.PlaceChanged))
	r.f.giveBack(to, false)
	return false
}

// giveBack gives a place back that is not used.
func (f *Forwarder) giveBack(p *place, unreachable bool) {
	if p == nil {
		return
	}
	now := time.Now()
	f.Endpoints.Handle(now, endpoint.MoveCancelled{ID: p.send.ID, Attempt: p.send.Attempt, Unreachable: unreachable})
	if p.conn != nil {
		f.Connections.Put(now, p.conn, 0)
	}
}
