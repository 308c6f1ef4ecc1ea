package router

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/internal/chat"
	"github.com/foxtaillanding/foxtaillanding/internal/connection"
	"github.com/foxtaillanding/foxtaillanding/internal/credential"
	"github.com/foxtaillanding/foxtaillanding/internal/request"
	"github.com/foxtaillanding/foxtaillanding/internal/response"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/order"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
	"github.com/foxtaillanding/foxtaillanding/pkg/settings"
)

// maxServiceAnswer is the maximum size in bytes of the answer to an order, which has to fit into a claim.
const maxServiceAnswer = 512 << 10

// serviceCall is one call of a plain service; it implements request.Codec.
type serviceCall struct {
	id         string
	service    string
	call       settings.Call
	caller     caller
	key        string // Idempotency-Key; empty if the call has none.
	body       []byte
	bodyHash   uint64
	arrived    time.Time
	deadline   time.Time       // For the answer to begin.
	callerGone <-chan struct{} // Closed when the caller closes its connection.
}

// AttemptHeaders returns the headers of a call.
func (c *serviceCall) AttemptHeaders(m *request.Message, _ request.AttemptInfo) []request.Header {
	return m.Headers
}

// ParseHead interprets the head of a service's answer; an answer with an error status counts like any other.
func (c *serviceCall) ParseHead(id string, _ int, _ http.Header) request.AnswerHead {
	return request.AnswerHead{ID: id, Sealed: true}
}

// Events is never called, since the answer of a service is not a stream.
func (c *serviceCall) Events(body io.Reader) request.EventReader { return request.NewSSEReader(body) }

// serveCall answers a call of a plain service.
func (r *Router) serveCall(ctx *fasthttp.RequestCtx, done func()) {
	defer done()
	c, refused := r.admitCall(ctx)
	if refused != nil {
		response.Refuse(ctx, refused)
		return
	}
	watch := connection.WatchCaller(ctx.Conn())
	defer watch.Stop()
	c.callerGone = watch.Gone
	answers := make(chan callResult, 1)
	if r.requestWorkers.Submit(func() { answers <- r.runCall(c) }) != nil {
		response.Refuse(ctx, refusal.New(refusal.Overloaded, ""))
		return
	}
	result := <-answers
	r.recordCall(c, result)
	if result.refused != nil {
		response.Refuse(ctx, result.refused)
		return
	}
	ctx.SetStatusCode(result.answer.Status)
	ctx.SetContentType(result.answer.ContentType)
	if result.replayed {
		ctx.Response.Header.Set("Idempotent-Replayed", "true")
	}
	ctx.SetBody(result.answer.Body)
}

// runCall runs a call to its end; a panic becomes an Internal refusal.
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

// callResult is the answer of a service or a refusal.
type callResult struct {
	answer   order.Answer
	replayed bool // The answer belongs to an earlier order with the same key.
	refused  *refusal.Error
}

// admitCall authenticates and validates a service call.
func (r *Router) admitCall(ctx *fasthttp.RequestCtx) (*serviceCall, *refusal.Error) {
	s := r.snapshot()
	account, ok := s.caller(credential.Bearer(ctx))
	if !ok {
		return nil, refusal.New(refusal.Unauthenticated, "")
	}
	service, _ := ctx.UserValue("service").(string)
	name, _ := ctx.UserValue("call").(string)
	call, ok := s.tree.Fleet.Call(service, name)
	if !ok || !s.serves(service) {
		return nil, refusal.New(refusal.UnknownService, service+"/"+name)
	}
	if len(ctx.PostBody()) > s.limits.BodyBytes {
		return nil, refusal.New(refusal.TooLarge, fmt.Sprintf("the body is above %d bytes", s.limits.BodyBytes))
	}
	key := string(ctx.Request.Header.Peek(chat.HeaderIdempotencyKey))
	if key == "" && !call.Repeatable {
		return nil, refusal.New(refusal.KeyRequired, service+"/"+name)
	}
	c := &serviceCall{
		id:      newID(),
		service: service,
		call:    call,
		caller:  account,
		key:     key,
		body:    append([]byte(nil), ctx.PostBody()...),
		arrived: time.Now(),
	}
	c.deadline = c.arrived.Add(time.Duration(s.limits.FirstTokenSeconds) * time.Second)
	c.bodyHash = xxhash.Sum64String(account.name() + "\x00" + service + "/" + name + "\x00" + string(c.body))
	return c, nil
}

// claimKey returns the store key of an order's claim. The caller's key is hashed, so it may have any length and characters.
func (c *serviceCall) claimKey() string {
	return claimPrefix + c.caller.name() + "/" + settings.HashKey(c.key)
}

// runOrder runs a call that must not be repeated: it claims the order, sends it at most once and records its outcome.
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

// sendOrder sends a claimed order once and returns its outcome.
//
// It continues after the caller has disconnected: the outcome is recorded for
// the next request with the same key.
func (r *Router) sendOrder(c *serviceCall) order.Event {
	reply := r.forwarder.Forward(r.newCallRequest(c))
	switch {
	case reply.Refusal != nil && reply.Ran:
		return order.Failed{Request: c.id, Kind: refusal.OrderUnknown, Sent: true}
	case reply.Refusal != nil:
		return order.Failed{Request: c.id, Kind: reply.Refusal.Kind, Sent: false}
	case len(reply.Body) > maxServiceAnswer:
		return order.Failed{Request: c.id, Kind: refusal.OrderUnknown, Sent: true}
	}
	return order.Answered{Request: c.id, Answer: serviceAnswer(reply)}
}

// runRepeatable runs a repeatable call, which is retried at another endpoint if one fails.
func (r *Router) runRepeatable(c *serviceCall) callResult {
	req := r.newCallRequest(c)
	req.CallerGone = c.callerGone
	reply := r.forwarder.Forward(req)
	if reply.Refusal != nil {
		return callResult{refused: reply.Refusal}
	}
	return callResult{answer: serviceAnswer(reply)}
}

// newCallRequest returns the call in the form that the forwarder expects.
func (r *Router) newCallRequest(c *serviceCall) *request.Request {
	headers := []request.Header{
		{Name: fasthttp.HeaderContentType, Value: "application/json"},
		{Name: chat.HeaderRequestID, Value: c.id},
	}
	if c.key != "" {
		headers = append(headers, request.Header{Name: chat.HeaderIdempotencyKey, Value: c.key})
	}
	limits := r.snapshot().limits
	return &request.Request{
		Message: request.Message{ID: c.id, Method: fasthttp.MethodPost, Target: c.call.Path, Headers: headers, Body: c.body},
		Terms: request.Terms{
			Account:      c.caller.name(),
			Weight:       c.caller.account.Weight,
			Class:        c.caller.class(),
			Service:      c.service,
			Repeatable:   c.call.Repeatable,
			MaxAttempts:  endpoint.DefaultMaxAttempts,
			StallTimeout: r.stallTimeout(),
		},
		RunID:       c.id,
		Fingerprint: c.bodyHash,
		Arrived:     c.arrived,
		StartBy:     c.deadline,
		Deadline:    c.arrived.Add(time.Duration(limits.AnswerSeconds) * time.Second),
		Codec:       c,
	}
}

// serviceAnswer converts the reply of a service to an order.Answer.
func serviceAnswer(reply *request.Reply) order.Answer {
	answer := order.Answer{Status: reply.Status, Body: reply.Body}
	for _, h := range reply.Headers {
		if strings.EqualFold(h.Name, fasthttp.HeaderContentType) {
			answer.ContentType = h.Value
		}
	}
	return answer
}
