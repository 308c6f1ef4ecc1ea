package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/internal/origin"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
)

// originPrefix is the prefix of the keys in the store that hold the routers' rows of origins.
const originPrefix = "origins/"

// Timing of the row of a router. Rows of runs that ended vanish with their leases, long after callers have given up.
const (
	originLeaseTTL   = 2 * time.Minute
	originRenewAfter = originLeaseTTL / 3

	originIdlePeriod = 500 * time.Millisecond // Within it, a second version is found to need the row; rows are not needed before.
	originFlushTime  = 200 * time.Millisecond // Longest wait of the first event of a stream for the row that corrects its version.
)

// originRow writes this router's row of origins to the store. It implements origin.Writer.
type originRow struct {
	g        *Gateway
	schedule origin.WriteSchedule // Accessed only in step, which one goroutine calls; as are the fields below.
	key      string               // Holds the incarnation, so that a restart does not replace the row of the run before.
	version  uint64               // Version of the key as far as known; zero if it does not exist.
	lease    uint64               // Zero if there is none.
	leasedAt time.Time            // When the lease was granted or last renewed.

	wake    chan struct{}
	needed  atomic.Bool  // Rows are needed.
	failing atomic.Bool  // The last write failed.
	streams atomic.Int64 // In the last row that was written.

	mu      sync.Mutex
	waiting []chan struct{} // Closed after the next write; guarded by mu.
}

func (r *originRow) setup(g *Gateway, self string) {
	r.g = g
	r.key = originPrefix + self
	r.wake = make(chan struct{}, 1)
}

// Changed makes the row be written as soon as its rate allows.
func (r *originRow) Changed() {
	if !r.needed.Load() {
		return
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Flush waits until a row is written that is made after the call. It does not wait if writes fail.
func (r *originRow) Flush(now time.Time, stream string) {
	if !r.needed.Load() || r.failing.Load() {
		return
	}
	written := make(chan struct{})
	r.mu.Lock()
	r.waiting = append(r.waiting, written)
	r.mu.Unlock()
	r.Changed()
	timer := time.NewTimer(originFlushTime)
	defer timer.Stop()
	select {
	case <-written:
	case <-timer.C:
		r.g.log.Warn("origin not written in time", zap.String("Stream", stream), zap.Duration("Took", time.Since(now)))
	}
}

// takeWaiting returns the waits that the next write ends.
func (r *originRow) takeWaiting() []chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	waiting := r.waiting
	r.waiting = nil
	return waiting
}

// urgent reports whether a stream waits for the row.
func (r *originRow) urgent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.waiting) > 0
}

// run writes the row when that is due, until the gateway stops.
func (r *originRow) run() {
	timer := time.NewTimer(originIdlePeriod)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-r.wake:
		case <-r.g.stop:
			return
		}
		next := r.step(time.Now())
		timer.Reset(time.Until(next))
	}
}

// step writes the row if that is due, and returns when it is to be called again.
func (r *originRow) step(now time.Time) time.Time {
	interval := origin.WriteInterval(r.g.knownRouters(now), float64(r.g.cfg.Settings.Store.WritesPerSecond))
	registry := r.g.origins.Registry
	changes := registry.Changes()
	if next := r.schedule.Next(changes, interval, r.urgent()); next.After(now) {
		return next
	}
	waiting := r.takeWaiting()
	row := registry.Row(now, func(service string) bool {
		return r.schedule.Needed(now, service, r.g.versions.several(service))
	})
	needed := r.schedule.NeededLately(now)
	r.needed.Store(needed)
	if row.Len() == 0 && (!needed || r.streams.Load() == 0) {
		closeAll(waiting)
		return now.Add(originIdlePeriod)
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	err := r.write(ctx, now, row.Encode())
	if r.schedule.Written(now, changes, err == nil) {
		r.logChange(row, err)
	}
	r.failing.Store(err != nil)
	if err == nil {
		r.streams.Store(int64(row.Len()))
		closeAll(waiting)
	}
	return r.schedule.Next(registry.Changes(), interval, r.urgent())
}

func closeAll(waiting []chan struct{}) {
	for _, w := range waiting {
		close(w)
	}
}

// logChange logs that writes began to fail, or to succeed again.
func (r *originRow) logChange(row origin.Row, err error) {
	if err != nil {
		r.g.log.Warn("origins not written", zap.String("Key", r.key), zap.Int("Streams", row.Len()), zap.Uint64("Lease", r.lease), logfile.Error(err))
		return
	}
	r.g.log.Info("origins written again", zap.String("Key", r.key), zap.Int("Streams", row.Len()))
}

// knownRouters returns the number of routers that serve, or zero while this one may not know them all.
func (g *Gateway) knownRouters(now time.Time) int {
	if now.Sub(g.started) < settlePeriod {
		return 0
	}
	return len(g.members.Peers()) + 1
}

// maxRowWrites bounds the calls for one write of a row whose lease or version in the store is not the expected one.
const maxRowWrites = 5

// write replaces the row in the store. A write whose outcome is not known does no harm if it takes effect later, since its
// condition holds only until the next one.
func (r *originRow) write(ctx context.Context, now time.Time, value []byte) error {
	if err := r.renew(ctx, now); err != nil {
		return err
	}
	for range maxRowWrites {
		if r.lease == 0 {
			if err := r.grant(ctx, now); err != nil {
				return err
			}
		}
		written, err := r.g.store.Put(ctx, keyvalue.Put{Key: r.key, Value: value, IfVersion: r.version, Lease: r.lease})
		switch {
		case errors.Is(err, keyvalue.ErrLeaseEnded):
			r.lease = 0
			continue
		case err != nil:
			return err
		case written.Outcome == budget.TookEffect:
			r.version = written.Version
			return nil
		}
		// The row vanished with its lease or a return of the store, or an earlier write took effect without an answer.
		r.version = 0
		if written.Current != nil {
			r.version = written.Current.Version
		}
	}
	return errors.Newf("key %s does not have the expected version", r.key)
}

// renew extends the lease in time. A lease that has ended is forgotten.
func (r *originRow) renew(ctx context.Context, now time.Time) error {
	age := now.Sub(r.leasedAt)
	switch {
	case r.lease == 0 || age < originRenewAfter:
		return nil
	case age >= originLeaseTTL:
		r.lease = 0
		return nil
	}
	err := r.g.store.Renew(ctx, r.lease)
	switch {
	case errors.Is(err, keyvalue.ErrLeaseEnded):
		r.lease = 0
	case err != nil:
		return err
	default:
		r.leasedAt = now
	}
	return nil
}

func (r *originRow) grant(ctx context.Context, now time.Time) error {
	lease, err := r.g.store.Grant(ctx, originLeaseTTL)
	if err != nil {
		return err
	}
	r.lease = lease
	r.leasedAt = now
	return nil
}
