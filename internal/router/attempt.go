package router

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/internal/chat"
	"github.com/foxtaillanding/foxtaillanding/pkg/answer"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// maxErrorBody bounds what is read of an answer that refuses, in bytes.
const maxErrorBody = 64 << 10

// attempt sends the request to one endpoint and hands the answer on as it comes.
func (r *Router) attempt(w *work, send endpoint.Send) (endpoint.Outcome, *refusal.Error) {
	address, ok := r.snapshot().address[send.Endpoint]
	if !ok {
		return endpoint.Rejected, nil
	}
	id := w.id + "-" + strconv.Itoa(send.Attempt)
	from := w.assembler.Begin(id)
	answered, err := r.endpoints.post(call{
		address: address,
		path:    chat.Path,
		body:    w.streamedBody(),
		headers: map[string]string{
			chat.HeaderRequestID:  id,
			chat.HeaderResumeFrom: strconv.Itoa(from),
			chat.HeaderPriority:   strconv.Itoa(int(w.caller.class())),
			chat.HeaderPrefix:     strconv.FormatUint(w.request.Prefix(), 10),
		},
	})
	if err != nil {
		outcome := failedCall(err)
		w.sent = w.sent || outcome != endpoint.Rejected
		return outcome, nil
	}
	defer answered.close()
	switch status := answered.status(); {
	case status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable:
		return endpoint.Rejected, nil
	case status >= fasthttp.StatusInternalServerError:
		w.sent = true
		return endpoint.Incomplete, nil
	case status != fasthttp.StatusOK:
		body, _ := answered.read(maxErrorBody)
		return endpoint.Incomplete, refusal.New(refusal.BadRequest, "the endpoint refused it: "+string(body))
	}
	w.sent = true
	outcome, refused := r.receive(w, answered, id, from)
	if outcome == endpoint.Finished && !w.assembler.Capped() {
		answered.drain()
	}
	return outcome, refused
}

// failedCall tells what a call without an answer means; only a failed dial proves that the request did not run.
func failedCall(err error) endpoint.Outcome {
	if errors.Is(err, errNotSent) {
		return endpoint.Rejected
	}
	return endpoint.Died
}

// receive hands the chunks of a stream on in order until the answer is whole or the stream breaks.
func (r *Router) receive(w *work, answered *reply, attempt string, from int) (endpoint.Outcome, *refusal.Error) {
	limit := w.arrived.Add(time.Duration(r.snapshot().limits.AnswerSeconds) * time.Second)
	reader := chat.NewReader(answered.stream())
	for n := 0; ; n++ {
		c, err := reader.Next()
		switch {
		case errors.Is(err, chat.ErrDone), errors.Is(err, chat.ErrMalformed):
			return endpoint.Incomplete, nil
		case err != nil:
			return endpoint.Died, nil
		case time.Now().After(limit):
			return endpoint.Abandoned, refusal.New(refusal.DeadlineExceeded, "the answer took too long")
		}
		part := c.Part()
		if part.Sequence == chat.Unnumbered {
			if from > 0 {
				return endpoint.Incomplete, refusal.New(refusal.AnswerBroken, "the endpoint cannot resume an answer")
			}
			part.Attempt = attempt
			part.Sequence = n
		}
		ready, err := w.assembler.Take(part)
		if err != nil {
			return endpoint.Incomplete, nil
		}
		if c.Usage != nil && len(ready) > 0 {
			w.usage = *c.Usage
		}
		if !r.handOn(w, ready) {
			return endpoint.Abandoned, nil
		}
		if w.assembler.Whole() {
			return endpoint.Finished, nil
		}
	}
}

// handOn gives chunks to the caller and reports whether the work is still wanted.
func (r *Router) handOn(w *work, ready []answer.Chunk) bool {
	for i := range ready {
		now := time.Now()
		if w.note(now, ready[i]) {
			r.backends.handle(now, endpoint.FirstToken{ID: w.id})
		}
		if !w.emit(piece{chunk: &ready[i]}) && w.key == "" {
			return false
		}
	}
	if w.assembler.Whole() {
		usage := w.finalUsage()
		w.emit(piece{usage: &usage})
	}
	return true
}

// streamedBody is the request as it is sent to an endpoint or a router: always streamed, with the output limit that was reserved.
func (w *work) streamedBody() []byte {
	request := w.request
	request.Stream = true
	body, _ := json.Marshal(request) // A request that was decoded from JSON can be encoded.
	return body
}

// forward sends the request to another router and hands its answer on.
//
// A refusal that says NotRun comes back with w.sent unset.
func (r *Router) forward(w *work, address string, to stage) *refusal.Error {
	w.assembler.Begin(w.id)
	answered, err := r.endpoints.post(call{
		address: address,
		path:    chat.Path,
		body:    w.streamedBody(),
		headers: r.forwardHeaders(w, to),
	})
	if errors.Is(err, errNotSent) {
		return refusal.New(refusal.Draining, "the router cannot be reached")
	}
	if err != nil {
		w.sent = true
		return refusal.New(refusal.PeerLost, "")
	}
	defer answered.close()
	if answered.status() != fasthttp.StatusOK {
		body, err := answered.read(maxErrorBody)
		if err != nil {
			w.sent = true
			return refusal.New(refusal.PeerLost, "")
		}
		return refusal.Parse(body)
	}
	w.sent = true
	return r.relay(w, answered)
}

func (r *Router) forwardHeaders(w *work, to stage) map[string]string {
	headers := map[string]string{
		headerPeerKey:        r.snapshot().tree.Fleet.PeerKey,
		headerStage:          string(to),
		headerAccount:        w.caller.name(),
		headerWait:           strconv.FormatInt(max(0, time.Until(w.deadline).Milliseconds()), 10),
		chat.HeaderRequestID: w.id,
	}
	if w.key != "" {
		headers[chat.HeaderIdempotencyKey] = w.key
	}
	return headers
}

// relay hands on the answer of another router, which ends with its usage or with an error.
func (r *Router) relay(w *work, answered *reply) *refusal.Error {
	reader := chat.NewReader(answered.stream())
	for {
		c, err := reader.Next()
		if err != nil {
			return refusal.New(refusal.PeerLost, "the answer broke off")
		}
		if c.Error != nil {
			kind, _ := refusal.ParseKind(c.Error.Kind)
			return refusal.New(kind, "at the router that served it")
		}
		if c.Usage != nil && w.assembler.Whole() {
			w.billed = c.Usage
			w.emit(piece{usage: c.Usage})
			return nil
		}
		ready, err := w.assembler.Take(c.Part())
		if err != nil {
			return refusal.New(refusal.PeerLost, err.Error())
		}
		for i := range ready {
			w.note(time.Now(), ready[i])
			if !w.emit(piece{chunk: &ready[i]}) && w.key == "" {
				return refusal.New(refusal.AnswerBroken, "the caller has gone")
			}
		}
	}
}
