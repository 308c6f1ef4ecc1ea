package request

import (
	"time"

	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/connection"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
)

// reportHead passes to the endpoint pool what the head of an answer says about the endpoint.
func (r *run) reportHead(now time.Time, name string, a *attempt) {
	if r.direct || a.head.Misdirected {
		return
	}
	r.f.Endpoints.Handle(now, endpoint.Answered{ID: r.req.RunID})
	r.f.Endpoints.Handle(now, endpoint.LimitReported{Endpoint: name, Rate: a.head.Limit, At: now})
	r.f.Endpoints.Handle(now, endpoint.BrittleReported{Endpoint: name, Tolerated: a.head.Brittle, At: now})
	if a.head.Cold > 0 {
		r.f.Endpoints.Handle(now, endpoint.ColdReported{Endpoint: name, For: a.head.Cold})
	}
	if a.head.NoRoom {
		r.f.Endpoints.Handle(now, endpoint.CapacityRejected{Endpoint: name})
	}
	if a.head.Leaving {
		r.f.Log.Info("endpoint announces its leave", zap.String("Request", r.req.ID), zap.String("Run", r.req.RunID), zap.String("Endpoint", name))
		r.f.Endpoints.Handle(now, endpoint.LeavingAnnounced{Endpoint: name})
	}
	if a.head.Rest > 0 {
		r.f.Log.Info("endpoint rests", zap.String("Request", r.req.ID), zap.String("Run", r.req.RunID), zap.String("Endpoint", name), zap.Duration("For", a.head.Rest))
		r.f.Endpoints.Handle(now, endpoint.RestRequested{Endpoint: name, For: a.head.Rest})
	}
	if a.head.Load == nil {
		return
	}
	load := endpoint.Load{Running: a.head.Load.Running, Waiting: a.head.Load.Waiting, Slowdown: a.head.Load.Slowdown}
	r.f.Endpoints.Handle(now, endpoint.LoadReported{Endpoint: name, Load: load})
}

// reportOutcome reports the outcome of an attempt to the endpoint pool.
func (r *run) reportOutcome(outcome endpoint.Outcome, tokens int64) {
	if r.direct {
		return
	}
	outcome = r.observeEnd(outcome)
	r.f.Endpoints.Handle(time.Now(), endpoint.Ended{ID: r.req.RunID, Outcome: outcome, Tokens: tokens})
}

// checkCrash finds out, after an attempt ended, whether its endpoint has crashed, if a part of the prompt may be the reason.
//
// The next attempt waits for the result, since it may crash another endpoint.
func (r *run) checkCrash(outcome endpoint.Outcome) {
	name := r.endpoint
	if outcome != endpoint.Died || r.direct || r.cut {
		return
	}
	address, ok := r.f.Endpoints.Address(name)
	if !ok || !r.f.Endpoints.HasUnknownParts(r.req.Parts) {
		return
	}
	if !connection.Refused(address) {
		return
	}
	r.f.Log.Info("endpoint crashed", zap.String("Request", r.req.ID), zap.String("Run", r.req.RunID), zap.String("Endpoint", name), zap.Any("Parts", r.req.Parts))
	r.f.Endpoints.Handle(time.Now(), endpoint.Crashed{Endpoint: name, Parts: r.req.Parts})
}
