package request

import (
	"io"
	"net"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/reach"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// ErrInvalidStream reports that an endpoint is alive but its stream is not a valid answer to the request.
var ErrInvalidStream = errors.New("stream is not a valid answer to the request")

// Stream is a streamed answer whose events are delivered as they arrive.
//
// If the endpoint fails and the terms permit it, the stream is resumed at
// another endpoint after the last complete event. Read and Next consume the
// same events; a caller uses only one of them.
type Stream struct {
	OnClose func() // Called by Close; nil does nothing.

	run     *run
	attempt *attempt
	events  EventReader
	release func() // Stops the goroutine that aborts the attempt when the caller disconnects.

	pending   []byte // Bytes of the current event that were not yet read.
	next      *place // Where the stream goes on, as its attempt was aborted; nil while it goes on here.
	eof       bool
	completed bool
	lastAt    time.Time // When the last event arrived.
	problem   string    // Why the stream ended early, for the log; empty if its caller stopped reading it.
}

// startStream waits for the first complete event of an answer and returns its stream.
func (r *run) startStream(a *attempt) (endpoint.Outcome, *Reply) {
	a.body.boundEvents(r.req.Memory)
	s := &Stream{run: r, attempt: a, events: r.req.Codec.Events(a.body), release: a.abortOn(r.req.CallerGone)}
	first, err := s.events.Next()
	switch {
	case err != nil:
	case r.startsAnew(first):
		err = errMoved
	default:
		err = r.checkOrder(first)
	}
	if err != nil && err != io.EOF {
		r.logInvalidAnswer(a, err)
		s.release()
		a.abort()
		a.body.endEvent()
		if r.callerGone() {
			return endpoint.Abandoned, refusedReply(refusal.CallerGone, "")
		}
		return failureOutcome(err), nil
	}
	if err == io.EOF {
		s.complete()
	} else {
		s.deliver(first)
		now := time.Now()
		if !r.direct {
			r.f.Endpoints.Handle(now, endpoint.FirstToken{ID: r.req.RunID})
			r.recordOrigin(now)
		}
		r.f.observer().StreamStarted(now.Sub(r.sentAt))
	}
	return endpoint.Finished, &Reply{Status: a.resp.StatusCode, Headers: answerHeaders(a), Stream: s}
}

// logInvalidAnswer logs an answer that is not a stream, or not the rest of the one that the caller has.
func (r *run) logInvalidAnswer(a *attempt, err error) {
	if !errors.Is(err, ErrInvalidStream) {
		return
	}
	r.f.Log.Info("answer does not fit the stream",
		zap.String("Request", r.req.ID), zap.String("Run", r.req.RunID), zap.String("Endpoint", r.endpoint), zap.String("Address", a.conn.Address()),
		zap.Int("Status", a.resp.StatusCode), zap.String("LastEvent", r.lastEventID), logfile.Error(err))
}

// failureOutcome maps an error of an attempt to the outcome reported for the endpoint. A lack of memory is not its death.
func failureOutcome(err error) endpoint.Outcome {
	var timeout net.Error
	switch {
	case errors.Is(err, ErrInvalidStream), errors.Is(err, errNoMemory):
		return endpoint.Incomplete
	case errors.As(err, &timeout) && timeout.Timeout():
		return endpoint.Silent
	}
	return endpoint.Died
}

// deliver makes an event the next one that the caller reads.
func (s *Stream) deliver(e Event) {
	s.lastAt = time.Now()
	s.pending = e.Raw
	if !e.Comment {
		s.run.events++
	}
	s.run.observe(time.Now(), reach.Received{Endpoint: s.run.endpoint})
	if e.ID != "" {
		s.run.lastEventID = e.ID
	}
}

// Read implements io.Reader; an error other than io.EOF means that the answer is incomplete.
func (s *Stream) Read(p []byte) (int, error) {
	for len(s.pending) == 0 {
		if s.eof {
			return 0, io.EOF
		}
		if err := s.advance(); err != nil {
			return 0, err
		}
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// Next returns the next event; an error other than io.EOF means that the answer is incomplete.
//
// Events without bytes for the caller are skipped. If the request is refused
// when the stream is to be resumed, the error is the *refusal.Error.
func (s *Stream) Next() ([]byte, error) {
	for s.pending == nil {
		if s.eof {
			return nil, io.EOF
		}
		if err := s.advance(); err != nil {
			return nil, err
		}
	}
	next := s.pending
	s.pending = nil
	return next, nil
}

// EventCount returns the number of events delivered so far.
func (s *Stream) EventCount() int64 { return s.run.events }

// advance waits for the next event, and resumes the stream at another endpoint if this one fails.
func (s *Stream) advance() error {
	if s.next != nil {
		return s.leave(errMoved) // The last event arrived while its attempt was aborted.
	}
	s.attempt.body.endEvent()
	now := time.Now()
	s.limitEventWait(now)
	if s.movable() {
		s.run.stall.begin(now, s.stallTimeout())
	}
	e, err := s.events.Next()
	if err == nil {
		err = s.run.checkOrder(e)
	}
	s.next = s.run.stall.end()
	switch err {
	case nil:
		s.deliver(e)
		if s.run.stall.wasSilent() {
			s.run.f.Endpoints.Handle(time.Now(), endpoint.Responded{ID: s.run.req.RunID})
		}
		return nil
	case io.EOF:
		s.complete()
		return nil
	}
	return s.leave(err)
}

// leave ends the attempt after an error and resumes the stream, at the place that was found if there is one.
func (s *Stream) leave(err error) error {
	s.release()
	s.attempt.abort()
	s.attempt.body.endEvent()
	r := s.run
	if r.callerGone() {
		r.reportOutcome(endpoint.Abandoned, 0)
		return s.abort(refusal.CallerGone.String())
	}
	outcome := s.brokenOutcome(err)
	r.f.Log.Info("stream broke", zap.String("Request", r.req.ID), zap.String("Run", r.req.RunID), zap.String("Address", s.attempt.conn.Address()), zap.String("EndpointVersion", r.version),
		zap.Int64("Events", r.events), zap.Duration("Silence", time.Since(s.lastAt)), zap.Bool("GivenUp", s.next != nil || outcome == endpoint.Silent), logfile.Error(err))
	if s.next != nil {
		next := s.takeNext()
		if !r.move(next, outcome) {
			return s.resume(nil)
		}
		return s.resume(r.try(next.send, next.conn))
	}
	r.reportOutcome(outcome, 0)
	r.checkCrash(outcome)
	if !r.req.Resumable || r.lastEventID == "" {
		return s.abort("not resumable")
	}
	return s.resume(nil)
}

// brokenOutcome maps an error of the stream to the outcome reported for its endpoint.
func (s *Stream) brokenOutcome(err error) endpoint.Outcome {
	switch {
	case errors.Is(err, errMoved), errors.Is(err, ErrInvalidStream):
		return endpoint.Incomplete // It has spoken after all.
	case s.next != nil:
		return endpoint.Silent
	}
	outcome := failureOutcome(err)
	if outcome == endpoint.Silent && time.Since(s.lastAt) < s.stallTimeout() {
		return endpoint.Incomplete // The deadline of the request has passed, not the patience with the endpoint.
	}
	return outcome
}

// takeNext returns the place at which the stream goes on.
func (s *Stream) takeNext() *place {
	next := s.next
	s.next = nil
	return next
}

// minStallTimeout is the shortest silence after which a stream without a StallTimeout may move to another endpoint.
//
// It is below the 2 s for which every caller waits at least.
const minStallTimeout = time.Second

// stallTimeout returns the silence after which the stream may move to another endpoint.
func (s *Stream) stallTimeout() time.Duration {
	if s.run.req.StallTimeout > 0 {
		return s.run.req.StallTimeout
	}
	return max(minStallTimeout, 4*s.run.req.Gap)
}

// movable reports whether the stream may go on at another endpoint although its own has not failed.
func (s *Stream) movable() bool {
	r := s.run
	return r.stall != nil && r.req.Resumable && r.lastEventID != ""
}

// limitEventWait sets the read deadline for the next event.
func (s *Stream) limitEventWait(now time.Time) {
	r := s.run
	until := r.req.Deadline.Add(answerMargin)
	if r.req.StallTimeout > 0 && !s.movable() {
		until = earlier(until, now.Add(r.req.StallTimeout))
	}
	if err := s.attempt.conn.SetReadDeadline(until); err != nil {
		r.f.Log.Debug("no limit for the next event", zap.String("Run", r.req.RunID), logfile.Error(err))
	}
}

// resume continues the stream at another endpoint after the last event that was delivered.
//
// The parameter is the result of an attempt to do so, or nil.
func (s *Stream) resume(out *Reply) error {
	r := s.run
	for out == nil {
		var send endpoint.Send
		if send, out = r.retry(r.req.Deadline); out == nil {
			out = r.try(send, nil)
		}
	}
	switch {
	case out.Stream != nil:
		s.continueWith(out.Stream)
		return nil
	case out.Refusal != nil:
		s.problem = out.Refusal.Kind.String()
		return out.Refusal
	default:
		return s.abort("status " + strconv.Itoa(out.Status) + " when resumed")
	}
}

// abort records why the stream ends early and returns the error for its reader.
func (s *Stream) abort(problem string) error {
	s.problem = problem
	return errStreamAborted
}

// continueWith takes over the state of another attempt's stream.
func (s *Stream) continueWith(next *Stream) {
	s.attempt = next.attempt
	s.events = next.events
	s.release = next.release
	s.pending = next.pending
	s.next = next.next
	s.eof = next.eof
	s.completed = next.completed
	s.lastAt = next.lastAt
}

// complete marks the stream as ended by the endpoint after a complete event.
func (s *Stream) complete() {
	s.release()
	s.giveBackNext()
	s.eof = true
	s.completed = true
	s.attempt.recycle(time.Now(), &s.run.f.Connections)
}

// giveBackNext gives the place back at which the stream would have gone on, if there is one.
func (s *Stream) giveBackNext() {
	s.run.f.giveBack(s.next, false)
	s.next = nil
}

// Close ends the attempt and settles the request.
//
// Call it once, when the answer was written or the caller disconnected.
func (s *Stream) Close() error {
	s.release()
	s.giveBackNext()
	s.attempt.abort()
	outcome := endpoint.Abandoned
	if s.completed {
		outcome = endpoint.Finished
	}
	r := s.run
	r.f.Log.Info("stream ended",
		zap.String("Request", r.req.ID), zap.String("Run", r.req.RunID), zap.Bool("Whole", s.completed), zap.String("Problem", s.problem), zap.Int64("Events", r.events),
		zap.String("LastEvent", r.lastEventID), zap.String("EndpointVersion", r.version), zap.Int("Attempts", r.attempts), zap.Duration("Took", time.Since(r.req.Arrived)))
	r.reportOutcome(outcome, r.events*r.req.TokensPerEvent)
	r.forgetOrigin(s.completed)
	r.finish()
	if s.OnClose != nil {
		s.OnClose()
	}
	return nil
}
