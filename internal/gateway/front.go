package gateway

import (
	"bytes"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

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

// serveFront answers a caller's request.
func (g *Gateway) serveFront(ctx *fasthttp.RequestCtx) {
	now := time.Now()
	g.inFlight.Add(1)
	if g.draining.Load() {
		ctx.SetConnectionClose()
	}
	r, refused := g.admit(now, ctx)
	if refused != nil {
		g.log.Info("refused", zap.String("Request", r.req.ID), zap.Stringer("Kind", refused.Kind), zap.String("Detail", refused.Detail), zap.Uint64("Version", r.version))
		g.metrics.ended("", refused.Kind.String(), time.Since(now))
		g.dialect.Refuse(&ctx.Response, refused)
		g.inFlight.Add(-1)
		return
	}
	watch := watchCaller(ctx.Conn())
	r.gone = watch.gone
	done := func() {
		watch.stop()
		g.inFlight.Add(-1)
	}
	out := r.serve()
	r.observe(out)
	if out.Stream != nil {
		out.Stream.closed = done
	} else {
		done()
	}
	g.write(ctx, out)
}

// write translates a reply.
func (g *Gateway) write(ctx *fasthttp.RequestCtx, out *reply) {
	if out.Refused != nil {
		if out.Refused.Kind == refusal.CallerGone {
			ctx.SetConnectionClose()
		}
		g.dialect.Refuse(&ctx.Response, out.Refused)
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

// admit checks a request and finds its route and account.
//
// The run that comes with a refusal names the request for logs.
func (g *Gateway) admit(now time.Time, ctx *fasthttp.RequestCtx) (*run, *refusal.Error) {
	r := &run{g: g, arrived: now}
	switch {
	case g.closing.Load():
		return r, refusal.New(refusal.Draining, "")
	case g.inFlight.Load() > g.most:
		return r, refusal.New(refusal.Overloaded, "")
	}
	if problem := ambiguous(ctx.Request.Header.RawHeaders()); problem != "" {
		ctx.SetConnectionClose()
		return r, refusal.New(refusal.BadRequest, problem)
	}
	t := g.table.Load()
	if t == nil {
		return r, refusal.New(refusal.NotConfigured, "")
	}
	r.version = t.Version
	req, err := g.dialect.Request(&ctx.Request.Header)
	r.req = req
	if err != nil {
		return r, refusal.New(refusal.BadRequest, err.Error())
	}
	if refused := r.find(t); refused != nil {
		return r, refused
	}
	if t.Limits.BodyBytes > 0 && len(ctx.Request.Body()) > t.Limits.BodyBytes {
		return r, refusal.New(refusal.TooLarge, "body")
	}
	r.id = g.newID()
	r.req.Body = ctx.Request.Body()
	r.fingerprint = r.req.fingerprint()
	r.lastEvent = r.req.LastEvent
	r.deadline = now.Add(shortest(r.req.Wait, r.route.Timeout))
	return r, nil
}

// find sets the route, the account and the service of a request.
func (r *run) find(t *route.Table) *refusal.Error {
	var ok bool
	if r.route, ok = t.Lookup(r.req.Host, r.req.Path); !ok {
		return refusal.New(refusal.UnknownRoute, r.req.Host+r.req.Path)
	}
	if t.Keyed && !r.route.Anonymous {
		if r.account, ok = t.Account(r.req.Key); !ok {
			return refusal.New(refusal.Unauthenticated, r.route.Name)
		}
	}
	name := r.route.Service(r.req.ID)
	if r.service, ok = t.Service(name); !ok {
		r.service = &route.Service{Name: name}
	}
	return nil
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
