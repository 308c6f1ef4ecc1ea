package router

import (
	"encoding/json"
	"strconv"
	"time"

	frouter "github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/pkg/bill"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
	"github.com/foxtaillanding/foxtaillanding/pkg/settings"
)

// peerRoutes adds what routers ask of each other.
func (r *Router) peerRoutes(routes *frouter.Router) {
	routes.POST(probePath, r.peerOnly(r.serveProbe))
	routes.POST(recallPath, r.peerOnly(r.serveRecall))
	routes.POST(raisePath, r.peerOnly(r.serveRaise))
	routes.POST(entrustPath, r.peerOnly(r.serveEntrust))
	routes.POST(suspectPath, r.peerOnly(r.serveSuspect))
	routes.POST(billPath, r.peerOnly(r.serveBill))
	routes.GET(headPath, r.peerOnly(r.serveHead))
	routes.GET(subtreePath, r.peerOnly(r.serveSubtree))
}

// fromPeer reports whether a request carries the key that the routers share.
func (r *Router) fromPeer(ctx *fasthttp.RequestCtx) bool {
	key := string(ctx.Request.Header.Peek(headerPeerKey))
	return key != "" && sameSecret(key, r.snapshot().tree.Fleet.PeerKey)
}

func (r *Router) peerOnly(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if !r.fromPeer(ctx) {
			writeRefusal(ctx, refusal.New(refusal.Forbidden, string(ctx.Path())))
			return
		}
		handler(ctx)
	}
}

func (r *Router) serveProbe(ctx *fasthttp.RequestCtx) {
	updates, err := r.members.answer(ctx.PostBody())
	if err != nil {
		writeRefusal(ctx, refusal.New(refusal.BadRequest, err.Error()))
		return
	}
	writeJSON(ctx, updates)
}

// readMessage decodes a peer message and reports whether it could.
func readMessage(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		writeRefusal(ctx, refusal.New(refusal.BadRequest, err.Error()))
		return false
	}
	return true
}

func (r *Router) serveRecall(ctx *fasthttp.RequestCtx) {
	var message recallMessage
	if readMessage(ctx, &message) {
		r.budgets.AnswerRecall(message.Budget)
	}
}

func (r *Router) serveRaise(ctx *fasthttp.RequestCtx) {
	var message raiseMessage
	if !readMessage(ctx, &message) {
		return
	}
	acknowledged := message.Witness == r.members.Self().Name() && r.budgets.AnswerRaise(message.Holder, message.raise())
	writeJSON(ctx, raiseAnswer{acknowledged})
}

func (r *Router) serveEntrust(ctx *fasthttp.RequestCtx) {
	var left budget.LeftBehind
	if readMessage(ctx, &left) {
		r.budgets.Handle(time.Now(), left)
	}
}

func (r *Router) serveSuspect(ctx *fasthttp.RequestCtx) {
	var message suspectMessage
	if !readMessage(ctx, &message) {
		return
	}
	now := time.Now()
	keep := time.Duration(message.KeepMilliseconds) * time.Millisecond
	r.backends.handle(now, endpoint.SuspectHeard{Suspect: endpoint.Suspicion{
		Fingerprint: message.Fingerprint,
		Deaths:      message.Deaths,
		Until:       now.Add(keep),
	}})
}

func (r *Router) serveBill(ctx *fasthttp.RequestCtx) {
	var message bill.Billed
	if readMessage(ctx, &message) {
		r.bills.handle(time.Now(), message)
	}
}

// serveHead answers with the head in force, or with no content when the asker has it.
func (r *Router) serveHead(ctx *fasthttp.RequestCtx) {
	head := r.configuration.head()
	after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("After")), 10, 64)
	if head.Revision > after {
		writeJSON(ctx, head)
	}
}

func (r *Router) serveSubtree(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	revision, _ := strconv.ParseUint(string(args.Peek("Revision")), 10, 64)
	version := settings.Version{Revision: revision, Change: string(args.Peek("Change"))}
	content, ok := r.configuration.subtree(string(args.Peek("Path")), version)
	if !ok {
		writeRefusal(ctx, refusal.New(refusal.NotFound, "not in force here"))
		return
	}
	ctx.SetBody(content)
}
