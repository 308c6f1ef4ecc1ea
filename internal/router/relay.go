package router

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/internal/chat"
	"github.com/foxtaillanding/foxtaillanding/internal/peer"
	"github.com/foxtaillanding/foxtaillanding/internal/request"
	"github.com/foxtaillanding/foxtaillanding/pkg/answer"
	"github.com/foxtaillanding/foxtaillanding/pkg/bill"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// Headers of a request that a router sends to the home of its key.
const (
	headerStage   = "X-Forward-Stage"
	headerAccount = "X-Account"
	headerWait    = "X-Wait-Milliseconds"
)

// relay hands on the answer of the home of a key, which ends with its usage or with an error; it implements request.Codec.
type relay struct {
	exchange *exchange
	headers  []request.Header
}

// AttemptHeaders returns the headers of the request between the routers.
func (r *relay) AttemptHeaders(m *request.Message, _ request.AttemptInfo) []request.Header {
	r.exchange.assembler.Begin(m.ID)
	return append(r.headers, m.Headers...)
}

// ParseHead reads the head of the home's answer.
func (r *relay) ParseHead(id string, _ int, _ http.Header) request.AnswerHead {
	return request.AnswerHead{ID: id, Sealed: true}
}

// Events reads the home's chunks.
func (r *relay) Events(body io.Reader) request.EventReader {
	return &relayReader{exchange: r.exchange, in: chat.NewReader(body)}
}

// relayReader hands on the chunks of a home's answer.
type relayReader struct {
	exchange *exchange
	in       *chat.Reader
	ready    []answer.Chunk
}

// Next returns the next chunk; io.EOF tells that the answer is whole and its usage was read.
func (r *relayReader) Next() (request.Event, error) {
	e := r.exchange
	for len(r.ready) == 0 {
		c, err := r.in.Next()
		switch {
		case err != nil:
			return request.Event{}, err
		case c.Error != nil:
			kind, _ := refusal.ParseKind(c.Error.Kind)
			return request.Event{}, refusal.New(kind, "at the router that served it")
		case c.Usage != nil && e.assembler.Complete():
			e.told = c.Usage
			return request.Event{}, io.EOF
		}
		if r.ready, err = e.assembler.Accept(c.Part()); err != nil {
			return request.Event{}, err
		}
	}
	c := r.ready[0]
	r.ready = r.ready[1:]
	return e.pass(time.Now(), c)
}

// runAtHome sends a keyed request to its home; done is false when this router is the home or stands in for it.
func (r *Router) runAtHome(w *work) (done bool, refused *refusal.Error) {
	if w.atHome {
		return false, nil
	}
	home := bill.Home(w.key, r.members.aliveVMs())
	vm, ok := r.snapshot().tree.Fleet.VM(home)
	if !ok || home == r.cfg.VM {
		return false, nil
	}
	out := r.forwarder.ForwardTo(r.relayed(w), vm.Address)
	if !out.Ran {
		return false, nil // The home cannot be reached.
	}
	refused = w.hand(out, homeRefusal)
	if refused != nil && refused.Kind == refusal.Draining {
		return false, nil
	}
	return true, refused
}

// relayed describes a keyed request as the home is sent it.
func (r *Router) relayed(w *work) *request.Request {
	headers := []request.Header{
		{Name: peer.KeyHeader, Value: r.snapshot().tree.Fleet.PeerKey},
		{Name: headerStage, Value: stageHome},
		{Name: headerAccount, Value: w.caller.name()},
		{Name: headerWait, Value: strconv.FormatInt(max(0, time.Until(w.startBy).Milliseconds()), 10)},
		{Name: chat.HeaderRequestID, Value: w.id},
		{Name: chat.HeaderIdempotencyKey, Value: w.key},
	}
	out := r.described(w)
	out.Repeatable = false // The home must not begin it twice.
	out.Resumable = false
	out.Budget = ""
	out.Codec = &relay{exchange: &w.exchange, headers: headers}
	return out
}

// homeRefusal reads a refusal of a home that is no stream.
func homeRefusal(status int, body []byte) *refusal.Error {
	if status < fasthttp.StatusBadRequest {
		return refusal.New(refusal.PeerLost, "the answer is no stream")
	}
	return refusal.Parse(body)
}

// streamRefusal tells why a stream ended early.
func streamRefusal(err error) *refusal.Error {
	var refused *refusal.Error
	if errors.As(err, &refused) {
		return refused
	}
	return refusal.New(refusal.AnswerBroken, "")
}
