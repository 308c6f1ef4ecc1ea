package router

import (
	"bufio"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	frouter "github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/chat"
	"github.com/foxtaillanding/foxtaillanding/internal/connection"
	"github.com/foxtaillanding/foxtaillanding/internal/credential"
	"github.com/foxtaillanding/foxtaillanding/internal/response"
	"github.com/foxtaillanding/foxtaillanding/pkg/answer"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// Paths of the API for callers, besides chat.Path.
const (
	EntriesPath = "/Entries"
	ServicePath = "/v1/services/{service}/{call}"
	MetricsPath = "/Metrics"
)

// Limits of the HTTP server.
const (
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 16 << 20
	readTimeout    = time.Minute // For reading one request.
	idleTimeout    = time.Minute
)

func (r *Router) newServer() *fasthttp.Server {
	routes := frouter.New()
	routes.POST(chat.Path, r.trackInFlight(r.serveChat))
	routes.POST(ServicePath, r.trackInFlight(r.serveCall))
	routes.GET(EntriesPath, r.serveEntries)
	routes.GET(MetricsPath, r.metrics.Handler())
	r.addPeerRoutes(routes)
	r.operators.Routes(routes)
	routes.NotFound = func(ctx *fasthttp.RequestCtx) {
		response.Refuse(ctx, refusal.New(refusal.NotFound, string(ctx.Path())))
	}
	routes.PanicHandler = func(ctx *fasthttp.RequestCtx, problem any) {
		r.logPanic("", problem)
		response.Refuse(ctx, refusal.New(refusal.Internal, ""))
	}
	return &fasthttp.Server{
		Name:                  "foxtaillanding",
		Handler:               routes.Handler,
		ErrorHandler:          refuseUnreadable,
		ReadBufferSize:        maxHeaderBytes,
		MaxRequestBodySize:    maxBodyBytes,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		WriteTimeout:          time.Duration(r.snapshot().limits.AnswerSeconds) * time.Second,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		Logger:                zap.NewStdLog(r.log),
	}
}

// refuseUnreadable answers requests that the HTTP library could not parse.
func refuseUnreadable(ctx *fasthttp.RequestCtx, err error) {
	kind := refusal.BadRequest
	var headerTooLarge *fasthttp.ErrSmallBuffer
	if errors.Is(err, fasthttp.ErrBodyTooLarge) || errors.As(err, &headerTooLarge) {
		kind = refusal.TooLarge
	}
	response.Refuse(ctx, refusal.New(kind, err.Error()))
}

// trackInFlight counts requests as in flight until the handler calls its second argument, and refuses them during shutdown.
func (r *Router) trackInFlight(handler func(*fasthttp.RequestCtx, func())) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		r.inFlight.Add(1)
		done := func() { r.inFlight.Add(-1) }
		if r.closing.Load() {
			done()
			response.Refuse(ctx, refusal.New(refusal.Draining, ""))
			return
		}
		handler(ctx, done)
	}
}

// serveChat answers a model request; it calls done when the answer is written or abandoned.
func (r *Router) serveChat(ctx *fasthttp.RequestCtx, done func()) {
	m, refused := r.admit(ctx)
	if refused != nil {
		done()
		response.Refuse(ctx, refused)
		return
	}
	watch := connection.WatchCaller(ctx.Conn())
	m.callerGone = watch.Gone
	end := func() {
		watch.Stop()
		done()
	}
	if r.requestWorkers.Submit(func() { r.run(m) }) != nil {
		end()
		response.Refuse(ctx, refusal.New(refusal.Overloaded, ""))
		return
	}
	first := <-m.pieces
	switch {
	case first.refused != nil:
		end()
		response.Refuse(ctx, first.refused)
	case m.request.Stream:
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStreamWriter(func(out *bufio.Writer) {
			defer end()
			defer m.abandon()
			m.writeStream(out, first)
		})
	case first.usage == nil:
		end()
		response.Refuse(ctx, refusal.New(refusal.AnswerBroken, ""))
	default:
		end()
		response.JSON(ctx, chat.NewCompletion(m.id, m.request.Model, m.content.String(), m.finish, *first.usage))
	}
}

