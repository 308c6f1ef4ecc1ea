package standin

import (
	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
)

// VMs serves the platform's list of VMs; it is switched as a whole, so that a test decides how far it lags.
type VMs struct {
	list Switch[keyvalue.VMList]
}

// Handle serves one call.
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
