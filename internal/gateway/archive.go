package gateway

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/decision"
	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/internal/origin"
	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
)

// originArchive finds origins in the rows of all routers in the store. It implements origin.Archive.
//
// Callers that ask at the same time share one read, which begins after they have asked. Before that, they use what earlier
// reads have found of streams that had begun, or of routers that had ended: that does not change any more.
type originArchive struct {
	g *Gateway

	mu        sync.Mutex
	schedule  origin.ReadSchedule // Guarded by mu.
	next      *originRead         // The read that has not begun yet; nil if there is none; guarded by mu.
	current   *originRead         // The read that is under way; nil if there is none; guarded by mu.
	reading   bool                // A read is scheduled or under way; guarded by mu.
	last      *originRead         // The last read that succeeded; nil if there is none; guarded by mu.
	malformed map[string]uint64   // Versions of the rows that could not be decoded in the last read, by key; guarded by mu.
}

// originRead is one read of all rows. Its fields except done are set when done is closed.
type originRead struct {
	began time.Time
	runs  map[string]uint64 // The latest incarnation of the router on each VM that was known when the read began.
	index *origin.Index
	err   error
	done  chan struct{}
}

// Find returns where a stream began according to the rows in the store, and whether that is known.
func (a *originArchive) Find(ctx context.Context, now time.Time, stream string) (origin.Origin, bool, error) {
	read := &originRead{}
	var found origin.Found
	for !found.Final && read.began.Before(now) {
		next, err := a.readAfter(ctx, now, read)
		if err != nil {
			read = &originRead{err: err}
			found = origin.Found{}
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
	return origin.ReadInterval(a.g.knownRouters(now), float64(a.g.cfg.Settings.Store.ReadsPerSecond))
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
	read.runs = a.g.latestRuns()
	return read
}

// perform reads all rows.
func (a *originArchive) perform(read *originRead) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	entries, _, err := a.g.store.Range(ctx, originPrefix, nil)
	a.mu.Lock()
	defer a.mu.Unlock()
	defer close(read.done)
	a.current = nil
	a.schedule.Ended(time.Now(), err == nil)
	if err != nil {
		read.err = errors.Wrap(err, "reading the rows of origins")
		return
	}
	read.index = a.decode(entries, read.runs)
	a.last = read
}

// decode returns an index of the rows. Entries that are not rows are skipped and logged once; mu must be held.
func (a *originArchive) decode(entries []keyvalue.Entry, runs map[string]uint64) *origin.Index {
	index := &origin.Index{}
	malformed := map[string]uint64{}
	for _, e := range entries {
		row, err := origin.DecodeRow(e.Value)
		if err != nil {
			malformed[e.Key] = e.Version
			if a.malformed[e.Key] != e.Version {
				a.g.log.Warn("origins not read", zap.String("Key", e.Key), zap.Int("Bytes", len(e.Value)), logfile.Error(err))
			}
			continue
		}
		index.Add(row, hasEnded(strings.TrimPrefix(e.Key, originPrefix), runs))
	}
	a.malformed = malformed
	return index
}

// latestRuns returns the latest incarnation of the router on each VM.
func (g *Gateway) latestRuns() map[string]uint64 {
	runs := map[string]uint64{}
	for _, m := range g.members.All() {
		runs[m.VM] = m.Incarnation
	}
	return runs
}

// hasEnded reports whether the run of a router has ended, since a later one is known on its VM.
func hasEnded(run string, latest map[string]uint64) bool {
	vm := fleet.VMOf(run)
	incarnation, err := strconv.ParseUint(strings.TrimPrefix(run, vm+"."), 36, 64)
	return err == nil && incarnation < latest[vm]
}
