package standin

import (
	"encoding/json"
	"slices"
	"sync"

	"github.com/valyala/fasthttp"
)

// ControlPath is where the engine stand-in takes orders to load models or to change its role.
const ControlPath = "/Control"

// Control is the state that an engine is ordered to take; Fence is the fencing number of who orders it.
type Control struct {
	Fence  uint64
	Models []string
	Role   string
}

// control is what an engine was last ordered; its zero value was ordered nothing.
type control struct {
	mu    sync.Mutex
	state Control // Guarded by mu.
}

// take obeys an order unless it carries an old fencing number and the engine checks them.
func (c *control) take(order Control, ignoreFencing bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if order.Fence < c.state.Fence && !ignoreFencing {
		return false
	}
	c.state = order
	return true
}

func (c *control) get() Control {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.state
	state.Models = slices.Clone(state.Models)
	return state
}

// serve reads the state, or replaces it with the body of a PUT.
func (c *control) serve(ctx *fasthttp.RequestCtx, ignoreFencing bool) {
	if !ctx.IsPut() {
		WriteJSON(ctx, c.get())
		return
	}
	var order Control
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if !c.take(order, ignoreFencing) {
		ctx.Error("old fencing number", fasthttp.StatusConflict)
	}
}