// admit authenticates and validates a model request.
func (r *Router) admit(ctx *fasthttp.RequestCtx) (*modelRequest, *refusal.Error) {
	s := r.snapshot()
	m := &modelRequest{arrived: time.Now(), pieces: make(chan piece, pieceBuffer), abandoned: make(chan struct{})}
	m.id = newID()
	if refused := r.authenticate(ctx, s, m); refused != nil {
		return nil, refused
	}
	if len(ctx.PostBody()) > s.limits.BodyBytes {
		return nil, refusal.New(refusal.TooLarge, "the body is above "+strconv.Itoa(s.limits.BodyBytes)+" bytes")
	}
	request, refused := chat.Decode(ctx.PostBody(), s.limits.OutputTokens)
	if refused != nil {
		return nil, refused
	}
	if !s.serves(request.Model) {
		return nil, refusal.New(refusal.UnknownModel, request.Model)
	}
	m.request = request
	m.class = int(m.caller.class())
	m.keepContent = m.key != "" || !request.Stream
	m.bodyHash = fingerprint(m.caller.name(), request)
	m.assembler.Limit = int(request.MaxTokens)
	return m, nil
}

// fingerprint hashes the account and the request, regardless of whether the answer is to be streamed.
func fingerprint(account string, request chat.Request) uint64 {
	request.Stream = false
	body, _ := json.Marshal(request)
	return xxhash.Sum64String(account + "\x00" + string(body))
}

// authenticate determines the client account of a request, which comes from a caller with an API key or from a router that forwards it.
func (r *Router) authenticate(ctx *fasthttp.RequestCtx, s *snapshot, m *modelRequest) *refusal.Error {
	header := &ctx.Request.Header
	key := string(header.Peek(chat.HeaderIdempotencyKey))
	const maxKey = 256
	if len(key) > maxKey {
		return refusal.New(refusal.BadRequest, chat.HeaderIdempotencyKey+" is longer than 256 bytes")
	}
	wait := time.Duration(s.limits.FirstTokenSeconds) * time.Second
	if r.fromPeer(ctx) {
		c, ok := s.byName[string(header.Peek(headerAccount))]
		if !ok {
			return refusal.New(refusal.Unauthenticated, "the account is not in the settings in force here")
		}
		m.caller = c
		m.atHome = string(header.Peek(headerStage)) == stageHome
		m.id = string(header.Peek(chat.HeaderRequestID))
		m.key = key
		milliseconds, _ := strconv.ParseInt(string(header.Peek(headerWait)), 10, 64)
		m.startBy = m.arrived.Add(min(wait, time.Duration(milliseconds)*time.Millisecond))
		return nil
	}
	c, ok := s.caller(credential.Bearer(ctx))
	if !ok {
		return refusal.New(refusal.Unauthenticated, "")
	}
	m.caller = c
	m.startBy = m.arrived.Add(wait)
	if key != "" {
		m.key = c.name() + "/" + key
	}
	return nil
}

// writeStream writes an answer as server-sent events; an answer that cannot be completed ends with an error event.
func (m *modelRequest) writeStream(out *bufio.Writer, first piece) {
	for p, ok := first, true; ok; p, ok = <-m.pieces {
		if m.writePiece(out, p) != nil {
			return
		}
		last := p.event == nil
		// Flush once for all pieces that are ready.
		if (last || len(m.pieces) == 0) && out.Flush() != nil {
			return
		}
		if last {
			return
		}
	}
}

func (m *modelRequest) writePiece(out *bufio.Writer, p piece) error {
	if p.event != nil {
		_, err := out.Write(p.event)
		return err
	}
	event := chat.NewChunk(m.id, m.request.Model, answer.Chunk{})
	event.Sequence = nil
	event.Choices = []chat.Choice{}
	event.Usage = p.usage
	if p.refused != nil {
		detail := p.refused.Body().Error
		event.Error = &detail
	}
	if err := chat.WriteEvent(out, event); err != nil || p.usage == nil {
		return err
	}
	return chat.WriteDone(out)
}

func (r *Router) serveEntries(ctx *fasthttp.RequestCtx) {
	ttl := time.Duration(r.snapshot().limits.EntryKeepSeconds) * time.Second
	response.JSON(ctx, r.members.EntryList(ttl))
}
