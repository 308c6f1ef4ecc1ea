package request

import "github.com/foxtaillanding/foxtaillanding/pkg/refusal"

// pathLost returns a channel that is closed when another router is to serve the request because this one reaches no
// endpoint; nil if none is to, or an attempt may have run.
func (r *run) pathLost() <-chan struct{} {
	if r.req.PathLost == nil || r.ran {
		return nil
	}
	return r.req.PathLost()
}

// refuseWithoutPath refuses the request if another router is to serve it.
func (r *run) refuseWithoutPath() *Reply {
	select {
	case <-r.pathLost():
		return r.giveUp(refusal.NoEndpoint, 0)
	default:
		return nil
	}
}
