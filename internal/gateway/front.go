package gateway

import (
	"bytes"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/connection"
	"github.com/foxtaillanding/foxtaillanding/internal/request"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
	"github.com/foxtaillanding/foxtaillanding/pkg/route"
)

// Limits of the servers.
const (
	headerBuffer  = 17 << 10         // Bytes; above the largest header that configurations allow.
	maxBody       = 16 << 20         // Bytes; the configuration may allow less.
	readTimeout   = 30 * time.Second // To read one request.
	idleTimeout   = 90 * time.Second // Above every idle time that callers keep to.
	writeTimeout  = 20 * time.Second
	maxConcurrent = 4096
)

func (g *Gateway) newServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Name:                         "foxtaillanding",
		Handler:                      handler,
		ErrorHandler:                 g.refuseUnreadable,
		Concurrency:                  maxConcurrent,
		ReadBufferSize:               headerBuffer,
		MaxRequestBodySize:           maxBody,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		WriteTimeout:                 writeTimeout,
		ReduceMemoryUsage:            true,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		Logger:                       zap.NewStdLog(g.log),
	}
}

// refuseUnreadable answers requests that the HTTP library could not read.
func (g *Gateway) refuseUnreadable(ctx *fasthttp.RequestCtx, err error) {
	kind := refusal.BadRequest
	var header *fasthttp.ErrSmallBuffer
	if errors.Is(err, fasthttp.ErrBodyTooLarge) || errors.As(err, &header) {
		kind = refusal.TooLarge
	}
	g.dialect.Refuse(&ctx.Response, refusal.New(kind, err.Error()))
	ctx.SetConnectionClose()
}

// Memory that requests in flight may take.
const (
	requestBytes  = 160 << 10 // Of one request with its body, connections and goroutines.
	requestsPart  = 0.4       // Of the process's memory.
	leastInFlight = 16
)

// mostInFlight returns the number of requests that the process's memory allows at once.
func mostInFlight(m MemorySettings) int64 {
	if m.LimitMegabytes <= 0 {
		return maxConcurrent
	}
	return max(leastInFlight, int64(requestsPart*float64(m.LimitMegabytes<<20)/requestBytes))
}

// call is a caller's request on its way through the gateway.
type call struct {
	g       *Gateway
	req     request.Request
	route   *route.Route
	version uint64 // Of the configuration that decided.
}

// serveFront answers a caller's request.
func (g *Gateway) serveFront(ctx *fasthttp.RequestCtx) {
	now := time.Now()
	g.inFlight.Add(1)
	if g.draining.Load() {
		ctx.SetConnectionClose()
	}
	c, refused := g.admit(now, ctx)
	if refused != nil {
		g.log.Info("refused", zap.String("Request", c.req.ID), zap.Stringer("Kind", refused.Kind), zap.String("Detail", refused.Detail), zap.Uint64("Version", c.version))
		g.metrics.ended("", refused.Kind.String(), time.Since(now))
		g.dialect.Refuse(&ctx.Response, refused)
		g.inFlight.Add(-1)
		return
	}
	watch := connection.WatchCaller(ctx.Conn())
	c.req.CallerGone = watch.Gone
	done := func() {
		watch.Stop()
		g.inFlight.Add(-1)
	}
	out := g.forwarder.Forward(&c.req)
	c.observe(out)
	if out.Stream != nil {
		out.Stream.OnClose = done
	} else {
		done()
	}
	g.write(ctx, out)
}

// write translates a reply.
func (g *Gateway) write(ctx *fasthttp.RequestCtx, out *request.Reply) {
	if out.Refusal != nil {
		if out.Refusal.Kind == refusal.CallerGone {
			ctx.SetConnectionClose()
		}
		g.dialect.Refuse(&ctx.Response, out.Refusal)
		return
	}
	ctx.SetStatusCode(out.Status)
	for _, h := range out.Headers {
		ctx.Response.Header.Add(h.Name, h.Value)
	}
	if out.Stream == nil {
		ctx.SetBody(out.Body)
		return
	}
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(out.Stream, -1)
}

