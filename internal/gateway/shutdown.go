package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/decision"
	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// Timing of a shutdown.
const (
	drainPollInterval = 20 * time.Millisecond
	maxStopReserve    = 900 * time.Millisecond // Longest time that is kept at the end of the grace period for returning grants and stopping.
	stopReserveParts  = 6                      // At most one of so many equal parts of the grace period is kept.
	minServeTime      = 3 * directoryTTL       // Some callers cache a list of addresses for three times its TTL.
	flushDelay        = 50 * time.Millisecond  // For answers that were handed to the operating system but not sent yet.
)

// Shutdown removes the router from the directory, keeps serving callers that still use its address, finishes the
// requests in flight, returns the grants and stops.
func (g *Gateway) Shutdown(now time.Time) {
	grace := time.Duration(g.grace.Load())
	d := newDrain(now, grace)
	if !g.drain.CompareAndSwap(nil, d) {
		return
	}
	g.log.Info("stopping", zap.Int64("InFlight", g.inFlight.Load()))
	g.admission.tick(now) // Opens a closed listener, since callers with a cached list still come.
	g.members.publishSelf(now)
	g.announceDraining()
	listedUntil := time.Now().Add(min(minServeTime, grace/2))
	waitUntil(g.drainEnd, func() bool { return !time.Now().Before(listedUntil) })
	waitUntil(g.drainEnd, g.idle)
	g.closing.Store(true)
	g.budgets.Handle(time.Now(), budget.Drain{})
	stopBy := time.Now().Add(g.drain.Load().reserve / 2)
	stopEnd := func() time.Time { return stopBy }
	waitUntil(stopEnd, func() bool { return g.budgets.Drained() && g.peers.Settled() })
	returned := g.budgets.Drained()
	g.budgets.Leave(time.Now())
	waitUntil(stopEnd, g.idle)
	decision.Pause(flushDelay, nil)
	close(g.stop)
	g.log.Info("stopped", zap.Bool("GrantsReturned", returned), zap.Int64("InFlight", g.inFlight.Load()))
}

// draining reports whether the router is leaving the directory.
func (g *Gateway) draining() bool { return g.drain.Load() != nil }

// drain is the period from a stop request until the router stops serving.
type drain struct {
	since   time.Time
	until   time.Time
	reserve time.Duration // From until on, for returning grants and stopping.
}

// newDrain returns the drain after a stop request at now, if the process is killed a grace period later.
func newDrain(now time.Time, grace time.Duration) *drain {
	reserve := min(maxStopReserve, grace/stopReserveParts)
	return &drain{since: now, until: now.Add(grace - reserve), reserve: reserve}
}

// drainEnd returns when a draining router stops serving.
func (g *Gateway) drainEnd() time.Time { return g.drain.Load().until }

// shortenDrain ends a drain earlier if the grace period has become shorter since its stop request. A longer one is not taken
// over, since the process may be killed as it was announced before.
func (g *Gateway) shortenDrain(grace time.Duration) {
	for {
		d := g.drain.Load()
		if d == nil {
			return
		}
		shorter := newDrain(d.since, grace)
		if !shorter.until.Before(d.until) || g.drain.CompareAndSwap(d, shorter) {
			return
		}
	}
}

// lenientShare is the fraction of a drain in which every request is admitted, because nearly all end well before the
// router stops and callers may not know of another router yet.
const lenientShare = 0.4

// admits reports whether a draining router accepts a request that may take up to the given time.
func (d drain) admits(now time.Time, takes time.Duration) bool {
	lenientUntil := d.since.Add(time.Duration(lenientShare * float64(d.until.Sub(d.since))))
	return now.Before(lenientUntil) || !now.Add(takes).After(d.until)
}

// otherRouterRetryAfter is the Retry-After of a request that another router can serve at once.
const otherRouterRetryAfter = 50 * time.Millisecond

// admitDraining refuses a request that may not end before the router stops, and bounds its deadline otherwise.
//
// A refused caller retries at another router, whereas most requests that are cut off cannot be retried.
func (c *callerRequest) admitDraining(now time.Time) *refusal.Error {
	d := c.g.drain.Load()
	if d == nil {
		return nil
	}
	if !d.admits(now, c.g.durations.estimate(now, c.route, c.req.Deadline.Sub(now))) {
		return &refusal.Error{Kind: refusal.Draining, Detail: c.route.Name, After: otherRouterRetryAfter}
	}
	if c.req.Deadline.After(d.until) {
		c.req.Deadline = d.until // The caller gets an answer from the router rather than a closed connection.
	}
	return nil
}

// announceDraining informs all live routers, without waiting for their next probe, that this one is draining.
func (g *Gateway) announceDraining() {
	for _, p := range g.members.Peers() {
		g.background(func() {
			if _, err := g.peers.Probe(p.Address, g.members.Updates()); err != nil {
				g.log.Warn("peer not told of the shutdown", zap.String("Peer", p.Name()), logfile.Error(err))
			}
		})
	}
}

// idle reports whether no request is in flight.
func (g *Gateway) idle() bool { return g.inFlight.Load() == 0 }

// waitUntil waits until done reports true, until the time that end returns at most.
func waitUntil(end func() time.Time, done func() bool) {
	for time.Now().Before(end()) && !done() {
		decision.Pause(drainPollInterval, nil)
	}
}

// Reload applies the settings that can change at run time and logs whether any of the others differ, which need a restart.
func (g *Gateway) Reload(now time.Time, s Settings) {
	old := g.cfg.Settings
	g.unusableSettings.Store(0)
	g.maxInFlight.Store(inFlightLimit(s.Memory))
	g.limitBodies(s.Memory)
	g.grace.Store(int64(s.grace()))
	g.shortenDrain(s.grace())
	g.endpoints.Handle(now, retryLimits(s.Retry))
	g.log.Info("settings reloaded",
		zap.Bool("NeedsRestart", old.Listen != s.Listen || old.Store != s.Store || old.VM != s.VM || old.DataCentre != s.DataCentre))
}

// ReportUnusedSettings reports what the process has started without, until the next Reload.
func (g *Gateway) ReportUnusedSettings(problems []string) {
	g.unusableSettings.Store(int64(len(problems)))
	if len(problems) > 0 {
		g.log.Error("settings not used, defaults in force", zap.Strings("Problems", problems))
	}
}

// ReportUnloadedSettings reports that changed settings cannot be loaded, until the next Reload.
func (g *Gateway) ReportUnloadedSettings(err error) {
	g.unusableSettings.Store(1)
	g.log.Error("settings not reloaded", logfile.Error(err))
}
