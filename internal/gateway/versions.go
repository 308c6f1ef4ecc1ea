package gateway

import (
	"context"
	"encoding/json"
	"strings"
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

// versionsPrefix is the prefix of the keys of the records of software versions, one for each service.
const versionsPrefix = "versions/"

// versionsFeed is the name of the feed of these keys.
const versionsFeed = "versions"

// versions keeps this router's copy of the records of software versions up to date, and writes what the copy says is due.
//
// It implements peer.Versions.
type versions struct {
	g       *Gateway
	history origin.History
	writing atomic.Bool // Writes are under way.

	mu    sync.Mutex
	reads map[string]*recordReads // By service; guarded by mu.
}

// Times of the records.
const (
	recordDelay = 300 * time.Millisecond // Before a router that is not the home of a service records a version, at least; twice that at most.

	recordReadTimeout   = 300 * time.Millisecond // Short, because a request waits for the record.
	fleetReadsPerSecond = 500                    // Reads of one record by all routers together.
	maxReadPause        = 200 * time.Millisecond // Between two reads of one record by one router, in the largest fleet.

	missingRecordReads = 5                     // Reads of a record that does not exist.
	missingRecordPause = 40 * time.Millisecond // After each of them.
)

var (
	errRecordNotRead = errors.New("the record of versions was not read in time")
	errNoRecord      = errors.New("there is no record of versions")
)

func (v *versions) applySnapshot(now time.Time, entries []keyvalue.Entry) {
	var services []string
	for _, e := range entries {
		v.adopt(now, e)
		services = append(services, strings.TrimPrefix(e.Key, versionsPrefix))
	}
	v.history.Synced(now, services)
	v.g.entries.updatePool(now)
}

func (v *versions) applyChanges(now time.Time, changes []keyvalue.Change) {
	for _, c := range changes {
		if c.Deleted {
			c.Value = nil
			c.Version = 0
		}
		v.adopt(now, c.Entry)
	}
	v.g.entries.updatePool(now)
}

// adopt takes over a record as it is in the store; an entry without a version does not exist there.
func (v *versions) adopt(now time.Time, e keyvalue.Entry) {
	service := strings.TrimPrefix(e.Key, versionsPrefix)
	var r origin.Record
	if e.Version != 0 {
		var err error
		if r, err = origin.ParseRecord(e.Value); err != nil {
			// A record that cannot be read admits no version, so that it is written again.
			v.g.log.Warn("record of versions not read", zap.String("Service", service), logfile.Error(err))
		}
	}
	if v.history.Adopt(now, service, e.Version, r) {
		v.g.log.Info("record of versions", zap.String("Service", service), zap.Uint64("Revision", e.Version), zap.Any("Versions", r.Versions))
	}
}

// tick writes the records that are due to be written.
func (v *versions) tick(now time.Time) {
	if !v.writing.CompareAndSwap(false, true) {
		return
	}
	due := v.history.Due(now, func(service string) bool { return v.isHome(now, service) })
	if len(due) == 0 {
		v.writing.Store(false)
		return
	}
	v.g.background(func() {
		for _, w := range due {
			v.write(w)
		}
		v.writing.Store(false)
		v.g.entries.updatePool(time.Now())
	})
}

// isHome reports whether this router is the home of the record of a service. There is none until the routers have discovered
// each other, because before that each would consider itself the home.
func (v *versions) isHome(now time.Time, service string) bool {
	if now.Sub(v.g.started) < settlePeriod || !v.g.members.stable(now) {
		return false
	}
	homes := v.g.members.Homes("Versions/"+service, 1)
	return len(homes) == 1 && homes[0] == v.g.members.Self().Name()
}

func (v *versions) write(w origin.Write) {
	value, err := json.Marshal(w.Record)
	if err != nil {
		v.g.log.Error("record of versions not written", zap.String("Service", w.Service), logfile.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	key := versionsPrefix + w.Service
	written, err := v.g.store.Put(ctx, keyvalue.Put{Key: key, Value: value, IfVersion: w.IfRevision})
	now := time.Now()
	switch {
	case err != nil:
		v.g.log.Warn("record of versions not written", zap.String("Service", w.Service), logfile.Error(err))
	case written.Outcome == budget.TookEffect:
		v.adopt(now, keyvalue.Entry{Key: key, Value: value, Version: written.Version})
	case written.Current != nil:
		v.adopt(now, *written.Current)
	case w.IfRevision != 0:
		v.adopt(now, keyvalue.Entry{Key: key}) // The store no longer has the record.
	}
}

// MustTell reports whether the homes of a service's streams have to be told where these begin.
func (v *versions) MustTell(now time.Time, service string) bool {
	return v.history.MustTell(v.age(now), service)
}

// several reports whether several versions serve a service or did lately, as far as this router knows.
func (v *versions) several(service string) bool {
	return len(v.history.View(service).Versions) > 1 || v.g.endpoints.HasSeveralVersions(service)
}

// View returns what this router knows of the versions of a service.
func (v *versions) View(now time.Time, service string) origin.View {
	view := v.history.View(service)
	view.Age = v.age(now)
	return view
}

// age returns the time since the store is known to have had no later records.
func (v *versions) age(now time.Time) time.Duration {
	return v.g.feeds[versionsFeed].relay.age(now, v.g.store.answeredAt())
}

// Read reads the record of a service from the store and returns what this router knows then.
//
// Callers that ask at the same time share one read, which begins after all of them have asked.
func (v *versions) Read(service string) (origin.View, error) {
	if v.g.reachability.nextAnswer() != nil {
		return origin.View{}, keyvalue.ErrUnavailable
	}
	read := v.nextRead(service)
	timer := time.NewTimer(recordReadTimeout)
	defer timer.Stop()
	select {
	case <-read.done:
	case <-timer.C:
		return origin.View{}, errRecordNotRead
	}
	view := v.history.View(service)
	return view, read.err
}

// recordReads are the reads of one record, of which one after the other is under way.
type recordReads struct {
	next *recordRead // Has not begun yet; nil if nobody waits for it.
	busy bool        // A goroutine carries the reads out.
}

// recordRead is one read of a record for all callers that asked before it began.
type recordRead struct {
	done chan struct{} // Closed when err is set.
	err  error
}

// nextRead returns the next read of a record, which has not begun yet.
func (v *versions) nextRead(service string) *recordRead {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.reads == nil {
		v.reads = map[string]*recordReads{}
	}
	reads := v.reads[service]
	if reads == nil {
		reads = &recordReads{}
		v.reads[service] = reads
	}
	if reads.next == nil {
		reads.next = &recordRead{done: make(chan struct{})}
	}
	if !reads.busy {
		reads.busy = true
		go v.carryOut(service, reads)
	}
	return reads.next
}

// carryOut reads a record as long as somebody waits for it, with pauses.
func (v *versions) carryOut(service string, reads *recordReads) {
	for {
		v.mu.Lock()
		read := reads.next
		reads.next = nil
		reads.busy = read != nil
		v.mu.Unlock()
		if read == nil {
			return
		}
		read.err = v.readRecord(service)
		close(read.done)
		time.Sleep(v.readPause())
	}
}

// readRecord reads a record. If there is none, no stream has begun at any version, and those in view are recorded first, unless
// that is under way.
func (v *versions) readRecord(service string) error {
	for range missingRecordReads {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		e, err := v.g.store.Get(ctx, versionsPrefix+service)
		cancel()
		if err != nil {
			return err
		}
		v.adopt(time.Now(), e)
		if e.Version != 0 {
			return nil
		}
		for _, w := range v.history.Due(time.Now(), func(name string) bool { return name == service }) {
			v.write(w)
		}
		if v.history.View(service).Recorded {
			return nil
		}
		time.Sleep(missingRecordPause)
	}
	return errNoRecord
}

// readPause returns the time between two reads of one record, which grows with the fleet.
func (v *versions) readPause() time.Duration {
	routers := time.Duration(len(v.g.members.Peers()) + 1)
	return min(maxReadPause, routers*time.Second/fleetReadsPerSecond)
}
