package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/decision"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
)

// drainPoll is the pause between two looks at what a draining router still has to do.
const drainPoll = 20 * time.Millisecond

// Shutdown leaves the entry lists, serves until the kept lists have run out, finishes what is in flight, returns the grants and stops.
//
// When ctx ends first, what is in flight is cut off and grants stay held.
func (r *Router) Shutdown(ctx context.Context) error {
	if r.draining.Swap(true) {
		return nil
	}
	r.log.Info("draining", zap.Int64("InFlight", r.inFlight.Load()))
	r.members.tick(time.Now())
	keep := time.Duration(r.snapshot().limits.EntryKeepSeconds) * time.Second
	decision.Pause(keep, ctx.Done())
	r.closing.Store(true)
	r.waitUntil(ctx, func() bool { return r.inFlight.Load() == 0 })
	r.waitUntil(ctx, func() bool { return r.orders.pending() == 0 })
	r.budgets.Handle(time.Now(), budget.Drain{})
	r.waitUntil(ctx, r.budgets.Drained)
	returned := r.budgets.Drained()
	r.budgets.Leave(time.Now())
	err := r.server.ShutdownWithContext(ctx)
	close(r.stop)
	r.workers.Release()
	r.calls.Release()
	r.log.Info("stopped", zap.Bool("GrantsReturned", returned))
	return err
}

func (r *Router) waitUntil(ctx context.Context, done func() bool) {
	for ctx.Err() == nil && !done() {
		decision.Pause(drainPoll, ctx.Done())
	}
}

// Kill stops the router at once, as a crash would, for tests and the dev command.
func (r *Router) Kill() {
	if r.draining.Swap(true) {
		return
	}
	close(r.stop)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = r.server.ShutdownWithContext(ctx)
}
