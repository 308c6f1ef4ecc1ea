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

// maxServiceAnswer is the largest answer of a service that is passed on, in bytes; it has to fit into a claim.
const maxServiceAnswer = 512 << 10

// serviceCall is one call of a plain service; it implements request.Codec.
type serviceCall struct {
	id       string
	service  string
	call     settings.Call
	caller   caller
	key      string
	body     []byte
	bodyHash uint64
	arrived  time.Time
	deadline time.Time
	left     <-chan struct{} // Closed when the caller closed its connection.
}

// AttemptHeaders returns the headers of a call.
func (c *serviceCall) AttemptHeaders(m *request.Message, _ request.AttemptInfo) []request.Header {
	return m.Headers
}

// ParseHead reads the head of a service's answer; whatever the status is, it is the answer.
func (c *serviceCall) ParseHead(id string, _ int, _ http.Header) request.AnswerHead {
	return request.AnswerHead{ID: id, Sealed: true}
}

// Events is not asked for: a service answers as a whole.
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
	c.left = watch.Gone
	answers := make(chan callResult, 1)
	if r.workers.Submit(func() { answers <- r.runCall(c) }) != nil {
		response.Refuse(ctx, refusal.New(refusal.Overloaded, ""))
		return
	}
	result := <-answers
	r.observeCall(c, result)
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
	who, ok := s.caller(credential.Bearer(ctx))
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
		id:      newID(),
		service: service,
		call:    described,
		caller:  who,
		key:     key,
		body:    append([]byte(nil), ctx.PostBody()...),
		arrived: time.Now(),
	}
	c.deadline = c.arrived.Add(time.Duration(s.limits.FirstTokenSeconds) * time.Second)
	c.bodyHash = xxhash.Sum64String(who.name() + "\x00" + service + "/" + name + "\x00" + string(c.body))
	return c, nil
}

// claimKey is the store key of an order's claim; the caller's key is hashed so that its length and characters do not matter.
func (c *serviceCall) claimKey() string {
	return claimPrefix + c.caller.name() + "/" + settings.HashKey(c.key)
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
//
// It goes on when the caller left: the outcome is recorded for the next request with the key.
func (r *Router) sendOrder(c *serviceCall) order.Event {
	out := r.forwarder.Forward(r.describedCall(c))
	switch {
	case out.Refusal != nil && out.Ran:
		return order.Failed{Request: c.id, Kind: refusal.OrderUnknown, Sent: true}
	case out.Refusal != nil:
		return order.Failed{Request: c.id, Kind: out.Refusal.Kind, Sent: false}
	case len(out.Body) > maxServiceAnswer:
		return order.Failed{Request: c.id, Kind: refusal.OrderUnknown, Sent: true}
	}
	return order.Answered{Request: c.id, Answer: serviceAnswer(out)}
}

// runRepeatable runs a call that may be repeated, on another endpoint when one fails.
func (r *Router) runRepeatable(c *serviceCall) callResult {
	described := r.describedCall(c)
	described.CallerGone = c.left
	out := r.forwarder.Forward(described)
	if out.Refusal != nil {
		return callResult{refused: out.Refusal}
	}
	return callResult{answer: serviceAnswer(out)}
}

// describedCall returns the call as the request path takes it.
func (r *Router) describedCall(c *serviceCall) *request.Request {
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
			StallTimeout: r.stall(),
		},
		RunID:       c.id,
		Fingerprint: c.bodyHash,
		Arrived:     c.arrived,
		StartBy:     c.deadline,
		Deadline:    c.arrived.Add(time.Duration(limits.AnswerSeconds) * time.Second),
		Codec:       c,
	}
}

// serviceAnswer returns what a service answered.
func serviceAnswer(out *request.Reply) order.Answer {
	answer := order.Answer{Status: out.Status, Body: out.Body}
	for _, h := range out.Headers {
		if strings.EqualFold(h.Name, fasthttp.HeaderContentType) {
			answer.ContentType = h.Value
		}
	}
	return answer
}
