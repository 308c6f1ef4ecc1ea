package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/decision"
	"github.com/foxtaillanding/foxtaillanding/internal/feed"
	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/pkg/route"
)

// feedState is a set of keys in the store that the gateway follows, with what it has seen of them.
type feedState struct {
	name       string
	prefix     string
	onPage     func(now time.Time, entries []keyvalue.Entry)  // Called with each part of the first read, before onSnapshot; may be nil.
	onSnapshot func(now time.Time, entries []keyvalue.Entry)  // Called with all keys that exist.
	onChanges  func(now time.Time, changes []keyvalue.Change) // Called with the changes after that, one or more at once.
	onUpdate   func(now time.Time, u feed.Update)             // Called with each update as a whole, in place of the two above; may be nil.

	wait         time.Duration       // Longest wait of one watch; zero means watchWait or followedWatchWait.
	probes       bool                // Retries soon after a failure; other feeds wait for an answer to any call or for idleRetryDelay.
	batchDelay   time.Duration       // Pause after each answer of the store, so that the next one covers several changes.
	relayDelay   time.Duration       // Pause after each answer of a reader.
	startupDelay time.Duration       // As batchDelay, within settlePeriod, when the routers of the whole fleet may start.
	onRecovery   func(now time.Time) // Called before the first data after an outage of the store; may be nil.

	relay    relay
	follower feed.Follower // Accessed only by the goroutine that follows the feed.
	unsynced bool          // All keys must be read again; accessed only by that goroutine.
	failed   bool          // The last call to the store failed; accessed only by that goroutine.
	outage   bool          // The store has answered no call of this router since then; accessed only by that goroutine.
}

// deliver passes an update to the owner of the feed.
func (f *feedState) deliver(now time.Time, u feed.Update) {
	if f.onUpdate != nil {
		f.onUpdate(now, u)
		return
	}
	if !u.Snapshot {
		if len(u.Changes) > 0 {
			f.onChanges(now, u.Changes)
		}
		return
	}
	entries := make([]keyvalue.Entry, 0, len(u.Changes))
	for _, c := range u.Changes {
		entries = append(entries, c.Entry)
	}
	f.onSnapshot(now, entries)
}

