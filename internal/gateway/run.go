package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
	"github.com/foxtaillanding/foxtaillanding/pkg/route"
)

// run is one request on its way; the goroutine of its connection owns it.
type run struct {
	g           *Gateway
	id          string // Of this run within the fleet; the caller's own ID may come twice.
	req         Request
	route       *route.Route
	service     *route.Service
	account     *route.Account // Nil on a route that needs no key.
	version     uint64         // Of the configuration that decided.
	arrived     time.Time
	deadline    time.Time
	fingerprint uint64
	gone        <-chan struct{} // Closed when the caller left.

	decisions <-chan endpoint.Action
	reserved  reservation
	attempts  int
	sentAt    time.Time // Of the last attempt.
	ran       bool      // An attempt may have run.
	events    int64     // Passed on to the caller.
	lastEvent string
	fallback  *reply // A failure that an endpoint answered with, in case no other attempt succeeds.
}

// reply is what a caller is answered; exactly one of Refused, Body and Stream counts.
type reply struct {
	Status  int
	Headers []Header
	Body    []byte
	Stream  *stream
	Refused *refusal.Error
}

func refused(kind refusal.Kind, detail string) *reply {
	return &reply{Refused: refusal.New(kind, detail)}
}

// serve carries a request to its answer, or to the first event of its stream.
func (r *run) serve() *reply {
	if out := r.reserve(); out != nil {
		return out
	}
	r.decisions = r.g.endpoints.decisions.Open(r.id)
	out := r.place()
	if out.Stream == nil {
		r.finish()
	}
	return out
}

// finish frees what the request holds and bills it.
func (r *run) finish() {
	r.g.endpoints.decisions.Close(r.id)
	r.g.endpoints.handle(time.Now(), endpoint.Withdrawn{ID: r.id})
	r.settle()
}

// place offers the request to the pool and makes the attempts that it decides on.
func (r *run) place() *reply {
	r.g.endpoints.handle(time.Now(), endpoint.Submitted{Request: r.described()})
	for {
		send, out := r.await()
		if out != nil {
			return out
		}
		if out := r.try(send); out != nil {
			return out
		}
		r.g.endpoints.handle(time.Now(), endpoint.Retried{ID: r.id})
	}
}

func (r *run) described() endpoint.Request {
	out := endpoint.Request{
		ID:           r.id,
		Serves:       r.service.Name,
		Class:        class(r.rank()),
		PromptTokens: r.req.PromptTokens,
		OutputTokens: max(1, r.req.OutputTokens),
		Parts:        r.req.Parts,
		Deadline:     r.deadline,
		Fingerprint:  r.fingerprint,
		Repeatable:   r.route.Repeatable(),
		Attempts:     max(1, r.route.Attempts),
	}
	if r.account != nil {
		out.Account = r.account.Name
	}
	return out
}

// fingerprint names what is asked, so that a request that comes again is known again.
func (r *Request) fingerprint() uint64 {
	h := xxhash.New()
	for _, part := range []string{r.Key, r.Method, r.Host, r.Target} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}

// rank is the urgency of the request; an account's goes before its route's.
func (r *run) rank() int {
	if r.account != nil && r.account.Rank != nil {
		return *r.account.Rank
	}
	return r.route.Rank
}

// class returns the class of a rank.
func class(rank int) endpoint.Class {
	return endpoint.Class(min(max(rank, 0), int(endpoint.Batch)))
}

// await waits for the pool's decision; reply is set when the request ends without an attempt.
func (r *run) await() (endpoint.Send, *reply) {
	timer := time.NewTimer(time.Until(r.deadline))
	defer timer.Stop()
	select {
	case <-r.gone:
		return endpoint.Send{}, refused(refusal.CallerGone, "")
	case <-timer.C:
		return endpoint.Send{}, r.giveUp(refusal.DeadlineUnreachable, 0)
	case action := <-r.decisions:
		switch action := action.(type) {
		case endpoint.Send:
			return action, nil
		case endpoint.Refuse:
			return endpoint.Send{}, r.giveUp(action.Kind, action.After)
		default:
			return endpoint.Send{}, refused(refusal.Internal, "no decision on an endpoint")
		}
	}
}

