package standin

import (
	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
)

// VMs serves the platform's VM list; a PUT to FaultsPath replaces the whole list, so a test controls how far it lags.
type VMs struct {
	list Var[keyvalue.VMList]
}

// Handle serves one request.
func (v *VMs) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case FaultsPath:
		v.list.Serve(ctx)
	case keyvalue.VMsPath:
		WriteJSON(ctx, v.list.Get())
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}
