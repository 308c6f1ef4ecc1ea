package standin

import (
	"sync"

	"github.com/valyala/fasthttp"
)

// VMsPath is where the platform lists VMs.
const VMsPath = "/VMs"

// VMList is the platform's list of VMs; it is switched as a whole, so that a test decides how far it lags.
type VMList struct {
	Live    []string
	Leaving []string
}

// VMs serves a VMList.
type VMs struct {
	mu   sync.Mutex
	list VMList // Guarded by mu.
}

// Handle serves one call.
func (v *VMs) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case FaultsPath:
		serveFaults(ctx, v.List, v.SetList)
	case VMsPath:
		writeJSON(ctx, v.List())
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

// List returns the list that is served.
func (v *VMs) List() VMList {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.list
}

// SetList replaces the list that is served.
func (v *VMs) SetList(l VMList) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.list = l
}
