package gateway

import (
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
)

// directoryKeep is the time for which callers keep a list of addresses.
const directoryKeep = 2 * time.Second

// serveDirectory tells a caller which addresses to use.
func (g *Gateway) serveDirectory(ctx *fasthttp.RequestCtx) {
	query, ok := g.dialect.Directory(ctx)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	addresses := g.members.fronts(query.DataCentre)
	g.log.Info("directory answer", zap.String("DataCentre", query.DataCentre), zap.Strings("Addresses", addresses))
	if len(addresses) == 0 {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	g.dialect.Addresses(ctx, addresses, directoryKeep)
}

// serveReady tells the platform whether the router takes requests.
func (g *Gateway) serveReady(ctx *fasthttp.RequestCtx) {
	switch {
	case !g.dialect.Readiness(ctx):
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	case !g.ready():
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func (g *Gateway) ready() bool { return !g.draining.Load() && g.table.Load() != nil }
