package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/decision"
	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
)

// Times of a shutdown.
const (
	drainPoll    = 20 * time.Millisecond
	reserveAtEnd = 900 * time.Millisecond // Of the grace, to return grants and stop.
	serveAtLeast = 3 * directoryKeep      // Some callers keep a list of addresses three times as long as asked.
	flushAtEnd   = 50 * time.Millisecond  // For answers that are given to the system but not yet written.
)

// Shutdown leaves the directory, serves whoever still comes, finishes what is in flight, returns the grants and stops.
func (g *Gateway) Shutdown(now time.Time) {
	if g.draining.Swap(true) {
		return
	}
	g.log.Info("stopping", zap.Int64("InFlight", g.inFlight.Load()))
	g.members.tick(now)
	g.tellPeers()
	grace := time.Duration(g.grace.Load())
	end := now.Add(grace - reserveAtEnd)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	decision.Pause(min(serveAtLeast, grace/2), ctx.Done())
	g.waitIdle(ctx)
	g.closing.Store(true)
	g.budgets.Handle(time.Now(), budget.Drain{})
	last, stop := context.WithTimeout(context.Background(), reserveAtEnd/2)
	defer stop()
	waitUntil(last, g.budgets.Drained)
	returned := g.budgets.Drained()
	g.budgets.Leave(time.Now())
	g.waitIdle(last)
	decision.Pause(flushAtEnd, nil)
	close(g.stop)
	g.log.Info("stopped", zap.Bool("GrantsReturned", returned), zap.Int64("InFlight", g.inFlight.Load()))
}

// tellPeers tells all live routers at once that this one drains.
func (g *Gateway) tellPeers() {
	for _, p := range g.members.Peers() {
		g.background(func() {
			if _, err := g.peers.Probe(p.Address, g.members.Updates()); err != nil {
				g.log.Warn("peer not told of the shutdown", zap.String("Peer", p.Name()), logfile.Problem(err))
			}
		})
	}
}

// waitIdle waits until no request is in flight.
func (g *Gateway) waitIdle(ctx context.Context) {
	waitUntil(ctx, func() bool { return g.inFlight.Load() == 0 })
}

func waitUntil(ctx context.Context, done func() bool) {
	for ctx.Err() == nil && !done() {
		decision.Pause(drainPoll, ctx.Done())
	}
}

// Reload takes changed settings over; what the process was started with stays as it was until a restart.
func (g *Gateway) Reload(now time.Time, s Settings) {
	was := g.cfg.Settings
	g.most.Store(mostInFlight(s.Memory))
	g.grace.Store(int64(s.grace()))
	g.endpoints.Handle(now, retriesOf(s.Retry))
	g.log.Info("settings reloaded",
		zap.Bool("NeedsRestart", was.Listen != s.Listen || was.Store != s.Store || was.VM != s.VM || was.DataCentre != s.DataCentre))
}
