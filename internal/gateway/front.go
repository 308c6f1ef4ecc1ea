package gateway

import (
	"bytes"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/connection"
	"github.com/foxtaillanding/foxtaillanding/internal/request"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
	"github.com/foxtaillanding/foxtaillanding/pkg/route"
)

// Limits of the HTTP servers.
const (
	headerBufferBytes = 17 << 10 // Above the largest header that configurations allow.
	maxBodyBytes      = 16 << 20 // The configuration may set a lower limit.
	maxConcurrent     = 4096
)

// timeouts bounds the waits on an accepted connection.
type timeouts struct {
	read  time.Duration // For reading one request, from its first byte.
	idle  time.Duration // Between two requests.
	write time.Duration // For one write; a stream writes each event.
}

// defaultTimeouts are the timeouts of the HTTP servers.
var defaultTimeouts = timeouts{
	read:  30 * time.Second,
	idle:  90 * time.Second,
	write: 20 * time.Second,
}

// peerTimeouts returns the timeouts in force for connections of other routers: those of the gateway, with more time for a
// request where the configuration allows callers more.
func (g *Gateway) peerTimeouts() timeouts {
	out := g.timeouts
	if t := g.table.Load(); t != nil {
		out.read += t.Limits.HeaderTimeout // The rest is for the body.
	}
	return out
}

// callerTimeouts returns the timeouts in force for connections of callers, of which the configuration sets how long they may be
// idle. Callers reuse a connection until shortly before that; kept for longer, connections that nobody uses take up all
// descriptors.
func (g *Gateway) callerTimeouts() timeouts {
	out := g.peerTimeouts()
	if t := g.table.Load(); t != nil && t.Limits.IdleTimeout > 0 {
		out.idle = t.Limits.IdleTimeout
	}
	return out
}

// newServer returns an HTTP server for connections that a listener accepts; they limit their reads and writes themselves.
func (g *Gateway) newServer(handler fasthttp.RequestHandler, fromPeer bool) *fasthttp.Server {
	return &fasthttp.Server{
		Name:                         "foxtaillanding",
		Handler:                      g.releaseBodies(handler),
		HeaderReceived:               func(h *fasthttp.RequestHeader) fasthttp.RequestConfig { return g.headReceived(h, fromPeer) },
		ExpectHandler:                func(ctx *fasthttp.RequestCtx) int { return g.expectContinue(ctx, fromPeer) },
		ErrorHandler:                 g.refuseUnread,
		ConnState:                    recordState,
		Concurrency:                  maxConcurrent,
		ReadBufferSize:               headerBufferBytes,
		MaxRequestBodySize:           maxBodyBytes,
		ReduceMemoryUsage:            true,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		Logger:                       zap.NewStdLog(g.log),
	}
}

// Limits of the memory that requests in flight may use.
const (
	bytesPerRequest    = 160 << 10 // For a request with its body, connections and goroutines.
	requestMemoryShare = 0.4       // Fraction of the memory limit of the process.
	minInFlightLimit   = 16
)

// inFlightLimit returns the number of concurrent requests that the memory limit of the process allows.
func inFlightLimit(m MemorySettings) int64 {
	if m.LimitMegabytes <= 0 {
		return maxConcurrent
	}
	return max(minInFlightLimit, int64(requestMemoryShare*m.limitBytes()/bytesPerRequest))
}

// callerRequest is a caller's request while the gateway serves it.
type callerRequest struct {
	g       *Gateway
	req     request.Request
	route   *route.Route
	version uint64 // Version of the configuration that the request is served under.
	hop     *hop   // How the request came from another router; nil if its caller sent it to this one.

	peer        string // Incarnation of the router that served the request; empty if this one did.
	peerRefusal string // Kind of that router's refusal; empty if it answered.
}

// serveFront answers a caller's request.
func (g *Gateway) serveFront(ctx *fasthttp.RequestCtx) { g.serveRequest(ctx, nil) }

