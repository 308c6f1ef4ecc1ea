package gateway

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/decision"
	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/internal/request"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// Limits of the memory that bodies may use.
const (
	bodyMemoryShare   = 0.2      // Fraction of the memory limit of the process for the bodies of requests.
	answerMemoryShare = 0.1      // The same for the bodies of answers, which must not wait for requests.
	smallBodyBytes    = 16 << 10 // Bodies up to this length are counted with their requests, see bytesPerRequest.
	unreadBody        = 1        // Limit that makes the HTTP library leave a body unread.

	answerMemoryPoll = 10 * time.Millisecond // Between two looks for the memory of an answer.
)

// byteBudget bounds the memory that bodies use together; the zero value has no bound.
type byteBudget struct {
	limit atomic.Int64 // Bytes; 0 means that there is no bound.
	used  atomic.Int64 // Bytes.
}

// reserve takes n bytes and reports whether they were free.
func (b *byteBudget) reserve(n int64) bool {
	limit := b.limit.Load()
	if used := b.used.Add(n); limit > 0 && used > limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// release gives n bytes back.
func (b *byteBudget) release(n int64) { b.used.Add(-n) }

// reserveAlone takes n bytes if nothing else is counted, whatever the bound.
func (b *byteBudget) reserveAlone(n int64) bool { return b.used.CompareAndSwap(0, n) }

// limitBodies sets the number of bytes that bodies may use.
func (g *Gateway) limitBodies(m MemorySettings) {
	total := m.limitBytes()
	g.bodies.limit.Store(int64(bodyMemoryShare * total))
	g.answers.limit.Store(int64(answerMemoryShare * total))
}

// answerMemory counts the answers to one request. It implements request.Memory.
type answerMemory struct {
	budget *byteBudget
	gone   <-chan struct{} // Closed when the caller disconnects.
	held   int64
}

// Reserve implements request.Memory. One answer is read whatever the bound.
func (m *answerMemory) Reserve(n int64, deadline time.Time) bool {
	for !m.budget.reserve(n) && !m.budget.reserveAlone(n) {
		decision.Pause(answerMemoryPoll, m.gone)
		select {
		case <-m.gone:
			return false
		default:
		}
		if time.Now().After(deadline) {
			return false
		}
	}
	m.held += n
	return true
}

// Release implements request.Memory.
func (m *answerMemory) Release(n int64) {
	m.held -= n
	m.budget.release(n)
}

// releaseAll gives back what the answer holds, since it is written.
func (m *answerMemory) releaseAll() { m.Release(m.held) }

// bodies decides which bodies of requests are read, and counts their memory. The zero value reads all.
//
// The hook of the HTTP library that sees the head of a request before its body
// gets nothing else than the head. The head is empty again when the library
// reports that the body was not read, so that it identifies the request only by
// its address.
type bodies struct {
	byteBudget

	mu        sync.Mutex
	decisions map[*fasthttp.RequestHeader]bodyDecision // Guarded by mu.
}

// bodyDecision is what was decided about a body when the head of its request was read.
type bodyDecision struct {
	reserved int64          // Bytes.
	refusal  *refusal.Error // Why the body is left unread; nil if it is read.
	hop      *hop           // How a request that is refused came from another router.
}

// put records a decision. It releases the memory of an earlier request whose end was not reported.
func (b *bodies) put(h *fasthttp.RequestHeader, d bodyDecision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(b.decisions[h].reserved)
	if b.decisions == nil {
		b.decisions = map[*fasthttp.RequestHeader]bodyDecision{}
	}
	b.decisions[h] = d
}

// take returns the decision about the body of a request and forgets it. What is reserved is left to the caller.
func (b *bodies) take(ctx *fasthttp.RequestCtx) bodyDecision {
	h := &ctx.Request.Header
	b.mu.Lock()
	d := b.decisions[h]
	delete(b.decisions, h)
	b.mu.Unlock()
	if c, ok := ctx.Conn().(*conn); ok {
		d.reserved += c.reserved
		c.reserved = 0
	}
	return d
}

// hold turns what was reserved for the body of a request into what the body holds, and returns a function that releases it.
func (b *bodies) hold(ctx *fasthttp.RequestCtx) (release func()) {
	reserved := b.take(ctx).reserved
	held := min(reserved, int64(len(ctx.Request.Body()))) // The length of a chunked body is known only now.
	b.release(reserved - held)
	return func() { b.release(held) }
}

// bodyLimit returns the length of the longest body that is read.
func (g *Gateway) bodyLimit(fromPeer bool) int {
	t := g.table.Load()
	if t == nil || t.Limits.BodyBytes <= 0 || fromPeer { // Other messages of routers than requests may be longer.
		return maxBodyBytes
	}
	return t.Limits.BodyBytes
}

// bodyBytes returns the memory that the HTTP library may use for the body of a request before any of it has arrived: it
// allocates the announced length of a body or of a chunk.
func bodyBytes(h *fasthttp.RequestHeader, limit int) int64 {
	const chunked = -1
	n := h.ContentLength()
	if n == chunked {
		n = limit
	}
	return int64(max(n, 0))
}

// headReceived decides whether the body of a request is read, and returns the limit of its length.
func (g *Gateway) headReceived(h *fasthttp.RequestHeader, fromPeer bool) fasthttp.RequestConfig {
	limit := g.bodyLimit(fromPeer)
	if mayContinue(h) {
		return fasthttp.RequestConfig{MaxRequestBodySize: limit} // See expectContinue.
	}
	d, counted := g.decideBody(h, fromPeer)
	if !counted {
		return fasthttp.RequestConfig{MaxRequestBodySize: limit}
	}
	if d.refusal != nil {
		limit = unreadBody
		if fromPeer {
			d.hop = takeHop(h)
		}
	}
	g.bodies.put(h, d)
	return fasthttp.RequestConfig{MaxRequestBodySize: limit}
}

// mayContinue reports whether the HTTP library calls expectContinue for a request.
func mayContinue(h *fasthttp.RequestHeader) bool {
	return h.IsHTTP11() && strings.EqualFold(string(h.Peek(fasthttp.HeaderExpect)), "100-continue")
}

// expectContinue decides whether a caller that waits for an interim answer is to send the body, and returns the status of
// the answer.
func (g *Gateway) expectContinue(ctx *fasthttp.RequestCtx, fromPeer bool) int {
	d, _ := g.decideBody(&ctx.Request.Header, fromPeer)
	if d.refusal != nil {
		g.dialect.Refuse(&ctx.Response, d.refusal)
		return ctx.Response.StatusCode()
	}
	if c, ok := ctx.Conn().(*conn); ok {
		c.reserved = d.reserved // The connection may end before the body is read.
	} else {
		g.bodies.release(d.reserved)
	}
	return fasthttp.StatusContinue
}

// decideBody decides whether the body of a request is read, and reserves its memory. A small body is read and not counted.
func (g *Gateway) decideBody(h *fasthttp.RequestHeader, fromPeer bool) (d bodyDecision, counted bool) {
	limit := g.bodyLimit(fromPeer)
	n := bodyBytes(h, limit)
	if n <= smallBodyBytes {
		return bodyDecision{}, false
	}
	if !fromPeer {
		d.refusal = g.refuseHead(h)
	}
	switch {
	case d.refusal != nil:
	case n > int64(limit):
		d.refusal = refusal.New(refusal.TooLarge, "body")
	case !g.bodies.reserve(n):
		d.refusal = &refusal.Error{Kind: refusal.Overloaded, Detail: "memory", After: otherRouterRetryAfter}
	default:
		d.reserved = n
	}
	return d, true
}

// refuseHead returns why a request is refused whatever its body, or nil.
func (g *Gateway) refuseHead(h *fasthttp.RequestHeader) *refusal.Error {
	c := &callerRequest{g: g, req: request.Request{Codec: g.dialect}}
	_, _, refusalErr := c.readHead(h)
	return refusalErr
}

// releaseBodies wraps a handler, so that the memory of a body that it does not hold is released.
func (g *Gateway) releaseBodies(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		handler(ctx)
		g.bodies.release(g.bodies.take(ctx).reserved)
	}
}

