package request

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/connection"
	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/internal/origin"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// run is the state of one request while it is served.
type run struct {
	f   *Forwarder
	req *Request

	direct      bool // Sent to a fixed address; the endpoint pool and the budgets are not involved.
	decisions   <-chan endpoint.Action
	reservation reservation
	loans       int // Loans asked for.
	attempts    int
	endpoint    string         // Endpoint of the last attempt.
	version     string         // Its software version.
	origin      *origin.Origin // Where the stream that the caller takes up began; nil if it takes up none or any endpoint may go on with it.
	sentAt      time.Time      // Start of the last attempt.
	ran         bool           // An attempt may have run.
	unconnected bool           // No connection could be opened for an attempt.
	arrived     bool           // An attempt may have arrived at an endpoint.
	events      int64          // Events delivered to the caller.
	lastEventID string
	observed    string      // Endpoint of an attempt whose end Path was not told yet; empty if there is none.
	cut         bool        // The last attempt broke because this router lost its path to the endpoints.
	fallback    *Reply      // Server error from an endpoint, returned if no other attempt succeeds.
	stall       *stallWatch // Of the last attempt; nil if the request cannot move to another endpoint.
}

// withTotals sets the fields of a reply that summarise the run, and returns it.
func (r *run) withTotals(out *Reply) *Reply {
	out.Ran = r.ran
	out.Attempts = r.attempts
	out.Endpoint = r.endpoint
	out.Version = r.version
	out.Lender = r.reservation.lender
	out.Unconnected = r.unconnected
	out.Arrived = r.arrived
	return out
}

// serve processes the request until its answer, or the first event of its stream, is available.
func (r *run) serve() *Reply {
	if out := r.bindToOrigin(); out != nil {
		return out
	}
	if out := r.reserve(); out != nil {
		return out
	}
	r.decisions = r.f.Endpoints.Decisions.Open(r.req.RunID)
	out := r.dispatch()
	if out.Stream == nil {
		r.forgetSent()
		r.finish()
	}
	return out
}

// finish withdraws the request from the endpoint pool and settles its reservation.
func (r *run) finish() {
	if r.direct {
		return
	}
	r.f.Endpoints.Decisions.Close(r.req.RunID)
	r.f.Endpoints.Handle(time.Now(), endpoint.Withdrawn{ID: r.req.RunID})
	r.settle()
}

// dispatch submits the request to the endpoint pool and makes the attempts that the pool decides on.
func (r *run) dispatch() *Reply {
	r.f.Endpoints.Handle(time.Now(), endpoint.Submitted{Request: r.poolRequest()})
	send, out := r.awaitDecision(r.req.startBy())
	for out == nil {
		if out = r.try(send, nil); out == nil {
			send, out = r.retry(r.req.startBy())
		}
	}
	return out
}

// retry asks the endpoint pool for another attempt, unless it is too late for one. A non-nil reply ends the request.
func (r *run) retry(until time.Time) (endpoint.Send, *Reply) {
	if !time.Now().Before(until) {
		return endpoint.Send{}, r.giveUp(refusal.DeadlineUnreachable, 0)
	}
	if out := r.refuseWithoutPath(); out != nil {
		return endpoint.Send{}, out
	}
	now := time.Now()
	budget := r.f.Endpoints.RetryBudget(now, r.req.Service)
	r.f.Endpoints.Handle(now, endpoint.Retried{ID: r.req.RunID})
	send, out := r.awaitDecision(until)
	if out != nil && budget.Exhausted() {
		r.f.Log.Info("retry refused", append(retryFields(r.req.Service, budget), zap.String("Request", r.req.ID), zap.String("Run", r.req.RunID), zap.Int("Attempts", r.attempts))...)
	}
	return send, out
}

func (r *run) poolRequest() endpoint.Request {
	out := endpoint.Request{
		ID:           r.req.RunID,
		Service:      r.req.Service,
		Account:      r.req.Account,
		Weight:       r.req.Weight,
		Class:        r.req.Class,
		PromptTokens: r.req.PromptTokens,
		OutputTokens: max(1, r.req.OutputTokens),
		Prefix:       r.req.Prefix,
		Parts:        r.req.Parts,
		Deadline:     r.req.startBy(),
		AnswerBy:     r.req.Deadline,
		Fingerprint:  r.req.Fingerprint,
		Repeatable:   r.req.Repeatable,
		MaxAttempts:  max(1, r.req.MaxAttempts),
		BeginsStream: r.req.Streams && r.req.Resumable,
		Arrived:      r.req.Prior.Arrived,
		Runs:         r.req.Prior.Runs,
	}
	if r.origin != nil {
		out.VersionBound = true
		out.Version = r.origin.Version
	}
	return out
}

