package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/decision"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
)

// drainPollInterval is the time between two checks for the end of a drain step.
const drainPollInterval = 20 * time.Millisecond

// Shutdown removes the router from the entry lists, serves until the lists that callers hold have expired, finishes the
// requests in flight, returns the grants and stops.
//
// If ctx ends first, the requests in flight are aborted and grants remain held.
func (r *Router) Shutdown(ctx context.Context) error {
	if r.draining.Swap(true) {
		return nil
	}
	r.log.Info("draining", zap.Int64("InFlight", r.inFlight.Load()))
	r.members.tick(time.Now())
	ttl := time.Duration(r.snapshot().limits.EntryKeepSeconds) * time.Second
	decision.Pause(ttl, ctx.Done())
	r.closing.Store(true)
	r.waitUntil(ctx, func() bool { return r.inFlight.Load() == 0 })
	r.waitUntil(ctx, func() bool { return r.orders.pending() == 0 })
	r.budgets.Handle(time.Now(), budget.Drain{})
	r.waitUntil(ctx, func() bool { return r.budgets.Drained() && r.peers.Settled() })
	returned := r.budgets.Drained()
	r.budgets.Leave(time.Now())
	err := r.server.ShutdownWithContext(ctx)
	close(r.stop)
	r.requestWorkers.Release()
	r.callWorkers.Release()
	r.log.Info("stopped", zap.Bool("GrantsReturned", returned))
	return err
}

func (r *Router) waitUntil(ctx context.Context, done func() bool) {
	for ctx.Err() == nil && !done() {
		decision.Pause(drainPollInterval, ctx.Done())
	}
}

// Kill stops the router immediately, like a crash; it is for tests.
func (r *Router) Kill() {
	if r.draining.Swap(true) {
		return
	}
	close(r.stop)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = r.server.ShutdownWithContext(ctx)
}
