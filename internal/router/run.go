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

// run carries a model request from arrival to its final piece.
func (r *Router) run(w *work) {
	defer close(w.pieces)
	defer func() {
		if problem := recover(); problem != nil {
			r.logPanic(w.id, problem)
			w.emit(piece{refused: refusal.New(refusal.Internal, "")})
		}
	}()
	refused := r.runKeyed(w)
	r.observe(w, refused)
	if refused != nil {
		w.emit(piece{refused: refused})
	}
}

func (r *Router) logPanic(request string, problem any) {
	r.log.Error("panic", zap.String("Request", request), zap.Any("Problem", problem), zap.Stack("Stack"))
}

// runKeyed attaches a request with an Idempotency-Key to earlier runs of the key at its home.
func (r *Router) runKeyed(w *work) *refusal.Error {
	if w.key == "" {
		return r.runPaid(w)
	}
	if done, refused := r.runAtHome(w); done {
		return refused
	}
	decisions := r.bills.decisions.Open(w.id)
	defer r.bills.decisions.Close(w.id)
	r.bills.handle(time.Now(), bill.Received{Request: w.id, Key: w.key, BodyHash: w.bodyHash})
	for {
		select {
		case <-w.left:
			return refusal.New(refusal.CallerGone, "")
		case decision := <-decisions:
			switch decision := decision.(type) {
			case bill.Start:
				return r.runFirst(w)
			case bill.Replay:
				return replay(w, decision.Answer)
			case bill.Refuse:
				return refusal.New(decision.Kind, "")
			}
		}
	}
}

// runFirst runs the first request of a key; it goes on when the caller has gone, since a retry will ask for the answer.
func (r *Router) runFirst(w *work) *refusal.Error {
	refused := r.runPaid(w)
	if refused != nil {
		r.bills.handle(time.Now(), bill.Failed{Request: w.id, Kind: refused.Kind})
		return refused
	}
	usage := w.billed()
	r.bills.handle(time.Now(), bill.Finished{Request: w.id, Answer: bill.Answer{
		Content:      w.content.String(),
		Finish:       w.finish,
		PromptTokens: usage.PromptTokens,
		OutputTokens: usage.CompletionTokens,
	}})
	return nil
}

// replay answers with what the first request of a key was answered.
func replay(w *work, a bill.Answer) *refusal.Error {
	event, err := w.pass(time.Now(), answer.Chunk{Content: a.Content, Finish: a.Finish})
	if err != nil {
		return refusal.New(refusal.Internal, err.Error())
	}
	if event.Raw != nil {
		w.emit(piece{event: event.Raw})
	}
	usage := chat.Usage{PromptTokens: a.PromptTokens, CompletionTokens: a.OutputTokens, TotalTokens: a.PromptTokens + a.OutputTokens}
	w.emit(piece{usage: &usage})
	return nil
}

// runPaid runs the request and tells its key's home what it was billed.
func (r *Router) runPaid(w *work) *refusal.Error {
	refused := w.hand(r.forwarder.Forward(r.described(w)), engineRefusal)
	if tokens := w.cost(request.Usage{}); w.key != "" && tokens > 0 {
		r.bills.report(bill.Billed{Key: w.key, Request: w.id, Budget: w.caller.team.Budget, Tokens: tokens})
	}
	return refused
}

// described returns the request as the request path takes it.
func (r *Router) described(w *work) *request.Request {
	limits := r.snapshot().limits
	out := &request.Request{
		Message: request.Message{
			ID:           w.id,
			Method:       fasthttp.MethodPost,
			Target:       chat.Path,
			Headers:      []request.Header{{Name: fasthttp.HeaderContentType, Value: "application/json"}},
			Body:         w.streamedBody(),
			HasPrompt:    true,
			PromptTokens: w.request.PromptBound(),
			OutputTokens: w.request.MaxTokens,
			Prefix:       w.request.Prefix(),
		},
		Terms: request.Terms{
			Account:      w.caller.name(),
			Weight:       w.caller.account.Weight,
			Class:        w.caller.class(),
			Service:      w.request.Model,
			Repeatable:   true,
			Streams:      true,
			Resumable:    true,
			MaxAttempts:  endpoint.DefaultMaxAttempts,
			StallTimeout: r.stall(),
			Budget:       w.caller.team.Budget,
			Cost:         w.cost,
		},
		RunID:       w.id,
		Fingerprint: w.bodyHash,
		Arrived:     w.arrived,
		StartBy:     w.startBy,
		Deadline:    w.arrived.Add(time.Duration(limits.AnswerSeconds) * time.Second),
		Codec:       &w.exchange,
	}
	if w.key == "" {
		out.CallerGone = w.left // A keyed request goes on for the caller's retry.
	}
	return out
}

// streamedBody is the request as it is sent to an endpoint or a router: always streamed, with the output limit that was reserved.
func (w *work) streamedBody() []byte {
	asked := w.request
	asked.Stream = true
	body, _ := json.Marshal(asked) // A request that was decoded from JSON can be encoded.
	return body
}

// hand gives the caller the events of a reply as they come; refuse reads a reply that is no stream.
func (w *work) hand(out *request.Reply, refuse func(status int, body []byte) *refusal.Error) *refusal.Error {
	w.sent = w.sent || out.Ran
	switch {
	case out.Refusal != nil:
		return out.Refusal
	case out.Stream == nil:
		return refuse(out.Status, out.Body)
	}
	defer func() { _ = out.Stream.Close() }()
	for {
		event, err := out.Stream.Next()
		switch {
		case err == io.EOF:
			usage := w.billed()
			w.emit(piece{usage: &usage})
			return nil
		case err != nil:
			return streamRefusal(err)
		case !w.emit(piece{event: event}) && w.key == "":
			return refusal.New(refusal.CallerGone, "")
		}
	}
}

// engineRefusal tells the caller what an engine answered in place of a stream.
func engineRefusal(status int, body []byte) *refusal.Error {
	if status >= fasthttp.StatusInternalServerError {
		return refusal.New(refusal.AnswerBroken, "")
	}
	return refusal.New(refusal.BadRequest, "the endpoint refused it: "+string(body))
}