// awaitDecision waits for the decision of the endpoint pool. A non-nil reply ends the request without another attempt.
func (r *run) awaitDecision(until time.Time) (endpoint.Send, *Reply) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-r.req.CallerGone:
		return endpoint.Send{}, refusedReply(refusal.CallerGone, "")
	case <-timer.C:
		return endpoint.Send{}, r.giveUp(refusal.DeadlineUnreachable, 0)
	case <-r.pathLost():
		return endpoint.Send{}, r.giveUp(refusal.NoEndpoint, 0)
	case action := <-r.decisions:
		switch action := action.(type) {
		case endpoint.Send:
			if r.callerGone() {
				r.reportOutcome(endpoint.Abandoned, 0)
				return endpoint.Send{}, refusedReply(refusal.CallerGone, "")
			}
			if !time.Now().Before(until) {
				// The process was stalled: the decision was made in time but is handled too late.
				r.reportOutcome(endpoint.Abandoned, 0)
				return endpoint.Send{}, r.giveUp(refusal.DeadlineUnreachable, 0)
			}
			return action, nil
		case endpoint.Refuse:
			return endpoint.Send{}, r.giveUp(action.Kind, action.RetryAfter)
		default:
			return endpoint.Send{}, refusedReply(refusal.Internal, "no decision on an endpoint")
		}
	}
}

// giveUp returns the reply of a request for which no further attempt is made.
func (r *run) giveUp(kind refusal.Kind, after time.Duration) *Reply {
	if r.fallback != nil {
		return r.fallback
	}
	switch kind {
	case refusal.UnknownModel, refusal.UnknownService:
		kind = refusal.NoEndpoint // The configuration lists the service, so it is not unknown.
	case refusal.Suspect:
		kind = refusal.SuspectHeld
	}
	if r.ran && kind.Answer().Ran == refusal.NotRun {
		// The original kind would state that the request did not run.
		kind = refusal.AnswerBroken
		after = 0
	}
	if kind == refusal.AnswerBroken && !time.Now().Before(r.req.Deadline) {
		kind = refusal.DeadlineExceeded
	}
	return &Reply{Refusal: &refusal.Error{Kind: kind, Detail: r.req.Service, After: after}}
}

// try makes one attempt, on a connection if there is one already, and further ones as long as the request moves to other
// endpoints; a nil reply means that another one is needed.
func (r *run) try(send endpoint.Send, conn *connection.Conn) *Reply {
	for {
		outcome, out, next := r.exchange(time.Now(), send, conn)
		r.f.observer().Attempted(outcome)
		switch {
		case out != nil && out.Stream != nil:
			return out // The attempt ends with its stream.
		case next == nil:
			r.reportOutcome(outcome, 0)
			r.checkCrash(outcome)
			return out
		}
		if !r.move(next, outcome) {
			return nil
		}
		send, conn = next.send, next.conn
	}
}

// exchange sends the request to an endpoint and returns the outcome of the attempt, and the place at which the request goes
// on if the endpoint was silent and there is one.
func (r *run) exchange(now time.Time, send endpoint.Send, conn *connection.Conn) (endpoint.Outcome, *Reply, *place) {
	r.attempts++
	r.endpoint = send.Endpoint
	r.version = send.Version
	r.sentAt = now
	r.recordSent()
	a, err := r.open(now, send, conn)
	outcome, out := r.handleAnswer(send, a, err)
	next := r.endFirstWait(out)
	if next != nil && outcome == endpoint.Died {
		outcome = endpoint.Silent // The stall watch closed the connection.
	}
	notSent := outcome == endpoint.Rejected || errors.Is(err, errCallerLeft)
	r.ran = r.ran || !notSent
	r.arrived = r.arrived || !notSent || a != nil
	r.unconnected = r.unconnected || errors.Is(err, connection.ErrNotSent)
	if connection.IsRefused(err) {
		r.f.Endpoints.Handle(now, endpoint.ConnectionRefused{Endpoint: send.Endpoint})
	}
	if err != nil || outcome != endpoint.Finished {
		budget := retryFields(r.req.Service, r.f.Endpoints.RetryBudget(now, r.req.Service))
		r.f.Log.Info("attempt failed", append(budget,
			zap.String("Request", r.req.ID), zap.String("Run", r.req.RunID), zap.String("Endpoint", send.Endpoint), zap.String("EndpointVersion", send.Version), zap.Int("Attempt", send.Attempt),
			zap.Stringer("Outcome", outcome), zap.Duration("Took", time.Since(now)), logfile.Error(err))...)
	}
	return outcome, out, next
}

func (r *run) open(now time.Time, send endpoint.Send, conn *connection.Conn) (*attempt, error) {
	address, ok := r.f.Endpoints.Address(send.Endpoint)
	if conn != nil {
		address = conn.Address()
	} else if !ok {
		return nil, errors.Wrapf(connection.ErrNotSent, "no address known for endpoint %s", send.Endpoint)
	}
	r.observeStart(now)
	a, err := r.send(now, address, conn, r.attemptInfo(now, send))
	r.observeOpened(time.Now(), err)
	return a, err
}

