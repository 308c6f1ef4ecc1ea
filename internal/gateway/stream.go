package gateway

import (
	"context"
	"io"
	"time"

	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// stream hands the events of a running answer on; it is the body of the caller's answer.
//
// When the endpoint breaks off and the route permits it, the stream goes on at
// another endpoint after the last whole event.
type stream struct {
	run     *run
	attempt *attempt
	events  *eventReader
	release func() // Ends the watch that closes the attempt when the caller leaves.

	pending []byte // Of an event, not yet read by the server.
	over    bool
	whole   bool
	closed  func() // Called once when the caller's answer is written or broken off.
}

// takeStream waits for the first whole event of an answer.
func (r *run) takeStream(a *attempt) (endpoint.Outcome, *reply) {
	s := &stream{run: r, attempt: a, events: newEventReader(a.resp.Body), release: a.endOn(r.gone)}
	first, err := s.events.next()
	if err != nil && err != io.EOF {
		s.release()
		a.end()
		if r.callerGone() {
			return endpoint.Abandoned, refused(refusal.CallerGone, "")
		}
		return endpoint.Died, nil
	}
	if err == io.EOF {
		s.complete()
	} else {
		s.pass(first)
		now := time.Now()
		r.g.endpoints.handle(now, endpoint.FirstToken{ID: r.id})
		r.g.metrics.firstEvent.Record(context.Background(), now.Sub(r.sentAt).Seconds())
	}
	return endpoint.Finished, &reply{Status: a.resp.StatusCode, Headers: answerHeaders(a), Stream: s}
}

// pass makes an event the next bytes of the answer.
func (s *stream) pass(e event) {
	s.pending = e.raw
	s.run.events++
	if e.id != "" {
		s.run.lastEvent = e.id
	}
}

// Read returns the next bytes of the answer; an error other than io.EOF breaks it off.
func (s *stream) Read(p []byte) (int, error) {
	for len(s.pending) == 0 {
		if s.over {
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

// advance waits for the next event, at another endpoint when this one breaks off.
func (s *stream) advance() error {
	s.boundSilence(time.Now())
	e, err := s.events.next()
	switch err {
	case nil:
		s.pass(e)
		return nil
	case io.EOF:
		s.complete()
		return nil
	}
	s.release()
	s.attempt.end()
	r := s.run
	if r.callerGone() {
		r.ended(endpoint.Abandoned, 0)
		return errStopped
	}
	r.g.log.Info("stream broke", zap.String("Request", r.req.ID), zap.String("Run", r.id), zap.String("Address", s.attempt.conn.address),
		zap.Int64("Events", r.events), logfile.Problem(err))
	r.ended(endpoint.Died, 0)
	return s.resume()
}

// stallAfter is the silence after which a stream goes on elsewhere; callers wait for 2 s at least.
const stallAfter = time.Second

// boundSilence limits the wait for the next event.
func (s *stream) boundSilence(now time.Time) {
	r := s.run
	until := r.deadline.Add(answerMargin)
	if r.route.Resumable && r.attempts < r.route.Attempts {
		until = earlier(until, now.Add(max(stallAfter, 4*r.route.Gap)))
	}
	if err := s.attempt.conn.SetReadDeadline(until); err != nil {
		r.g.log.Debug("no limit for the next event", zap.String("Run", r.id), logfile.Problem(err))
	}
}

// resume goes on at another endpoint after the last event that was passed on.
func (s *stream) resume() error {
	r := s.run
	if !r.route.Resumable || r.lastEvent == "" {
		return errStopped
	}
	for {
		r.g.endpoints.handle(time.Now(), endpoint.Retried{ID: r.id})
		send, out := r.await()
		if out != nil {
			return refusalError(out.Refused)
		}
		out = r.try(send)
		switch {
		case out == nil:
		case out.Stream != nil:
			s.attempt = out.Stream.attempt
			s.events = out.Stream.events
			s.release = out.Stream.release
			s.pending = out.Stream.pending
			s.over = out.Stream.over
			s.whole = out.Stream.whole
			return nil
		default:
			return errStopped
		}
	}
}

func refusalError(e *refusal.Error) error {
	if e == nil {
		return errStopped
	}
	return e
}

// complete notes that the endpoint ended the stream after a whole event.
func (s *stream) complete() {
	s.release()
	s.over = true
	s.whole = true
	s.attempt.keep(time.Now(), &s.run.g.lines)
}

// Close ends the answer; the server calls it when the answer is written or the caller left.
func (s *stream) Close() error {
	s.release()
	s.attempt.end()
	outcome := endpoint.Abandoned
	if s.whole {
		outcome = endpoint.Finished
	}
	s.run.g.log.Info("stream ended",
		zap.String("Request", s.run.req.ID), zap.String("Run", s.run.id), zap.Bool("Whole", s.whole), zap.Int64("Events", s.run.events),
		zap.String("LastEvent", s.run.lastEvent), zap.Int("Attempts", s.run.attempts), zap.Duration("Took", time.Since(s.run.arrived)))
	s.run.ended(outcome, s.run.events*s.run.service.TokensPerEvent)
	s.run.finish()
	if s.closed != nil {
		s.closed()
	}
	return nil
}
