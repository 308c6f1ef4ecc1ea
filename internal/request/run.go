package request

import (
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/connection"
	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// run is one request on its way.
type run struct {
	f   *Forwarder
	req *Request

	direct    bool // To one address; the pool does not know the request.
	decisions <-chan endpoint.Action
	reserved  reservation
	attempts  int
	sentAt    time.Time // Of the last attempt.
	ran       bool      // An attempt may have run.
	events    int64     // Passed on to the caller.
	lastEvent string
	fallback  *Reply // A failure that an endpoint answered with, in case no other attempt succeeds.
}

// told adds to a reply what was done for it.
func (r *run) told(out *Reply) *Reply {
	out.Ran = r.ran
	out.Attempts = r.attempts
	out.Lender = r.reserved.lender
	return out
}

// serve carries a request to its answer, or to the first event of its stream.
func (r *run) serve() *Reply {
	if out := r.reserve(); out != nil {
		return out
	}
	r.decisions = r.f.Endpoints.Decisions.Open(r.req.Run)
	out := r.place()
	if out.Stream == nil {
		r.finish()
	}
	return out
}

// finish frees what the request holds and bills it.
func (r *run) finish() {
	if r.direct {
		return
	}
	r.f.Endpoints.Decisions.Close(r.req.Run)
	r.f.Endpoints.Handle(time.Now(), endpoint.Withdrawn{ID: r.req.Run})
	r.settle()
}

// place offers the request to the pool and makes the attempts that it decides on.
func (r *run) place() *Reply {
	r.f.Endpoints.Handle(time.Now(), endpoint.Submitted{Request: r.described()})
	for {
		send, out := r.await(r.req.startBy())
		if out != nil {
			return out
		}
		if out := r.try(send); out != nil {
			return out
		}
		r.f.Endpoints.Handle(time.Now(), endpoint.Retried{ID: r.req.Run})
	}
}

func (r *run) described() endpoint.Request {
	return endpoint.Request{
		ID:           r.req.Run,
		Serves:       r.req.Service,
		Account:      r.req.Account,
		Weight:       r.req.Weight,
		Class:        r.req.Class,
		PromptTokens: r.req.PromptTokens,
		OutputTokens: max(1, r.req.OutputTokens),
		Prefix:       r.req.Prefix,
		Parts:        r.req.Parts,
		Deadline:     r.req.startBy(),
		Fingerprint:  r.req.Fingerprint,
		Repeatable:   r.req.Repeatable,
		Attempts:     max(1, r.req.Attempts),
	}
}

// await waits for the pool's decision; reply is set when the request ends without an attempt.
func (r *run) await(until time.Time) (endpoint.Send, *Reply) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-r.req.Gone:
		return endpoint.Send{}, refused(refusal.CallerGone, "")
	case <-timer.C:
		return endpoint.Send{}, r.giveUp(refusal.DeadlineUnreachable, 0)
	case action := <-r.decisions:
		switch action := action.(type) {
		case endpoint.Send:
			if r.callerGone() {
				r.ended(endpoint.Abandoned, 0)
				return endpoint.Send{}, refused(refusal.CallerGone, "")
			}
			if !time.Now().Before(until) {
				// The process was held up: what was decided in time is no longer in time.
				r.ended(endpoint.Abandoned, 0)
				return endpoint.Send{}, r.giveUp(refusal.DeadlineUnreachable, 0)
			}
			return action, nil
		case endpoint.Refuse:
			return endpoint.Send{}, r.giveUp(action.Kind, action.After)
		default:
			return endpoint.Send{}, refused(refusal.Internal, "no decision on an endpoint")
		}
	}
}

// giveUp ends a request for which no further attempt is made.
func (r *run) giveUp(kind refusal.Kind, after time.Duration) *Reply {
	if r.fallback != nil {
		return r.fallback
	}
	switch kind {
	case refusal.UnknownModel, refusal.UnknownService:
		kind = refusal.NoEndpoint // The configuration names the service, so that it exists.
	case refusal.Suspect:
		kind = refusal.SuspectHeld
	}
	if r.ran && kind.Answer().Ran == refusal.NotRun {
		kind = refusal.AnswerBroken
		after = 0
	}
	if kind == refusal.AnswerBroken && !time.Now().Before(r.req.Deadline) {
		kind = refusal.DeadlineExceeded
	}
	return &Reply{Refused: &refusal.Error{Kind: kind, Detail: r.req.Service, After: after}}
}

// try makes one attempt; nil asks for another one.
func (r *run) try(send endpoint.Send) *Reply {
	now := time.Now()
	outcome, out := r.exchange(now, send)
	r.f.observer().Attempted(outcome)
	r.ran = r.ran || outcome != endpoint.Rejected
	if out != nil && out.Stream != nil {
		return out // It ends when the stream does.
	}
	r.ended(outcome, 0)
	return out
}

