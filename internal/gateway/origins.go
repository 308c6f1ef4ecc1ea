package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/decision"
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
	interval := origin.WriteInterval(r.g.knownRouters(now), r.g.cfg.Settings.Store.WritesPerSecond)
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

// originArchive finds origins in the rows of all routers in the store. It implements origin.Archive.
//
// Callers that ask at the same time share one read, which begins after they have asked. Before that, they use what earlier
// reads have found: the rows of routers that lost power before such a read do not change any more.
type originArchive struct {
	g *Gateway

	mu       sync.Mutex
	schedule origin.ReadSchedule // Guarded by mu.
	next     *originRead         // The read that has not begun yet; nil if there is none; guarded by mu.
	current  *originRead         // The read that is under way; nil if there is none; guarded by mu.
	reading  bool                // A read is scheduled or under way; guarded by mu.
	last     *originRead         // The last read that succeeded; nil if there is none; guarded by mu.
	odd      map[string]uint64   // Versions of the rows that could not be decoded in the last read, by key; guarded by mu.
}

// originRead is one read of all rows. Its fields except done are set when done is closed.
type originRead struct {
	began time.Time
	index *origin.Index
	err   error
	done  chan struct{}
}

// Find returns where a stream began according to the rows in the store, and whether that is known.
func (a *originArchive) Find(ctx context.Context, now time.Time, stream string) (origin.Origin, bool, error) {
	read := &originRead{}
	var found origin.Found
	for !found.Known && !found.Conflict && read.began.Before(now) {
		next, err := a.readAfter(ctx, now, read)
		if err != nil {
			read = &originRead{err: err}
			break
		}
		read = next
		found = read.index.Find(stream)
	}
	a.logSearch(now, stream, read, found)
	return found.Origin, found.Known, read.err
}

// readAfter waits for a read that began after another one: the last, the one under way or the next.
func (a *originArchive) readAfter(ctx context.Context, now time.Time, before *originRead) (*originRead, error) {
	next, err := a.requestRead(ctx, now, before)
	if err != nil {
		return nil, err
	}
	select {
	case <-next.done:
		return next, next.err
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "waiting for the rows of origins")
	}
}

// logSearch logs the result of a search that began at the time now.
func (a *originArchive) logSearch(now time.Time, stream string, read *originRead, found origin.Found) {
	fields := []zap.Field{
		zap.String("Stream", stream), zap.Bool("Known", found.Known), zap.Bool("Conflict", found.Conflict),
		zap.String("Service", found.Origin.Service), zap.String("EndpointVersion", found.Origin.Version), logfile.Error(read.err),
	}
	if read.index != nil {
		fields = append(fields, zap.Int("Rows", read.index.Rows), zap.Int("Streams", read.index.Streams), zap.Int("Conflicts", read.index.Conflicts),
			zap.Duration("ReadAge", time.Since(read.began)))
	}
	if found.Known {
		fields = append(fields, zap.Duration("RowAge", now.Sub(found.WrittenAt)))
	}
	a.g.log.Info("origin sought in the store", append(fields, zap.Duration("Took", time.Since(now)))...)
}

// requestRead returns a read that began after another one, or begins next. It is an error if that would fail or come too late
// for ctx.
func (a *originArchive) requestRead(ctx context.Context, now time.Time, before *originRead) (*originRead, error) {
	interval := a.interval(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.last != nil && a.last.began.After(before.began):
		return a.last, nil // What it says of a stream still holds.
	case a.current != nil:
		return a.current, nil
	case a.schedule.Refused(now) || a.g.reachability.nextAnswer() != nil:
		return nil, errors.Wrap(keyvalue.ErrUnavailable, "reading the rows of origins")
	}
	if deadline, ok := ctx.Deadline(); ok && a.schedule.Next(interval).After(deadline) {
		return nil, errors.Wrap(keyvalue.ErrLimited, "reading the rows of origins")
	}
	if a.next == nil {
		a.next = &originRead{done: make(chan struct{})}
	}
	if !a.reading {
		a.reading = true
		go a.readRequested()
	}
	return a.next, nil
}

// interval returns the least time between two reads.
func (a *originArchive) interval(now time.Time) time.Duration {
	return origin.ReadInterval(a.g.knownRouters(now), a.g.cfg.Settings.Store.ReadsPerSecond)
}

// readRequested performs reads, at the permitted rate, until none is requested.
func (a *originArchive) readRequested() {
	for {
		now := time.Now()
		a.mu.Lock()
		wait := a.schedule.Next(a.interval(now)).Sub(now)
		a.mu.Unlock()
		decision.Pause(wait, a.g.stop)
		read := a.begin(time.Now())
		if read == nil {
			return
		}
		a.perform(read)
	}
}

// begin returns the requested read, which later callers do not share, or nil if there is none.
func (a *originArchive) begin(now time.Time) *originRead {
	a.mu.Lock()
	defer a.mu.Unlock()
	read := a.next
	a.next = nil
	if read == nil {
		a.reading = false
		return nil
	}
	a.schedule.Began(now)
	a.current = read
	read.began = now
	return read
}

// perform reads all rows.
func (a *originArchive) perform(read *originRead) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	entries, _, err := a.g.store.Range(ctx, originPrefix)
	a.mu.Lock()
	defer a.mu.Unlock()
	defer close(read.done)
	a.current = nil
	a.schedule.Ended(time.Now(), err == nil)
	if err != nil {
		read.err = errors.Wrap(err, "reading the rows of origins")
		return
	}
	read.index = a.decode(entries)
	a.last = read
}

// decode returns an index of the rows. Entries that are not rows are skipped and logged once; mu must be held.
func (a *originArchive) decode(entries []keyvalue.Entry) *origin.Index {
	index := &origin.Index{}
	odd := map[string]uint64{}
	for _, e := range entries {
		row, err := origin.DecodeRow(e.Value)
		if err != nil {
			odd[e.Key] = e.Version
			if a.odd[e.Key] != e.Version {
				a.g.log.Warn("origins not read", zap.String("Key", e.Key), zap.Int("Bytes", len(e.Value)), logfile.Error(err))
			}
			continue
		}
		index.Add(row)
	}
	a.odd = odd
	return index
}
