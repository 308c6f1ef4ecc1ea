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

// feed is a part of the store that the gateway follows.
type feed struct {
	name   string
	prefix string
	reset  func(now time.Time, entries []keyvalue.Entry) // All that is there.
	change func(now time.Time, c keyvalue.Change)

	probes   bool                // It asks for the store while that is lost.
	settle   time.Duration       // Pause after changes, in which further ones gather.
	regained func(now time.Time) // Called before what the store says after it was away; nil when nothing depends on that.
}

// Pauses between attempts to reach the store.
const (
	feedPause    = 100 * time.Millisecond
	feedPauseMax = 600 * time.Millisecond

	feedPauseIdle = 3 * time.Second // Of a feed that another one asks for.
)

// follow keeps a feed up to date until the gateway stops.
//
// While the store cannot be reached, the last state stands. A lost history is
// read anew as a whole.
func (g *Gateway) follow(f feed) {
	var revision uint64
	known := false
	pause := feedPause
	lost := false
	for !g.stopped() {
		ctx := g.reach.context()
		next, err := g.step(ctx, f, revision, known, lost)
		switch {
		case err == nil:
			if lost {
				g.guarded.Recovered()
				g.log.Info("store regained", zap.String("Feed", f.name), zap.Uint64("Revision", next))
			}
			lost = false
			revision = next
			known = true
			pause = feedPause
			decision.Pause(f.settle, g.stop)
			continue
		case errors.Is(err, keyvalue.ErrHistoryGone):
			known = false
			continue
		case !lost:
			g.log.Warn("store lost", zap.String("Feed", f.name), zap.Uint64("Revision", revision), logfile.Problem(err))
			lost = true
			if ctx.Err() == nil {
				g.reach.lose()
			}
		}
		g.awaitStore(f, pause)
		pause = min(2*pause, feedPauseMax)
	}
}

// awaitStore pauses a feed that lost the store until it is to ask again.
//
// One that does not probe waits for the store's next answer, unless there was
// one since it failed.
func (g *Gateway) awaitStore(f feed, pause time.Duration) {
	back := g.reach.returned()
	if f.probes {
		back = nil // An answer to another call may be older than this feed's failure.
	} else if back != nil {
		pause = feedPauseIdle
	}
	timer := time.NewTimer(pause/2 + rand.N(pause/2))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-back:
	case <-g.stop:
	}
}

// step reads a feed as a whole, or waits for its next changes.
func (g *Gateway) step(ctx context.Context, f feed, revision uint64, known, lost bool) (uint64, error) {
	if !known {
		entries, at, err := g.store.Range(ctx, f.prefix)
		if err != nil {
			return revision, err
		}
		if at < revision {
			return revision, errors.Newf("revision %d is older than %d", at, revision)
		}
		now := time.Now()
		f.noteRegained(now, lost)
		f.reset(now, entries)
		return at, nil
	}
	wait := watchWait
	if lost {
		wait = probeWait // The first answer tells when the store is back.
	}
	changes, err := g.store.Changes(ctx, f.prefix, revision, wait)
	if err != nil {
		return revision, err
	}
	now := time.Now()
	f.noteRegained(now, lost)
	for _, c := range changes.Changes {
		f.change(now, c)
	}
	return changes.Revision, nil
}

func (f feed) noteRegained(now time.Time, lost bool) {
	if lost && f.regained != nil {
		f.regained(now)
	}
}

func (g *Gateway) configurationRead(now time.Time, entries []keyvalue.Entry) {
	for _, e := range entries {
		if e.Key == g.dialect.ConfigurationKey() {
			g.configure(now, e.Value, "store")
		}
	}
}

func (g *Gateway) configurationChanged(now time.Time, c keyvalue.Change) {
	if c.Key == g.dialect.ConfigurationKey() && !c.Deleted {
		g.configure(now, c.Value, "store")
	}
}

// configure puts a configuration in force unless a newer one is; one that cannot be read changes nothing.
func (g *Gateway) configure(now time.Time, value []byte, source string) {
	cfg, err := g.dialect.Configuration(value)
	if err != nil {
		g.log.Error("configuration not read", zap.String("Source", source), logfile.Problem(err))
		return
	}
	g.tableMu.Lock()
	defer g.tableMu.Unlock()
	if t := g.table.Load(); t != nil && t.Version >= cfg.Version {
		return
	}
	g.members.keepConfiguration(cfg.Version, value)
	g.prepay(now, cfg.Accounts)
	g.table.Store(route.NewTable(cfg))
	g.entries.configure(now)
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
