package router

import (
	"encoding/json"
	"strconv"
	"time"

	frouter "github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/internal/credential"
	"github.com/foxtaillanding/foxtaillanding/internal/peer"
	"github.com/foxtaillanding/foxtaillanding/internal/response"
	"github.com/foxtaillanding/foxtaillanding/pkg/bill"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
	"github.com/foxtaillanding/foxtaillanding/pkg/settings"
)

// addPeerRoutes registers the handlers of messages from other routers.
func (r *Router) addPeerRoutes(routes *frouter.Router) {
	for _, path := range []string{
		peer.ProbePath, peer.RecallPath, peer.RaisePath, peer.EntrustPath, peer.ReservePath, peer.SettlePath, peer.SuspectPath,
	} {
		routes.POST(path, r.requirePeerKey(r.servePeer))
	}
	routes.POST(billPath, r.requirePeerKey(r.serveBill))
	routes.GET(headPath, r.requirePeerKey(r.serveHead))
	routes.GET(subtreePath, r.requirePeerKey(r.serveSubtree))
}

// fromPeer reports whether a request carries the key that the routers share.
func (r *Router) fromPeer(ctx *fasthttp.RequestCtx) bool {
	key := string(ctx.Request.Header.Peek(peer.KeyHeader))
	return key != "" && credential.Equal(key, r.snapshot().tree.Fleet.PeerKey)
}

// requirePeerKey refuses requests without the key that the routers share.
func (r *Router) requirePeerKey(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if !r.fromPeer(ctx) {
			response.Refuse(ctx, refusal.New(refusal.Forbidden, string(ctx.Path())))
			return
		}
		handler(ctx)
	}
}

// servePeer answers the messages of package peer, which the gateway answers too.
func (r *Router) servePeer(ctx *fasthttp.RequestCtx) {
	answer, _, err := r.peerService.Answer(string(ctx.Path()), ctx.PostBody())
	if err != nil {
		response.Refuse(ctx, refusal.New(refusal.BadRequest, err.Error()))
		return
	}
	ctx.SetBody(answer)
}

// decodeMessage decodes a peer message into v; if that fails, it refuses the request and returns false.
func decodeMessage(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		response.Refuse(ctx, refusal.New(refusal.BadRequest, err.Error()))
		return false
	}
	return true
}

func (r *Router) serveBill(ctx *fasthttp.RequestCtx) {
	var message bill.Billed
	if decodeMessage(ctx, &message) {
		r.bills.handle(time.Now(), message)
	}
}

// serveHead answers with the settings head in force, or with an empty body if the peer already has it.
func (r *Router) serveHead(ctx *fasthttp.RequestCtx) {
	head := r.configuration.Head()
	after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("After")), 10, 64)
	if head.Revision > after {
		response.JSON(ctx, head)
	}
}

func (r *Router) serveSubtree(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	revision, _ := strconv.ParseUint(string(args.Peek("Revision")), 10, 64)
	version := settings.Version{Revision: revision, Change: string(args.Peek("Change"))}
	content, ok := r.configuration.Subtree(string(args.Peek("Path")), version)
	if !ok {
		response.Refuse(ctx, refusal.New(refusal.NotFound, "not in force here"))
		return
	}
	ctx.SetBody(content)
}