// forwardTo makes the single attempt of a request that is sent to a fixed address.
func (r *run) forwardTo(address string) *Reply {
	now := time.Now()
	r.attempts++
	r.sentAt = now
	a, err := r.send(now, address, nil, AttemptInfo{Attempt: r.attempts, Account: r.req.Account, Timeout: r.req.Deadline.Sub(now), LastEventID: r.lastEventID})
	outcome, out := r.handleAnswer(endpoint.Send{}, a, err)
	r.ran = outcome != endpoint.Rejected
	if out != nil {
		return out
	}
	if outcome == endpoint.Rejected {
		return refusedReply(refusal.NoEndpoint, address)
	}
	return refusedReply(refusal.AnswerBroken, address)
}

func (r *run) attemptInfo(now time.Time, send endpoint.Send) AttemptInfo {
	return AttemptInfo{
		Endpoint:    send.Endpoint,
		Attempt:     send.Attempt,
		Account:     r.req.Account,
		Timeout:     r.req.Deadline.Sub(now),
		LastEventID: r.lastEventID,
		Urgency:     r.req.Urgency,
		HasPrompt:   r.req.HasPrompt,
	}
}

// attemptDeadline returns the time at which an attempt without an answer or a first event is aborted.
func (r *run) attemptDeadline(now time.Time) time.Time {
	last := r.req.Deadline.Add(answerMargin)
	if r.stall == nil && r.req.StallTimeout > 0 {
		return earlier(last, now.Add(r.req.StallTimeout))
	}
	return last
}

// answerMargin is how long after the deadline an attempt still waits, because an endpoint may answer just when the deadline expires.
const answerMargin = 50 * time.Millisecond

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// handleAnswer classifies the result of an attempt. A nil reply means that it produced no answer for the caller.
func (r *run) handleAnswer(send endpoint.Send, a *attempt, err error) (endpoint.Outcome, *Reply) {
	switch {
	case r.callerGone(), errors.Is(err, errCallerLeft):
		if a != nil {
			a.abort()
		}
		return endpoint.Abandoned, refusedReply(refusal.CallerGone, "")
	case errors.Is(err, connection.ErrNotSent):
		return endpoint.Rejected, nil
	case err != nil:
		return failureOutcome(err), nil
	}
	now := time.Now()
	r.reportHead(now, send.Endpoint, a)
	status := a.resp.StatusCode
	switch {
	case a.head.NotRun:
		r.discard(a)
		return endpoint.Rejected, nil
	case !a.head.Sealed || a.head.Encoded:
		a.abort()
		return endpoint.Incomplete, nil
	case a.head.Denied && !r.req.Repeatable:
		r.discard(a)
		return endpoint.Incomplete, nil
	case r.continues() && status < 300 && (a.head.Unary || status != http.StatusOK):
		r.logInvalidAnswer(a, errors.Wrap(ErrInvalidStream, "not a series of events"))
		a.abort()
		return endpoint.Incomplete, nil
	case r.req.Streams && status < 300 && !a.head.Unary:
		return r.startStream(a)
	}
	body, err := a.readBody(r.req)
	if err != nil {
		a.abort()
		return failureOutcome(err), nil
	}
	a.recycle(now, &r.f.Connections)
	out := &Reply{Status: status, Headers: answerHeaders(a), Body: body}
	if status >= 500 && r.req.Repeatable {
		r.fallback = out
		return endpoint.Incomplete, nil
	}
	return endpoint.Finished, out
}

// continues reports whether the caller has events of the stream already, so that only the events after them may follow.
func (r *run) continues() bool { return r.req.Streams && r.lastEventID != "" }

// discard reads the short answer of an endpoint that rejected the request, so that the connection can be reused.
func (r *run) discard(a *attempt) {
	if a.resp.ContentLength < 0 || a.resp.ContentLength > maxStaleBytes || a.head.Encoded {
		a.abort()
		return
	}
	if _, err := io.Copy(io.Discard, a.body); err != nil {
		a.abort()
		return
	}
	a.recycle(time.Now(), &r.f.Connections)
}

func (r *run) callerGone() bool {
	select {
	case <-r.req.CallerGone:
		return true
	default:
		return false
	}
}

// callerLeft looks at the caller's connection, which costs a system call.
func (r *run) callerLeft() bool { return r.req.CallerLeft != nil && r.req.CallerLeft() }

func answerHeaders(a *attempt) []Header {
	var out []Header
	for name, values := range a.resp.Header {
		if IsHopByHop(name) {
			continue
		}
		for _, value := range values {
			out = append(out, Header{name, value})
		}
	}
	return out
}
