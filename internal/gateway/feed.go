package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/decision"
	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/pkg/route"
)

// feed is a set of keys in the store that the gateway watches.
type feed struct {
	name       string
	prefix     string
	onSnapshot func(now time.Time, entries []keyvalue.Entry) // Called with all keys that exist.
	onChange   func(now time.Time, c keyvalue.Change)        // Called for each change after that.

	probes     bool                // Retries soon after a failure; other feeds wait for an answer to any call or for idleRetryDelay.
	batchDelay time.Duration       // Pause after each answer, so that the next one covers several changes.
	onRecovery func(now time.Time) // Called before the first data after an outage of the store; may be nil.
}

// Delays between attempts to reach the store.
const (
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond

	idleRetryDelay = 3 * time.Second // For a feed that does not probe.
)

// follow keeps a feed up to date until the gateway stops.
//
// While the store is unreachable, the last known state remains in use. If the
// store no longer has the changes after the last revision, all keys are read again.
func (g *Gateway) follow(f feed) {
	var revision uint64
	synced := false
	delay := minRetryDelay
	failed := false
	for !g.stopped() {
		ctx := g.reachability.watchContext()
		next, err := g.step(ctx, f, revision, synced, failed)
		switch {
		case err == nil:
			if failed {
				g.budgetStore.ResetBreaker()
				g.log.Info("store regained", zap.String("Feed", f.name), zap.Uint64("Revision", next))
			}
			failed = false
			revision = next
			synced = true
			delay = minRetryDelay
			decision.Pause(f.batchDelay, g.stop)
			continue
		case errors.Is(err, keyvalue.ErrHistoryGone):
			synced = false
			continue
		case !failed:
			g.log.Warn("store lost", zap.String("Feed", f.name), zap.Uint64("Revision", revision), logfile.Error(err))
			failed = true
			if ctx.Err() == nil {
				g.reachability.markUnreachable()
			}
		}
		g.waitForRetry(f, delay)
		delay = min(2*delay, maxRetryDelay)
	}
}

// waitForRetry blocks a feed whose last step failed until its next attempt.
//
// A feed that does not probe waits for the store's next answer to any call,
// unless the store has answered since the failure.
func (g *Gateway) waitForRetry(f feed, delay time.Duration) {
	answered := g.reachability.nextAnswer()
	if f.probes {
		answered = nil // An answer to another call may predate the failure of this feed.
	} else if answered != nil {
		delay = idleRetryDelay
	}
	timer := time.NewTimer(delay/2 + rand.N(delay/2))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-answered:
	case <-g.stop:
	}
}

// step reads all keys of a feed that is not synced, or waits for the next changes, and returns the new revision.
//
// failed reports whether the previous step failed.
func (g *Gateway) step(ctx context.Context, f feed, revision uint64, synced, failed bool) (uint64, error) {
	if !synced {
		entries, at, err := g.store.Range(ctx, f.prefix)
		if err != nil {
			return revision, err
		}
		if at < revision {
			return revision, errors.Newf("store answered at revision %d, which is older than the known revision %d", at, revision)
		}
		now := time.Now()
		f.notifyRecovery(now, failed)
		f.onSnapshot(now, entries)
		return at, nil
	}
	wait := watchWait
	if failed {
		wait = probeWait // A quick answer shows early that the store is reachable again.
	}
	changes, err := g.store.Changes(ctx, f.prefix, revision, wait)
	if err != nil {
		return revision, err
	}
	now := time.Now()
	f.notifyRecovery(now, failed)
	for _, c := range changes.Changes {
		f.onChange(now, c)
	}
	return changes.Revision, nil
}

func (f feed) notifyRecovery(now time.Time, failed bool) {
	if failed && f.onRecovery != nil {
		f.onRecovery(now)
	}
}

func (g *Gateway) applyConfigurationSnapshot(now time.Time, entries []keyvalue.Entry) {
	for _, e := range entries {
		if e.Key == g.dialect.ConfigurationKey() {
			g.applyConfiguration(now, e.Value, "store")
		}
	}
}

func (g *Gateway) applyConfigurationChange(now time.Time, c keyvalue.Change) {
	if c.Key == g.dialect.ConfigurationKey() && !c.Deleted {
		g.applyConfiguration(now, c.Value, "store")
	}
}

// applyConfiguration puts a configuration in force unless it is invalid or its version is not newer than the current one.
func (g *Gateway) applyConfiguration(now time.Time, value []byte, source string) {
	cfg, err := g.dialect.Configuration(value)
	if err != nil {
		g.log.Error("configuration not read", zap.String("Source", source), logfile.Error(err))
		return
	}
	g.tableMu.Lock()
	defer g.tableMu.Unlock()
	if t := g.table.Load(); t != nil && t.Version >= cfg.Version {
		return
	}
	g.members.setConfiguration(cfg.Version, value)
	g.updatePrepaid(now, cfg.Accounts)
	g.table.Store(route.NewTable(cfg))
	g.entries.updatePool(now)
	g.log.Info("configuration in force", zap.Uint64("Version", cfg.Version), zap.String("Source", source),
		zap.Int("Routes", len(cfg.Routes)), zap.Int("Accounts", len(cfg.Accounts)))
}

func (g *Gateway) stopped() bool {
	select {
	case <-g.stop:
		return true
	default:
		return false
	}
}