// serveRequest answers a request that came from a caller or, with a hop, from another router.
func (g *Gateway) serveRequest(ctx *fasthttp.RequestCtx, from *hop) {
	now := time.Now()
	g.inFlight.Add(1)
	releaseBody := g.bodies.hold(ctx)
	overloaded := g.overload.arrived(now, len(ctx.Request.Header.RawHeaders())+len(ctx.Request.Body()))
	if g.draining() || overloaded || from == nil && g.admission.closed() {
		ctx.SetConnectionClose()
	}
	c, refusalErr := g.admit(now, ctx, from, overloaded)
	memory := &answerMemory{budget: &g.answers}
	beginAnswer(ctx, &c.req, func() {
		releaseBody()
		memory.releaseAll()
		g.inFlight.Add(-1)
	})
	if refusalErr != nil {
		g.log.Info("refused", zap.String("Request", c.req.ID), zap.Stringer("Kind", refusalErr.Kind), zap.String("Detail", refusalErr.Detail), zap.Uint64("Version", c.version))
		g.metrics.requestFinished("", refusalErr.Kind.String(), time.Since(now))
		g.dialect.Refuse(&ctx.Response, refusalErr)
		from.markRefusal(&ctx.Response, c.version, refusalErr.Kind, elsewhereKinds[refusalErr.Kind])
		return
	}
	watch := connection.WatchCaller(ctx.Conn())
	c.req.CallerGone = watch.Gone
	c.req.CallerLeft = watch.Left
	memory.gone = watch.Gone
	c.req.Memory = memory
	reply := g.forward(now, c, &ctx.Request.Header)
	done := func() {
		watch.Stop()
		if reply.Attempts > 0 {
			end := time.Now()
			g.durations.record(end, c.route.Name, end.Sub(now))
		}
	}
	c.recordReply(reply)
	if reply.Stream != nil {
		reply.Stream.OnClose = done
	} else {
		done()
	}
	c.writeReply(ctx, reply)
}

// forward serves a request unless its caller has left while the request waited to be read.
func (g *Gateway) forward(now time.Time, c *callerRequest, h *fasthttp.RequestHeader) *request.Reply {
	if c.req.CallerLeft() {
		return &request.Reply{Refusal: refusal.New(refusal.CallerGone, "before the request was read")}
	}
	serves := func() bool { return g.endpoints.Serves(c.route.Services()) }
	if !g.entries.known.await(now, g.started, c.req.Deadline, c.req.CallerGone, serves) {
		return &request.Reply{Refusal: refusal.New(refusal.NotConfigured, "the endpoints are not known yet")}
	}
	return g.serveAdmitted(now, c, h)
}

// writeReply writes a reply to the caller's response.
func (c *callerRequest) writeReply(ctx *fasthttp.RequestCtx, reply *request.Reply) {
	if c.hop == nil && c.g.admission.closed() {
		ctx.SetConnectionClose() // The listener was closed after the request arrived.
	}
	if reply.Refusal != nil {
		if reply.Refusal.Kind == refusal.CallerGone {
			ctx.SetConnectionClose()
		}
		c.g.dialect.Refuse(&ctx.Response, reply.Refusal)
		c.hop.markRefusal(&ctx.Response, c.version, reply.Refusal.Kind, c.g.elsewhere(time.Now(), reply))
		return
	}
	c.hop.mark(&ctx.Response, c.version)
	ctx.SetStatusCode(reply.Status)
	for _, h := range reply.Headers {
		ctx.Response.Header.Add(h.Name, h.Value)
	}
	if reply.Stream == nil {
		ctx.Response.SetBodyRaw(reply.Body)
		return
	}
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(&answerStream{Stream: reply.Stream, log: c.g.log, req: &c.req}, -1)
}

// admit validates a request and determines its route and terms.
//
// If it refuses the request, the callerRequest holds what is known so far, for the log.
func (g *Gateway) admit(now time.Time, ctx *fasthttp.RequestCtx, from *hop, overloaded bool) (*callerRequest, *refusal.Error) {
	c := &callerRequest{g: g, hop: from, req: request.Request{Arrived: now, Codec: g.dialect}}
	switch {
	case g.closing.Load():
		return c, refusal.New(refusal.Draining, "")
	case g.inFlight.Load() > g.maxInFlight.Load():
		return c, refusal.New(refusal.Overloaded, "")
	case overloaded:
		// Another router can serve the request at once.
		return c, &refusal.Error{Kind: refusal.Overloaded, Detail: "processor or link", After: otherRouterRetryAfter}
	}
	if problem := ambiguousLength(ctx.Request.Header.RawHeaders()); problem != "" {
		ctx.SetConnectionClose()
		return c, refusal.New(refusal.BadRequest, problem)
	}
	t, head, refusalErr := c.readHead(&ctx.Request.Header)
	if refusalErr != nil {
		return c, refusalErr
	}
	if t.Limits.BodyBytes > 0 && len(ctx.Request.Body()) > t.Limits.BodyBytes {
		return c, refusal.New(refusal.TooLarge, "body")
	}
	c.req.RunID = g.newRunID()
	c.req.Body = ctx.Request.Body()
	c.req.Fingerprint = fingerprint(head.Key, &c.req.Message)
	c.req.Deadline = now.Add(minTimeout(head.Timeout, c.route.Timeout))
	if from != nil {
		c.req.Deadline = now.Add(minTimeout(from.TimeLeft, c.req.Deadline.Sub(now)))
		c.req.Prior = from.Prior
	}
	return c, c.admitDraining(now)
}