// refuseUnread answers a request that the HTTP library could not parse, or whose body was left unread.
func (g *Gateway) refuseUnread(ctx *fasthttp.RequestCtx, err error) {
	d := g.bodies.take(ctx)
	g.bodies.release(d.reserved)
	refusalErr := unreadRefusal(d, err)
	g.log.Info("request not read", zap.Stringer("Caller", ctx.RemoteAddr()), zap.Stringer("Kind", refusalErr.Kind),
		zap.String("Detail", refusalErr.Detail), logfile.Error(err))
	g.metrics.requestFinished("", refusalErr.Kind.String(), 0)
	g.dialect.Refuse(&ctx.Response, refusalErr)
	d.hop.markRefusal(&ctx.Response, g.members.configVersion(), refusalErr.Kind, elsewhereKinds[refusalErr.Kind])
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		lingerOnClose(ctx)
	}
	ctx.SetConnectionClose()
}

// unreadRefusal returns the refusal of a request that was not read because of err.
func unreadRefusal(d bodyDecision, err error) *refusal.Error {
	var headerTooLarge *fasthttp.ErrSmallBuffer
	switch {
	case d.refusal != nil:
		return d.refusal
	case errors.Is(err, fasthttp.ErrBodyTooLarge), errors.As(err, &headerTooLarge):
		return refusal.New(refusal.TooLarge, err.Error())
	}
	return refusal.New(refusal.BadRequest, err.Error())
}