// giveUp ends a request for which no further attempt is made.
func (r *run) giveUp(kind refusal.Kind, after time.Duration) *reply {
	if r.fallback != nil {
		return r.fallback
	}
	switch kind {
	case refusal.UnknownModel, refusal.UnknownService:
		kind = refusal.NoEndpoint // The route names the service, so that it exists.
	case refusal.Suspect:
		kind = refusal.SuspectHeld
	}
	if r.ran && kind.Answer().Ran == refusal.NotRun {
		kind = refusal.AnswerBroken
		after = 0
	}
	if kind == refusal.AnswerBroken && !time.Now().Before(r.deadline) {
		kind = refusal.DeadlineExceeded
	}
	return &reply{Refused: &refusal.Error{Kind: kind, Detail: r.service.Name, After: after}}
}

// try makes one attempt; nil asks for another one.
func (r *run) try(send endpoint.Send) *reply {
	r.attempts++
	now := time.Now()
	r.sentAt = now
	a, err := r.g.send(now, &r.req, r.forwarding(now, send), !r.route.Repeatable(), r.until(now), r.gone)
	outcome, out := r.take(send, a, err)
	if err != nil || outcome != endpoint.Finished {
		r.g.log.Info("attempt failed",
			zap.String("Request", r.req.ID), zap.String("Run", r.id), zap.String("Endpoint", send.Endpoint), zap.Int("Attempt", send.Attempt),
			zap.Stringer("Outcome", outcome), zap.Duration("Took", time.Since(now)), logfile.Problem(err))
	}
	r.g.metrics.attempt(outcome)
	r.ran = r.ran || outcome != endpoint.Rejected
	if out != nil && out.Stream != nil {
		return out // It ends when the stream does.
	}
	r.ended(outcome, 0)
	return out
}

func (r *run) forwarding(now time.Time, send endpoint.Send) Forwarding {
	f := Forwarding{
		Endpoint:  send.Endpoint,
		Wait:      r.deadline.Sub(now),
		LastEvent: r.lastEvent,
		Urgency:   r.rank(),
		Model:     r.req.Model,
	}
	if r.account != nil {
		f.Account = r.account.Name
	}
	return f
}

// until returns when an attempt is given up for want of an answer or a first event.
//
// A repeatable request that has another attempt left does not wait for a silent
// endpoint until its deadline.
func (r *run) until(now time.Time) time.Time {
	left := r.deadline.Sub(now)
	if !r.route.Repeatable() || r.attempts >= r.route.Attempts {
		return r.deadline.Add(answerMargin)
	}
	return now.Add(max(2*r.route.Objective, left/2))
}

// answerMargin is the time after the deadline in which an endpoint's own answer to it may arrive.
const answerMargin = 50 * time.Millisecond

// take judges what came back from an attempt.
func (r *run) take(send endpoint.Send, a *attempt, err error) (endpoint.Outcome, *reply) {
	switch {
	case r.callerGone():
		if a != nil {
			a.end()
		}
		return endpoint.Abandoned, refused(refusal.CallerGone, "")
	case errors.Is(err, errNotSent):
		return endpoint.Rejected, nil
	case err != nil:
		return endpoint.Died, nil
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
	case r.route.Kind == route.Stream && status < 300:
		return r.takeStream(a)
	}
	body, err := a.whole()
	if err != nil {
		a.end()
		return endpoint.Died, nil
	}
	a.keep(now, &r.g.lines)
	out := &reply{Status: status, Headers: answerHeaders(a), Body: body}
	if status >= 500 && r.route.Repeatable() {
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
	a.keep(time.Now(), &r.g.lines)
}

func (r *run) reportLoad(now time.Time, name string, a *attempt) {
	if a.facts.Load == nil {
		return
	}
	load := endpoint.Load{Running: a.facts.Load.Running, Waiting: a.facts.Load.Waiting}
	r.g.endpoints.reported(now, name, load)
}

// ended tells the pool how an attempt ended.
func (r *run) ended(outcome endpoint.Outcome, tokens int64) {
	r.g.endpoints.handle(time.Now(), endpoint.Ended{ID: r.id, Outcome: outcome, Tokens: tokens})
}

func (r *run) callerGone() bool {
	select {
	case <-r.gone:
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
