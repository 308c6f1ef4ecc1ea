package request

import (
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// ErrSpoilt tells that an endpoint is alive but its stream is not the answer that was asked for.
var ErrSpoilt = errors.New("the stream is not an answer to the request")

// Stream hands the events of a running answer on.
//
// When the endpoint breaks off and the terms permit it, the stream goes on at
// another endpoint after the last whole event. Read and Next serve the same
// events; a caller uses one of them.
type Stream struct {
	OnClose func() // Called once when the answer is written or broken off; nil does nothing.

	run     *run
	attempt *attempt
	events  EventReader
	release func() // Ends the watch that closes the attempt when the caller leaves.

	pending []byte // Of an event, not yet read.
	over    bool
	whole   bool
}

// takeStream waits for the first whole event of an answer.
func (r *run) takeStream(a *attempt) (endpoint.Outcome, *Reply) {
	s := &Stream{run: r, attempt: a, events: r.req.Codec.Events(a.body), release: a.endOn(r.req.Gone)}
	first, err := s.events.Next()
	if err != nil && err != io.EOF {
		s.release()
		a.end()
		if r.callerGone() {
			return endpoint.Abandoned, refused(refusal.CallerGone, "")
		}
		return broken(err), nil
	}
	if err == io.EOF {
		s.complete()
	} else {
		s.pass(first)
		now := time.Now()
		if !r.direct {
			r.f.Endpoints.Handle(now, endpoint.FirstToken{ID: r.req.Run})
		}
		r.f.observer().Started(now.Sub(r.sentAt))
	}
	return endpoint.Finished, &Reply{Status: a.resp.StatusCode, Headers: answerHeaders(a), Stream: s}
}

// broken tells what an error of an answer says about the endpoint.
func broken(err error) endpoint.Outcome {
	var timeout net.Error
	switch {
	case errors.Is(err, ErrSpoilt):
		return endpoint.Incomplete
	case errors.As(err, &timeout) && timeout.Timeout():
		return endpoint.Silent
	}
	return endpoint.Died
}

// pass makes an event the next bytes of the answer.
func (s *Stream) pass(e Event) {
	s.pending = e.Raw
	s.run.events++
	if e.ID != "" {
		s.run.lastEvent = e.ID
	}
}

// Read returns the next bytes of the answer; an error other than io.EOF breaks it off.
func (s *Stream) Read(p []byte) (int, error) {
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

// Next returns the next event; an error other than io.EOF breaks the answer off.
//
// Where the request was refused while its stream was to go on, the error is the refusal.
func (s *Stream) Next() ([]byte, error) {
	for s.pending == nil {
		if s.over {
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

// Events returns the number of events that were passed on.
func (s *Stream) Events() int64 { return s.run.events }

// advance waits for the next event, at another endpoint when this one breaks off.
func (s *Stream) advance() error {
	s.boundSilence(time.Now())
	e, err := s.events.Next()
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
	r.f.Log.Info("stream broke", zap.String("Request", r.req.ID), zap.String("Run", r.req.Run), zap.String("Address", s.attempt.conn.Address()),
		zap.Int64("Events", r.events), logfile.Problem(err))
	r.ended(broken(err), 0)
	return s.resume()
}

// stallAfter is the silence after which a stream goes on elsewhere; callers wait for 2 s at least.
const stallAfter = time.Second

// boundSilence limits the wait for the next event.
func (s *Stream) boundSilence(now time.Time) {
	r := s.run
	until := r.req.Deadline.Add(answerMargin)
	switch {
	case r.req.Stall > 0:
		until = earlier(until, now.Add(r.req.Stall))
	case r.req.Resumable && r.attempts < r.req.Attempts:
		until = earlier(until, now.Add(max(stallAfter, 4*r.req.Gap)))
	}
	if err := s.attempt.conn.SetReadDeadline(until); err != nil {
		r.f.Log.Debug("no limit for the next event", zap.String("Run", r.req.Run), logfile.Problem(err))
	}
}

// resume goes on at another endpoint after the last event that was passed on.
func (s *Stream) resume() error {
	r := s.run
	if !r.req.Resumable || r.lastEvent == "" {
		return errStopped
	}
	for {
		r.f.Endpoints.Handle(time.Now(), endpoint.Retried{ID: r.req.Run})
		send, out := r.await(r.req.Deadline)
		if out != nil {
			return refusalError(out.Refused)
		}
		out = r.try(send)
		switch {
		case out == nil:
		case out.Stream != nil:
			s.goOn(out.Stream)
			return nil
		default:
			return errStopped
		}
	}
}

// goOn takes over what another attempt's stream has.
func (s *Stream) goOn(next *Stream) {
	s.attempt = next.attempt
	s.events = next.events
	s.release = next.release
	s.pending = next.pending
	s.over = next.over
	s.whole = next.whole
}

func refusalError(e *refusal.Error) error {
	if e == nil {
		return errStopped
	}
	return e
}

// complete notes that the endpoint ended the stream after a whole event.
func (s *Stream) complete() {
	s.release()
	s.over = true
	s.whole = true
	s.attempt.keep(time.Now(), &s.run.f.Lines)
}

// Close ends the answer; it is called when the answer is written or the caller left.
func (s *Stream) Close() error {
	s.release()
	s.attempt.end()
	outcome := endpoint.Abandoned
	if s.whole {
		outcome = endpoint.Finished
	}
	r := s.run
	r.f.Log.Info("stream ended",
		zap.String("Request", r.req.ID), zap.String("Run", r.req.Run), zap.Bool("Whole", s.whole), zap.Int64("Events", r.events),
		zap.String("LastEvent", r.lastEvent), zap.Int("Attempts", r.attempts), zap.Duration("Took", time.Since(r.req.Arrived)))
	r.ended(outcome, r.events*r.req.TokensPerEvent)
	r.finish()
	if s.OnClose != nil {
		s.OnClose()
	}
	return nil
}