// exchange sends the request to an endpoint and judges what comes back.
func (r *run) exchange(now time.Time, send endpoint.Send) (endpoint.Outcome, *Reply) {
	r.attempts++
	r.sentAt = now
	a, err := r.open(now, send)
	outcome, out := r.take(send, a, err)
	if err != nil || outcome != endpoint.Finished {
		r.f.Log.Info("attempt failed",
			zap.String("Request", r.req.ID), zap.String("Run", r.req.Run), zap.String("Endpoint", send.Endpoint), zap.Int("Attempt", send.Attempt),
			zap.Stringer("Outcome", outcome), zap.Duration("Took", time.Since(now)), logfile.Problem(err))
	}
	return outcome, out
}

func (r *run) open(now time.Time, send endpoint.Send) (*attempt, error) {
	address, ok := r.f.Endpoints.Address(send.Endpoint)
	if !ok {
		return nil, errors.Wrapf(connection.ErrNotSent, "endpoint %s has no address", send.Endpoint)
	}
	return r.send(now, address, r.forwarding(now, send))
}

// deliver makes the only attempt of a request that goes to one address.
func (r *run) deliver(address string) *Reply {
	now := time.Now()
	r.attempts++
	r.sentAt = now
	a, err := r.send(now, address, Forwarding{Attempt: r.attempts, Account: r.req.Account, Wait: r.req.Deadline.Sub(now), LastEvent: r.lastEvent})
	outcome, out := r.take(endpoint.Send{}, a, err)
	r.ran = outcome != endpoint.Rejected
	if out != nil {
		return out
	}
	if outcome == endpoint.Rejected {
		return refused(refusal.NoEndpoint, address)
	}
	return refused(refusal.AnswerBroken, address)
}

func (r *run) forwarding(now time.Time, send endpoint.Send) Forwarding {
	return Forwarding{
		Endpoint:  send.Endpoint,
		Attempt:   send.Attempt,
		Account:   r.req.Account,
		Wait:      r.req.Deadline.Sub(now),
		LastEvent: r.lastEvent,
		Urgency:   r.req.Urgency,
		Model:     r.req.Model,
	}
}

// until returns when an attempt is given up for want of an answer or a first event.
//
// A repeatable request that has another attempt left does not wait for a silent
// endpoint until its deadline.
func (r *run) until(now time.Time) time.Time {
	last := r.req.Deadline.Add(answerMargin)
	if r.req.Stall > 0 {
		return earlier(last, now.Add(r.req.Stall))
	}
	if !r.req.Repeatable || r.attempts >= r.req.Attempts {
		return last
	}
	left := r.req.Deadline.Sub(now)
	return now.Add(max(2*r.req.Objective, left/2))
}

// answerMargin is the time after the deadline in which an endpoint's own answer to it may arrive.
const answerMargin = 50 * time.Millisecond

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// take judges what came back from an attempt.
func (r *run) take(send endpoint.Send, a *attempt, err error) (endpoint.Outcome, *Reply) {
	switch {
	case r.callerGone():
		if a != nil {
			a.end()
		}
		return endpoint.Abandoned, refused(refusal.CallerGone, "")
	case errors.Is(err, connection.ErrNotSent):
		return endpoint.Rejected, nil
	case err != nil:
		return broken(err), nil
	}
	now := time.Now()
	r.reportLoad(now, send.Endpoint, a)
	status := a.resp.StatusCode
	switch {
	case a.facts.NotRun:
		r.discard(a)
		return endpoint.Rejected, nil
	case !a.facts.Sealed || a.facts.Encoded:
		a.end()
		return endpoint.Incomplete, nil
	case r.req.Streams && status < 300:
		return r.takeStream(a)
	}
	body, err := a.whole()
	if err != nil {
		a.end()
		return broken(err), nil
	}
	a.keep(now, &r.f.Lines)
	out := &Reply{Status: status, Headers: answerHeaders(a), Body: body}
	if status >= 500 && r.req.Repeatable {
		r.fallback = out
		return endpoint.Incomplete, nil
	}
	return endpoint.Finished, out
}

// discard reads the short answer of an endpoint that did not take the request, so that its connection can be used again.
func (r *run) discard(a *attempt) {
	if a.resp.ContentLength < 0 {
		a.end()
		return
	}
	if _, err := a.whole(); err != nil {
		a.end()
		return
	}
	a.keep(time.Now(), &r.f.Lines)
}

func (r *run) reportLoad(now time.Time, name string, a *attempt) {
	if a.facts.Load == nil {
		return
	}
	load := endpoint.Load{Running: a.facts.Load.Running, Waiting: a.facts.Load.Waiting}
	r.f.Endpoints.Handle(now, endpoint.Reported{Endpoint: name, Load: load})
}

// ended tells the pool how an attempt ended.
func (r *run) ended(outcome endpoint.Outcome, tokens int64) {
	if r.direct {
		return
	}
	r.f.Endpoints.Handle(time.Now(), endpoint.Ended{ID: r.req.Run, Outcome: outcome, Tokens: tokens})
}

func (r *run) callerGone() bool {
	select {
	case <-r.req.Gone:
		return true
	default:
		return false
	}
}

func answerHeaders(a *attempt) []Header {
	var out []Header
	for name, values := range a.resp.Header {
		if ConnectionHeader(name) {
			continue
		}
		for _, value := range values {
			out = append(out, Header{name, value})
		}
	}
	return out
}