// admit checks a request and finds its terms.
//
// The call that comes with a refusal names the request for logs.
func (g *Gateway) admit(now time.Time, ctx *fasthttp.RequestCtx) (*call, *refusal.Error) {
	c := &call{g: g, req: request.Request{Arrived: now, Codec: g.dialect}}
	switch {
	case g.closing.Load():
		return c, refusal.New(refusal.Draining, "")
	case g.inFlight.Load() > g.most.Load():
		return c, refusal.New(refusal.Overloaded, "")
	}
	if problem := ambiguous(ctx.Request.Header.RawHeaders()); problem != "" {
		ctx.SetConnectionClose()
		return c, refusal.New(refusal.BadRequest, problem)
	}
	t := g.table.Load()
	if t == nil {
		return c, refusal.New(refusal.NotConfigured, "")
	}
	c.version = t.Version
	asked, err := g.dialect.Request(&ctx.Request.Header)
	c.req.Message = asked.Message
	if err != nil {
		return c, refusal.New(refusal.BadRequest, err.Error())
	}
	if refused := c.find(t, &asked); refused != nil {
		return c, refused
	}
	if t.Limits.BodyBytes > 0 && len(ctx.Request.Body()) > t.Limits.BodyBytes {
		return c, refusal.New(refusal.TooLarge, "body")
	}
	c.req.RunID = g.newID()
	c.req.Body = ctx.Request.Body()
	c.req.Fingerprint = fingerprint(asked.Key, &c.req.Message)
	c.req.Deadline = now.Add(shortest(asked.Wait, c.route.Timeout))
	return c, nil
}

// fingerprint names what is asked, so that a request that comes again is known again.
func fingerprint(key string, m *request.Message) uint64 {
	h := xxhash.New()
	for _, part := range []string{key, m.Method, m.Host, m.Target} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(m.Body)
	return h.Sum64()
}

// find sets the route and the terms of a request.
func (c *call) find(t *route.Table, asked *Asked) *refusal.Error {
	var ok bool
	if c.route, ok = t.Lookup(asked.Host, asked.Path); !ok {
		return refusal.New(refusal.UnknownRoute, asked.Host+asked.Path)
	}
	var account *route.Account
	if t.Keyed && !c.route.Anonymous {
		if account, ok = t.Account(asked.Key); !ok {
			return refusal.New(refusal.Unauthenticated, c.route.Name)
		}
	}
	name := c.route.Service(asked.ID)
	service, ok := t.Service(name)
	if !ok {
		service = &route.Service{Name: name}
	}
	c.req.Terms = terms(c.route, service, account, asked.HasPrompt)
	return nil
}

// terms returns what the configuration says about the requests of a route and an account; the account is nil where no key is needed.
func terms(r *route.Route, s *route.Service, a *route.Account, model bool) request.Terms {
	out := request.Terms{
		Urgency:        r.Rank,
		Service:        s.Name,
		TokensPerEvent: s.TokensPerEvent,
		Repeatable:     r.Repeatable(),
		Streams:        r.Kind == route.Stream,
		Resumable:      r.Resumable,
		MaxAttempts:    r.Attempts,
		Objective:      r.Objective,
		Gap:            r.Gap,
	}
	if a != nil {
		out.Account = a.Name
		if a.Rank != nil {
			out.Urgency = *a.Rank
		}
		if a.Limited && model {
			out.Budget = a.Name
			out.Prepaid = a.Prepaid
		}
	}
	out.Class = endpoint.Class(min(max(out.Urgency, 0), int(endpoint.Batch)))
	return out
}

// defaultWait bounds a request whose caller and route name no time.
const defaultWait = 30 * time.Second

// shortest returns the shorter of two times; one that is not positive does not count.
func shortest(a, b time.Duration) time.Duration {
	switch {
	case a <= 0 && b <= 0:
		return defaultWait
	case a <= 0:
		return b
	case b <= 0:
		return a
	}
	return min(a, b)
}

// ambiguous names what makes the length of a request's body doubtful, or is empty.
//
// Two readers that disagree about the length would see different requests.
func ambiguous(raw []byte) string {
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
