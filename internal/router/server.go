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

// Paths for callers.
const (
	EntriesPath = "/Entries"
	ServicePath = "/v1/services/{service}/{call}"
	MetricsPath = "/Metrics"
)

// Limits of the HTTP server.
const (
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 16 << 20
	requestTimeout = time.Minute // To read one request.
	idleTimeout    = time.Minute
)

func (r *Router) newServer() *fasthttp.Server {
	routes := frouter.New()
	routes.POST(chat.Path, r.counted(r.serveChat))
	routes.POST(ServicePath, r.counted(r.serveCall))
	routes.GET(EntriesPath, r.serveEntries)
	routes.GET(MetricsPath, r.metrics.Handler())
	r.peerRoutes(routes)
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
		ReadTimeout:           requestTimeout,
		IdleTimeout:           idleTimeout,
		WriteTimeout:          time.Duration(r.snapshot().limits.AnswerSeconds) * time.Second,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		Logger:                zap.NewStdLog(r.log),
	}
}

// refuseUnreadable answers requests that the HTTP library could not read.
func refuseUnreadable(ctx *fasthttp.RequestCtx, err error) {
	kind := refusal.BadRequest
	var header *fasthttp.ErrSmallBuffer
	if errors.Is(err, fasthttp.ErrBodyTooLarge) || errors.As(err, &header) {
		kind = refusal.TooLarge
	}
	response.Refuse(ctx, refusal.New(kind, err.Error()))
}

// counted keeps count of the requests in flight until their answers are written.
func (r *Router) counted(handler func(*fasthttp.RequestCtx, func())) fasthttp.RequestHandler {
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

// serveChat answers a model request; done is called when its answer is written or given up.
func (r *Router) serveChat(ctx *fasthttp.RequestCtx, done func()) {
	w, refused := r.admit(ctx)
	if refused != nil {
		done()
		response.Refuse(ctx, refused)
		return
	}
	watch := connection.WatchCaller(ctx.Conn())
	w.left = watch.Gone
	end := func() {
		watch.Stop()
		done()
	}
	if r.workers.Submit(func() { r.run(w) }) != nil {
		end()
		response.Refuse(ctx, refusal.New(refusal.Overloaded, ""))
		return
	}
	first := <-w.pieces
	switch {
	case first.refused != nil:
		end()
		response.Refuse(ctx, first.refused)
	case w.request.Stream:
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStreamWriter(func(out *bufio.Writer) {
			defer end()
			defer w.abandon()
			w.writeStream(out, first)
		})
	case first.usage == nil:
		end()
		response.Refuse(ctx, refusal.New(refusal.AnswerBroken, ""))
	default:
		end()
		response.JSON(ctx, chat.NewCompletion(w.id, w.request.Model, w.content.String(), w.finish, *first.usage))
	}
}

// admit checks a model request and finds its account.
func (r *Router) admit(ctx *fasthttp.RequestCtx) (*work, *refusal.Error) {
	s := r.snapshot()
	w := &work{arrived: time.Now(), pieces: make(chan piece, piecesKept), gone: make(chan struct{})}
	w.id = newID()
	if refused := r.identify(ctx, s, w); refused != nil {
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
	w.request = request
	w.class = int(w.caller.class())
	w.keeps = w.key != "" || !request.Stream
	w.bodyHash = fingerprint(w.caller.name(), request)
	w.assembler.Limit = int(request.MaxTokens)
	return w, nil
}

// fingerprint hashes the account and what is asked, however the answer is to be delivered.
func fingerprint(account string, request chat.Request) uint64 {
	request.Stream = false
	body, _ := json.Marshal(request)
	return xxhash.Sum64String(account + "\x00" + string(body))
}

// identify finds out who sends a request: a caller by its API key, or a router that forwards.
func (r *Router) identify(ctx *fasthttp.RequestCtx, s *snapshot, w *work) *refusal.Error {
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
		w.caller = c
		w.atHome = string(header.Peek(headerStage)) == stageHome
		w.id = string(header.Peek(chat.HeaderRequestID))
		w.key = key
		milliseconds, _ := strconv.ParseInt(string(header.Peek(headerWait)), 10, 64)
		w.startBy = w.arrived.Add(min(wait, time.Duration(milliseconds)*time.Millisecond))
		return nil
	}
	c, ok := s.caller(credential.Bearer(ctx))
	if !ok {
		return refusal.New(refusal.Unauthenticated, "")
	}
	w.caller = c
	w.startBy = w.arrived.Add(wait)
	if key != "" {
		w.key = c.name() + "/" + key
	}
	return nil
}

// writeStream writes an answer as server-sent events; an answer that cannot be completed ends with an error event.
func (w *work) writeStream(out *bufio.Writer, first piece) {
	for p, ok := first, true; ok; p, ok = <-w.pieces {
		if w.writePiece(out, p) != nil {
			return
		}
		last := p.event == nil
		// Pieces that are ready together leave together.
		if (last || len(w.pieces) == 0) && out.Flush() != nil {
			return
		}
		if last {
			return
		}
	}
}

func (w *work) writePiece(out *bufio.Writer, p piece) error {
	if p.event != nil {
		_, err := out.Write(p.event)
		return err
	}
	event := chat.NewChunk(w.id, w.request.Model, answer.Chunk{})
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
	keep := time.Duration(r.snapshot().limits.EntryKeepSeconds) * time.Second
	response.JSON(ctx, r.members.EntryList(keep))
}
