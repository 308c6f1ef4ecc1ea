package standin

import "github.com/valyala/fasthttp"

// VMsPath is where the platform lists VMs.
const VMsPath = "/VMs"

// VMList is the platform's list of VMs; it is switched as a whole, so that a test decides how far it lags.
type VMList struct {
	Live    []string
	Leaving []string
}

// VMs serves a VMList.
type VMs struct {
	list switched[VMList]
}

// Handle serves one call.
func (v *VMs) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case FaultsPath:
		v.list.serve(ctx)
	case VMsPath:
		writeJSON(ctx, v.list.get())
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}
