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

// relay passes on the answer of the home of a key, which ends with its usage or with an error; it implements request.Codec.
type relay struct {
	exchange *exchange
	headers  []request.Header
}

// AttemptHeaders returns the headers of the request to the home.
func (r *relay) AttemptHeaders(m *request.Message, _ request.AttemptInfo) []request.Header {
	r.exchange.assembler.Begin(m.ID)
	return append(r.headers, m.Headers...)
}

// ParseHead interprets the head of the home's answer.
func (r *relay) ParseHead(id string, _ int, _ http.Header) request.AnswerHead {
	return request.AnswerHead{ID: id, Sealed: true}
}

// Events returns a reader of the home's chunks.
func (r *relay) Events(body io.Reader) request.EventReader {
	return &relayReader{exchange: r.exchange, in: chat.NewReader(body)}
}

// relayReader reads the chunks of the home's answer.
type relayReader struct {
	exchange *exchange
	in       *chat.Reader
	ready    []answer.Chunk // In order, not yet returned by Next.
}

// Next returns the next chunk as an event for the caller, or io.EOF once the answer is complete and its usage was read.
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
			e.homeUsage = c.Usage
			return request.Event{}, io.EOF
		}
		if r.ready, err = e.assembler.Accept(c.Part()); err != nil {
			return request.Event{}, err
		}
	}
	c := r.ready[0]
	r.ready = r.ready[1:]
	return e.newEvent(time.Now(), c)
}

// forwardToHome sends a keyed request to the home of its key; done is false if this router is the home or has to serve
// the request in its place.
func (r *Router) forwardToHome(m *modelRequest) (done bool, refused *refusal.Error) {
	if m.atHome {
		return false, nil
	}
	home := bill.Home(m.key, r.members.aliveVMs())
	vm, ok := r.snapshot().tree.Fleet.VM(home)
	if !ok || home == r.cfg.VM {
		return false, nil
	}
	reply := r.forwarder.ForwardTo(r.newHomeRequest(m), vm.Address)
	if !reply.Ran {
		return false, nil // The request cannot have run at the home.
	}
	refused = m.deliver(reply, homeRefusal)
	if refused != nil && refused.Kind == refusal.Draining {
		return false, nil
	}
	return true, refused
}

// newHomeRequest returns the request that forwards a keyed request to its home.
func (r *Router) newHomeRequest(m *modelRequest) *request.Request {
	headers := []request.Header{
		{Name: peer.KeyHeader, Value: r.snapshot().tree.Fleet.PeerKey},
		{Name: headerStage, Value: stageHome},
		{Name: headerAccount, Value: m.caller.name()},
		{Name: headerWait, Value: strconv.FormatInt(max(0, time.Until(m.startBy).Milliseconds()), 10)},
		{Name: chat.HeaderRequestID, Value: m.id},
		{Name: chat.HeaderIdempotencyKey, Value: m.key},
	}
	req := r.newRequest(m)
	req.Repeatable = false // The home must not start it twice.
	req.Resumable = false
	req.Budget = ""
	req.Codec = &relay{exchange: &m.exchange, headers: headers}
	return req
}

// homeRefusal converts an answer of the home that is not a stream to a refusal.
func homeRefusal(status int, body []byte) *refusal.Error {
	if status < fasthttp.StatusBadRequest {
		return refusal.New(refusal.PeerLost, "the answer is no stream")
	}
	return refusal.Parse(body)
}

// streamRefusal converts the error of a stream that ended early to a refusal.
func streamRefusal(err error) *refusal.Error {
	var refused *refusal.Error
	if errors.As(err, &refused) {
		return refused
	}
	return refusal.New(refusal.AnswerBroken, "")
}
