package gateway

import (
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/internal/peer"
)

// configurationPath is the path at which peers fetch this router's configuration.
const configurationPath = "/Peer/Configuration"

// servePeer answers a message from another router, or a request that it forwarded.
func (g *Gateway) servePeer(ctx *fasthttp.RequestCtx) {
	if from := takeHop(&ctx.Request.Header); from != nil {
		g.serveRequest(ctx, from)
		return
	}
	answer, err := g.answerPeer(string(ctx.Path()), ctx.PostBody())
	if err != nil {
		g.log.Warn("peer message not read", zap.ByteString("Path", ctx.Path()), logfile.Error(err))
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	ctx.SetBody(answer)
}

func (g *Gateway) answerPeer(path string, body []byte) ([]byte, error) {
	if path == configurationPath {
		return g.members.configuration()
	}
	if path == peer.FeedPath {
		return peer.HandleMessage(body, func(q peer.FeedQuery) any { return g.answerFollower(q) })
	}
	answer, known, err := g.peerService.Answer(path, body)
	if !known {
		return nil, errors.Newf("unknown path %q", path)
	}
	return answer, err
}
