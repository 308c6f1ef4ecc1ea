package gateway

import (
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
)

// directoryTTL is the time for which callers may cache a list of addresses.
const directoryTTL = 2 * time.Second

// serveDirectory returns the addresses that a caller should use.
func (g *Gateway) serveDirectory(ctx *fasthttp.RequestCtx) {
	query, ok := g.dialect.Directory(ctx)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	caller := ctx.RemoteIP().String()
	addresses := g.members.frontAddresses(caller, query.DataCentre)
	g.log.Info("directory answer", zap.String("Caller", caller), zap.String("DataCentre", query.DataCentre), zap.Strings("Addresses", addresses))
	if len(addresses) == 0 {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	g.dialect.Addresses(ctx, addresses, directoryTTL)
}

// serveReady answers the readiness checks of the platform.
func (g *Gateway) serveReady(ctx *fasthttp.RequestCtx) {
	switch {
	case !g.dialect.Readiness(ctx):
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	case !g.ready():
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func (g *Gateway) ready() bool {
	return !g.draining() && !g.admission.closed() && g.table.Load() != nil
}
