package router

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/chat"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/order"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
	"github.com/foxtaillanding/foxtaillanding/pkg/settings"
)

// maxServiceAnswer is the largest answer of a service that is passed on, in bytes; it has to fit into a claim.
const maxServiceAnswer = 512 << 10

// serviceCall is one call of a plain service.
type serviceCall struct {
	id       string
	service  string
	call     settings.Call
	caller   caller
	key      string
	body     []byte
	bodyHash uint64
	deadline time.Time
}

// serveCall answers a call of a plain service.
func (r *Router) serveCall(ctx *fasthttp.RequestCtx, done func()) {
	defer done()
	c, refused := r.admitCall(ctx)
	if refused != nil {
		writeRefusal(ctx, refused)
		return
	}
	answers := make(chan callResult, 1)
	if r.workers.Submit(func() { answers <- r.runCall(c) }) != nil {
		writeRefusal(ctx, refusal.New(refusal.Overloaded, ""))
		return
	}
	result := <-answers
	r.observeCall(c, result)
	if result.refused != nil {
		writeRefusal(ctx, result.refused)
		return
	}
	ctx.SetStatusCode(result.answer.Status)
	ctx.SetContentType(result.answer.ContentType)
	if result.replayed {
		ctx.Response.Header.Set("Idempotent-Replayed", "true")
	}
	ctx.SetBody(result.answer.Body)
}

// runCall runs a call to its end; a fault of the router is told as one.
func (r *Router) runCall(c *serviceCall) (result callResult) {
	defer func() {
		if problem := recover(); problem != nil {
			r.logPanic(c.id, problem)
			result = callResult{refused: refusal.New(refusal.Internal, "")}
		}
	}()
	if c.call.Repeatable {
		return r.runRepeatable(c)
	}
	return r.runOrder(c)
}

// callResult is a service's answer or the refusal in its place.
type callResult struct {
	answer   order.Answer
	replayed bool
	refused  *refusal.Error
}

func (r *Router) admitCall(ctx *fasthttp.RequestCtx) (*serviceCall, *refusal.Error) {
	s := r.snapshot()
	who, ok := s.caller(bearer(ctx))
	if !ok {
		return nil, refusal.New(refusal.Unauthenticated, "")
	}
	service, _ := ctx.UserValue("service").(string)
	name, _ := ctx.UserValue("call").(string)
	described, ok := s.tree.Fleet.Call(service, name)
	if !ok || !s.serves(service) {
		return nil, refusal.New(refusal.UnknownService, service+"/"+name)
	}
	if len(ctx.PostBody()) > s.limits.BodyBytes {
		return nil, refusal.New(refusal.TooLarge, fmt.Sprintf("the body is above %d bytes", s.limits.BodyBytes))
	}
	key := string(ctx.Request.Header.Peek(chat.HeaderIdempotencyKey))
	if key == "" && !described.Repeatable {
		return nil, refusal.New(refusal.KeyRequired, service+"/"+name)
	}
	c := &serviceCall{
		id:       newID(),
		service:  service,
		call:     described,
		caller:   who,
		key:      key,
		body:     append([]byte(nil), ctx.PostBody()...),
		deadline: time.Now().Add(time.Duration(s.limits.FirstTokenSeconds) * time.Second),
	}
	c.bodyHash = xxhash.Sum64String(who.name() + "\x00" + service + "/" + name + "\x00" + string(c.body))
	return c, nil
}

// claimKey is the store key of an order's claim; the caller's key is hashed so that its length and characters do not matter.
func (c *serviceCall) claimKey() string {
	return "Orders/" + c.caller.name() + "/" + settings.HashKey(c.key)
}

// runOrder runs a call that may not be repeated: claimed, sent at most once, its outcome recorded.
func (r *Router) runOrder(c *serviceCall) callResult {
	decisions := r.orders.decisions.Open(c.id)
	defer r.orders.decisions.Close(c.id)
	r.orders.handle(time.Now(), order.Placed{
		Request:  c.id,
		Key:      c.claimKey(),
		Attempt:  c.id,
		BodyHash: c.bodyHash,
		Deadline: c.deadline,
	})
	for decision := range decisions {
		switch decision := decision.(type) {
		case order.Reply:
			return callResult{answer: decision.Answer, replayed: decision.Replayed}
		case order.Refuse:
			return callResult{refused: refusal.New(decision.Kind, c.service+"/"+c.call.Name)}
		case order.Send:
			r.orders.handle(time.Now(), r.sendOrder(c))
		}
	}
	return callResult{refused: refusal.New(refusal.Internal, "no decision on the order")}
}

