package router

import (
	"encoding/json"
	"io"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/chat"
	"github.com/foxtaillanding/foxtaillanding/internal/request"
	"github.com/foxtaillanding/foxtaillanding/pkg/answer"
	"github.com/foxtaillanding/foxtaillanding/pkg/bill"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// run serves a model request and closes its pieces at the end.
func (r *Router) run(m *modelRequest) {
	defer close(m.pieces)
	defer func() {
		if problem := recover(); problem != nil {
			r.logPanic(m.id, problem)
			m.emit(piece{refused: refusal.New(refusal.Internal, "")})
		}
	}()
	refused := r.runKeyed(m)
	r.recordRequest(m, refused)
	if refused != nil {
		m.emit(piece{refused: refused})
	}
}

func (r *Router) logPanic(request string, problem any) {
	r.log.Error("panic", zap.String("Request", request), zap.Any("Problem", problem), zap.Stack("Stack"))
}

// runKeyed runs a request. Requests with the same Idempotency-Key are deduplicated at the home of the key.
func (r *Router) runKeyed(m *modelRequest) *refusal.Error {
	if m.key == "" {
		return r.forward(m)
	}
	if done, refused := r.forwardToHome(m); done {
		return refused
	}
	decisions := r.bills.decisions.Open(m.id)
	defer r.bills.decisions.Close(m.id)
	r.bills.handle(time.Now(), bill.Received{Request: m.id, Key: m.key, BodyHash: m.bodyHash})
	for {
		select {
		case <-m.callerGone:
			return refusal.New(refusal.CallerGone, "")
		case decision := <-decisions:
			switch decision := decision.(type) {
			case bill.Start:
				return r.runFirst(m)
			case bill.Replay:
				return replay(m, decision.Answer)
			case bill.Refuse:
				return refusal.New(decision.Kind, "")
			}
		}
	}
}

// runFirst runs the first request of a key. It continues after the caller has disconnected, since a retry may request the answer.
func (r *Router) runFirst(m *modelRequest) *refusal.Error {
	refused := r.forward(m)
	if refused != nil {
		r.bills.handle(time.Now(), bill.Failed{Request: m.id, Kind: refused.Kind})
		return refused
	}
	usage := m.billedUsage()
	r.bills.handle(time.Now(), bill.Finished{Request: m.id, Answer: bill.Answer{
		Content:      m.content.String(),
		Finish:       m.finish,
		PromptTokens: usage.PromptTokens,
		OutputTokens: usage.CompletionTokens,
	}})
	return nil
}

// replay answers with the stored answer to the first request of the key.
func replay(m *modelRequest, a bill.Answer) *refusal.Error {
	event, err := m.newEvent(time.Now(), answer.Chunk{Content: a.Content, Finish: a.Finish})
	if err != nil {
		return refusal.New(refusal.Internal, err.Error())
	}
	if event.Raw != nil {
		m.emit(piece{event: event.Raw})
	}
	usage := chat.Usage{PromptTokens: a.PromptTokens, CompletionTokens: a.OutputTokens, TotalTokens: a.PromptTokens + a.OutputTokens}
	m.emit(piece{usage: &usage})
	return nil
}

// forward forwards the request to the endpoints and reports its bill to the home of its key.
func (r *Router) forward(m *modelRequest) *refusal.Error {
	refused := m.deliver(r.forwarder.Forward(r.newRequest(m)), engineRefusal)
	if tokens := m.cost(request.Usage{}); m.key != "" && tokens > 0 {
		r.bills.report(bill.Billed{Key: m.key, Request: m.id, Budget: m.caller.team.Budget, Tokens: tokens})
	}
	return refused
}

// newRequest returns the request in the form that the forwarder expects.
func (r *Router) newRequest(m *modelRequest) *request.Request {
	limits := r.snapshot().limits
	req := &request.Request{
		Message: request.Message{
			ID:           m.id,
			Method:       fasthttp.MethodPost,
			Target:       chat.Path,
			Headers:      []request.Header{{Name: fasthttp.HeaderContentType, Value: "application/json"}},
			Body:         m.streamedBody(),
			HasPrompt:    true,
			PromptTokens: m.request.PromptBound(),
			OutputTokens: m.request.MaxTokens,
			Prefix:       m.request.Prefix(),
		},
		Terms: request.Terms{
			Account:      m.caller.name(),
			Weight:       m.caller.account.Weight,
			Class:        m.caller.class(),
			Service:      m.request.Model,
			Repeatable:   true,
			Streams:      true,
			Resumable:    true,
			MaxAttempts:  endpoint.DefaultMaxAttempts,
			StallTimeout: r.stallTimeout(),
			Budget:       m.caller.team.Budget,
			Cost:         m.cost,
		},
		RunID:       m.id,
		Fingerprint: m.bodyHash,
		Arrived:     m.arrived,
		StartBy:     m.startBy,
		Deadline:    m.arrived.Add(time.Duration(limits.AnswerSeconds) * time.Second),
		Codec:       &m.exchange,
	}
	if m.key == "" {
		req.CallerGone = m.callerGone // A keyed request continues without its caller, who may retry it.
	}
	return req
}

// streamedBody returns the body to send to an endpoint or to the home: it always requests a stream, and states the
// output limit for which tokens are reserved.
func (m *modelRequest) streamedBody() []byte {
	streamed := m.request
	streamed.Stream = true
	body, _ := json.Marshal(streamed) // Encoding cannot fail, since the request was decoded from JSON.
	return body
}

// deliver passes the events of a reply to the caller as they arrive; refuse converts a reply that is not a stream to a refusal.
func (m *modelRequest) deliver(reply *request.Reply, refuse func(status int, body []byte) *refusal.Error) *refusal.Error {
	m.mayHaveRun = m.mayHaveRun || reply.Ran
	switch {
	case reply.Refusal != nil:
		return reply.Refusal
	case reply.Stream == nil:
		return refuse(reply.Status, reply.Body)
	}
	defer func() { _ = reply.Stream.Close() }()
	for {
		event, err := reply.Stream.Next()
		switch {
		case err == io.EOF:
			usage := m.billedUsage()
			m.emit(piece{usage: &usage})
			return nil
		case err != nil:
			return streamRefusal(err)
		case !m.emit(piece{event: event}) && m.key == "":
			return refusal.New(refusal.CallerGone, "")
		}
	}
}

// engineRefusal converts an engine's answer that is not a stream to a refusal.
func engineRefusal(status int, body []byte) *refusal.Error {
	if status >= fasthttp.StatusInternalServerError {
		return refusal.New(refusal.AnswerBroken, "")
	}
	return refusal.New(refusal.BadRequest, "the endpoint refused it: "+string(body))
}