// notifyRecovery tells the owner of the feed when the store was back after an outage, once for each outage.
func (f *feedState) notifyRecovery(at time.Time) {
	if f.relay.recovered(at) && f.onRecovery != nil {
		f.onRecovery(at)
	}
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
func (g *Gateway) follow(f *feedState) {
	delay := minRetryDelay
	for !g.stopped() {
		if g.readRelayed(f) {
			if f.failed {
				g.log.Info("feed regained", zap.String("Feed", f.name))
			}
			f.failed = false
			f.outage = false
			f.unsynced = false
			delay = minRetryDelay
			decision.Pause(f.relayDelay, g.stop)
			continue
		}
		if g.readStore(f) {
			delay = minRetryDelay
			decision.Pause(g.pauseAfterRead(time.Now(), f), g.stop)
			continue
		}
		if f.failed {
			g.waitForRetry(f, delay)
			delay = min(2*delay, maxRetryDelay)
		}
	}
}

// pauseAfterRead returns the pause after an answer of the store.
func (g *Gateway) pauseAfterRead(now time.Time, f *feedState) time.Duration {
	if now.Sub(g.started) < settlePeriod {
		return f.startupDelay
	}
	return f.batchDelay
}

// readStore reads a feed from the store and reports whether it answered.
func (g *Gateway) readStore(f *feedState) bool {
	ctx := g.reachability.watchContext()
	began := time.Now()
	err := g.step(ctx, f)
	switch {
	case err == nil:
		if f.failed {
			g.log.Info("store regained", zap.String("Feed", f.name))
		}
		f.failed = false
		f.outage = false
		return true
	case errors.Is(err, keyvalue.ErrHistoryGone):
		f.unsynced = true
		return false
	}
	g.recordFailedRead(ctx, f, began, err)
	return false
}

// recordFailedRead records that the store did not answer a read of a feed that began at a time, or refused it.
//
// If the store has answered another call since then, only this read is lost, for example with its connection: the feed is read
// again soon, and what it says of deleted keys is not put down to an outage. The same holds for one refusal over a rate limit.
func (g *Gateway) recordFailedRead(ctx context.Context, f *feedState, began time.Time, err error) {
	if f.outage {
		return
	}
	now := time.Now()
	revision, _ := f.relay.revision()
	fields := []zap.Field{
		zap.String("Feed", f.name), zap.Uint64("Revision", revision), zap.Duration("FeedAge", f.relay.age(now, g.store.answeredAt())),
		zap.Duration("Silence", g.store.silence(now)), logfile.Error(err),
	}
	answers := g.store.answeredAt().After(began) || !f.failed && errors.Is(err, keyvalue.ErrLimited)
	if ctx.Err() == nil && answers {
		if !f.failed {
			g.log.Warn("feed read lost", fields...)
			g.metrics.feedReadsLost.Add(1, attribute.String("feed", f.name))
		}
		f.failed = true
		return
	}
	g.log.Warn("store lost", fields...)
	f.failed = true
	f.outage = true
	if ctx.Err() == nil {
		g.reachability.markUnreachable()
	}
}

// waitForRetry blocks a feed whose last step failed until its next attempt.
//
// A feed that does not probe waits for the store's next answer to any call,
// unless the store has answered since the failure.
func (g *Gateway) waitForRetry(f *feedState, delay time.Duration) {
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

// step reads all keys of a feed that is not synced, or waits for the next changes.
func (g *Gateway) step(ctx context.Context, f *feedState) error {
	u, err := g.readUpdate(ctx, f)
	if err != nil {
		return err
	}
	now := time.Now()
	if !f.relay.apply(u, now) {
		revision, _ := f.relay.revision()
		return errors.Newf("store answered at revision %d, which is older than the known revision %d", u.Revision, revision)
	}
	f.unsynced = false
	if f.outage {
		f.notifyRecovery(now)
	}
	f.deliver(now, u)
	return nil
}

// readUpdate asks the store for what this router is missing.
func (g *Gateway) readUpdate(ctx context.Context, f *feedState) (feed.Update, error) {
	revision, synced := f.relay.revision()
	if f.unsynced || !synced {
		var onPage func([]keyvalue.Entry)
		if f.onPage != nil && !synced {
			onPage = func(entries []keyvalue.Entry) { f.onPage(time.Now(), entries) }
		}
		entries, at, err := g.store.Range(ctx, f.prefix, onPage)
		u := feed.Update{Snapshot: true, Revision: at}
		for _, e := range entries {
			u.Changes = append(u.Changes, keyvalue.Change{Entry: e})
		}
		return u, err
	}
	now := time.Now()
	wait := g.watchWait(now, f)
	f.relay.expectAnswer(now.Add(wait))
	changes, err := g.store.Changes(ctx, f.prefix, revision, wait)
	return feed.Update{Changes: changes.Changes, Revision: changes.Revision}, err
}

// watchWait returns the longest wait of a feed's next watch.
func (g *Gateway) watchWait(now time.Time, f *feedState) time.Duration {
	switch {
	case f.failed:
		return probeWait // A quick answer shows early that the store is reachable again.
	case now.Sub(g.started) < settlePeriod:
		return settlePeriod // Afterwards the readers are known.
	case f.wait > 0:
		return f.wait
	case g.isFollowed():
		return followedWatchWait
	}
	return watchWait
}

// endpointsAge returns the time since the store is known to have had no further changes of the endpoints' entries, in
// milliseconds, or zero before the first read.
func (g *Gateway) endpointsAge() int64 {
	f, ok := g.feeds[endpointsFeed]
	if !ok {
		return 0
	}
	if _, synced := f.relay.revision(); !synced {
		return 0
	}
	return f.relay.age(time.Now(), g.store.answeredAt()).Milliseconds()
}

func (g *Gateway) applyConfigurationSnapshot(now time.Time, entries []keyvalue.Entry) {
	for _, e := range entries {
		if e.Key == g.dialect.ConfigurationKey() {
			g.applyConfiguration(now, e.Value, "store")
		}
	}
}

func (g *Gateway) applyConfigurationChanges(now time.Time, changes []keyvalue.Change) {
	for _, c := range changes {
		if c.Key == g.dialect.ConfigurationKey() && !c.Deleted {
			g.applyConfiguration(now, c.Value, "store")
		}
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