// readHead parses the head of a request and determines its route and terms.
func (c *callerRequest) readHead(h *fasthttp.RequestHeader) (*route.Table, *RequestHead, *refusal.Error) {
	t := c.g.table.Load()
	if t == nil {
		return nil, nil, refusal.New(refusal.NotConfigured, "")
	}
	c.version = t.Version
	if c.hop != nil && t.Version < c.hop.Revision {
		return nil, nil, refusal.New(refusal.NotConfigured, "the configuration is older than that of the router that forwarded the request")
	}
	head, err := c.g.dialect.Request(h)
	c.req.Message = head.Message
	if err != nil {
		return nil, nil, refusal.New(refusal.BadRequest, err.Error())
	}
	return t, &head, c.resolve(t, &head)
}

// fingerprint returns a hash of a request and its API key, which identifies repetitions of the request.
func fingerprint(key string, m *request.Message) uint64 {
	h := xxhash.New()
	for _, part := range []string{key, m.Method, m.Host, m.Target} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(m.Body)
	return h.Sum64()
}

// resolve sets the route and the terms of a request.
func (c *callerRequest) resolve(t *route.Table, head *RequestHead) *refusal.Error {
	var ok bool
	if c.route, ok = t.Lookup(head.Host, head.Path); !ok {
		return refusal.New(refusal.UnknownRoute, head.Host+head.Path)
	}
	var account *route.Account
	if t.RequireKey && !c.route.Anonymous {
		if account, ok = t.Account(head.Key); !ok {
			return refusal.New(refusal.Unauthenticated, c.route.Name)
		}
	}
	name := c.route.Service(head.StreamID())
	service, ok := t.Service(name)
	if !ok {
		service = &route.Service{Name: name}
	}
	c.req.Terms = terms(c.route, service, account, head.HasPrompt)
	return nil
}

// terms returns the terms that the configuration sets for a route, service and account; the account is nil if no API key is required.
func terms(r *route.Route, s *route.Service, a *route.Account, hasPrompt bool) request.Terms {
	out := request.Terms{
		Urgency:        r.Priority,
		Service:        s.Name,
		Services:       r.Services(),
		TokensPerEvent: s.TokensPerEvent,
		Repeatable:     r.Repeatable(),
		Streams:        r.Kind == route.Stream,
		Resumable:      r.Resumable,
		MaxAttempts:    r.MaxAttempts,
		Objective:      r.Objective,
		Gap:            r.Gap,
	}
	if a != nil {
		out.Account = a.Name
		if a.Priority != nil {
			out.Urgency = *a.Priority
		}
		if a.Limited && hasPrompt {
			out.Budget = a.Name
			out.Prepaid = a.Prepaid
		}
	}
	out.Class = endpoint.Class(min(max(out.Urgency, 0), int(endpoint.Batch)))
	return out
}

// defaultTimeout applies to a request if neither its caller nor its route sets a timeout.
const defaultTimeout = 30 * time.Second

// minTimeout returns the shorter of two timeouts; one that is not positive is not set.
func minTimeout(a, b time.Duration) time.Duration {
	switch {
	case a <= 0 && b <= 0:
		return defaultTimeout
	case a <= 0:
		return b
	case b <= 0:
		return a
	}
	return min(a, b)
}

// ambiguousLength returns the headers that make the length of a request's body ambiguous, or an empty string.
//
// Two parsers that disagree about the length would see different requests (request smuggling).
func ambiguousLength(raw []byte) string {
	lengths, encodings := 0, 0
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		name, value, ok := bytes.Cut(bytes.TrimRight(line, "\r"), []byte(":"))
		if !ok {
			continue
		}
		text := strings.TrimSpace(string(value))
		switch {
		case strings.EqualFold(strings.TrimSpace(string(name)), "Content-Length"):
			lengths++
			if strings.Trim(text, "0123456789") != "" || text == "" {
				return "Content-Length"
			}
		case strings.EqualFold(strings.TrimSpace(string(name)), "Transfer-Encoding"):
			encodings++
			if !strings.EqualFold(text, "chunked") {
				return "Transfer-Encoding"
			}
		}
	}
	if lengths+encodings > 1 {
		return "Content-Length and Transfer-Encoding"
	}
	return ""
}