// sendOrder sends a claimed order once and reports what came of it.
func (r *Router) sendOrder(c *serviceCall) order.Event {
	send, kind, ok := r.place(c)
	if !ok {
		return order.Failed{Request: c.id, Kind: kind, Sent: false}
	}
	answer, outcome := r.callOnce(c, send)
	r.backends.handle(time.Now(), endpoint.Ended{ID: c.id, Outcome: outcome})
	r.backends.handle(time.Now(), endpoint.Withdrawn{ID: c.id})
	switch outcome {
	case endpoint.Finished:
		return order.Answered{Request: c.id, Answer: answer}
	case endpoint.Rejected:
		return order.Failed{Request: c.id, Kind: refusal.NoEndpoint, Sent: false}
	default:
		return order.Failed{Request: c.id, Kind: refusal.OrderUnknown, Sent: true}
	}
}

// place waits until an endpoint is chosen for the call.
func (r *Router) place(c *serviceCall) (endpoint.Send, refusal.Kind, bool) {
	decisions := r.backends.decisions.Open(c.id)
	defer r.backends.decisions.Close(c.id)
	r.submitCall(c)
	switch decision := (<-decisions).(type) {
	case endpoint.Send:
		return decision, 0, true
	case endpoint.Refuse:
		return endpoint.Send{}, decision.Kind, false
	default:
		return endpoint.Send{}, refusal.Internal, false
	}
}

func (r *Router) submitCall(c *serviceCall) {
	r.backends.handle(time.Now(), endpoint.Submitted{Request: endpoint.Request{
		ID:           c.id,
		Serves:       c.service,
		Account:      c.caller.name(),
		Weight:       c.caller.account.Weight,
		Class:        c.caller.class(),
		OutputTokens: 1,
		Deadline:     c.deadline,
		Fingerprint:  c.bodyHash,
		Repeatable:   c.call.Repeatable,
	}})
}

// runRepeatable runs a call that may be repeated, on another endpoint when one fails.
func (r *Router) runRepeatable(c *serviceCall) callResult {
	decisions := r.backends.decisions.Open(c.id)
	defer r.backends.decisions.Close(c.id)
	r.submitCall(c)
	for decision := range decisions {
		switch decision := decision.(type) {
		case endpoint.Refuse:
			return callResult{refused: &refusal.Error{Kind: decision.Kind, After: decision.After}}
		case endpoint.Send:
			answer, outcome := r.callOnce(c, decision)
			r.backends.handle(time.Now(), endpoint.Ended{ID: c.id, Outcome: outcome})
			if outcome == endpoint.Finished {
				return callResult{answer: answer}
			}
			r.backends.handle(time.Now(), endpoint.Retried{ID: c.id})
		}
	}
	return callResult{refused: refusal.New(refusal.Internal, "no decision on the call")}
}

// callOnce sends a call to one endpoint.
func (r *Router) callOnce(c *serviceCall, send endpoint.Send) (order.Answer, endpoint.Outcome) {
	address, ok := r.snapshot().address[send.Endpoint]
	if !ok {
		return order.Answer{}, endpoint.Rejected
	}
	headers := map[string]string{chat.HeaderRequestID: c.id}
	if c.key != "" {
		headers[chat.HeaderIdempotencyKey] = c.key
	}
	answered, err := r.endpoints.post(call{address: address, path: c.call.Path, body: c.body, headers: headers})
	if err != nil {
		r.log.Warn("service call failed", zap.String("Request", c.id), zap.String("Endpoint", send.Endpoint), zap.Error(err))
		return order.Answer{}, failedCall(err)
	}
	defer answered.close()
	body, err := answered.read(maxServiceAnswer)
	if err != nil {
		return order.Answer{}, endpoint.Died
	}
	contentType := string(answered.resp.Header.ContentType())
	return order.Answer{Status: answered.status(), ContentType: contentType, Body: body}, endpoint.Finished
}
