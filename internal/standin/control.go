package standin

import (
	"encoding/json"
	"slices"
	"sync"

	"github.com/valyala/fasthttp"
)

// ControlPath is the path at which the engine stand-in accepts Control commands.
const ControlPath = "/Control"

// Control is a command to an engine that sets its models and its role; Fence is the sender's fencing token.
type Control struct {
	Fence  uint64
	Models []string
	Role   string
}

// controlState holds the last command that an engine accepted; the zero value holds none.
type controlState struct {
	mu   sync.Mutex
	last Control // Guarded by mu.
}

// apply accepts a command and reports true, unless its fencing token is outdated and the engine checks tokens.
func (c *controlState) apply(command Control, ignoreFencing bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if command.Fence < c.last.Fence && !ignoreFencing {
		return false
	}
	c.last = command
	return true
}

func (c *controlState) get() Control {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.last
	last.Models = slices.Clone(last.Models)
	return last
}

// serve applies the command in the body of a PUT, and responds to any other method with the last command.
func (c *controlState) serve(ctx *fasthttp.RequestCtx, ignoreFencing bool) {
	if !ctx.IsPut() {
		WriteJSON(ctx, c.get())
		return
	}
	var command Control
	if err := json.Unmarshal(ctx.PostBody(), &command); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if !c.apply(command, ignoreFencing) {
		ctx.Error("old fencing number", fasthttp.StatusConflict)
	}
}
