package origin

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Archive knows where streams began also when no router does, because all of them have lost power.
type Archive interface {
	// Find returns where a stream began and whether that is known. An error means that nothing is proven.
	Find(ctx context.Context, now time.Time, stream string) (o Origin, known bool, err error)
}

// Writer writes the row of this router to the archive.
type Writer interface {
	// Changed tells that the row has changed, so that it is written as soon as its rate allows.
	Changed()
	// Flush waits, for a short time, until a row is written that holds what is known at the call.
	Flush(now time.Time, stream string)
}

// StreamHash names a stream in a Row: the first 8 bytes of the SHA-256 hash of its ID.
//
// Callers choose the IDs, so the hash must not let them find two with the same name at will.
type StreamHash uint64

// HashOf returns the hash of a stream ID.
func HashOf(stream string) StreamHash {
	sum := sha256.Sum256([]byte(stream))
	return StreamHash(binary.BigEndian.Uint64(sum[:]))
}

// Timing of a router's row in the store.
const (
	servedRetention    = 15 * time.Second       // For which a row still holds a stream that has ended; above the pause of a caller that takes it up.
	wholeRetention     = 2 * time.Second        // The same for one that was passed on whole: its last events may not have reached the caller.
	severalRetention   = time.Minute            // For which rows are written after the last endpoint of a second version was known.
	minWriteInterval   = 75 * time.Millisecond  // Shortest time between two writes of a row.
	quickWriteInterval = 100 * time.Millisecond // Within it, most streams are written before their first event.
	urgentInterval     = 50 * time.Millisecond  // The same while a stream waits for the write.
	settlingInterval   = 500 * time.Millisecond // Time between two writes while the number of routers is not known.
	settlingReadPause  = 200 * time.Millisecond // The same between two reads; shorter than a caller's request waits for one.
	refreshPeriod      = 5 * time.Second        // After which a row is written again unchanged, in case the store came back from an older copy.
	writeRetryDelay    = time.Second            // After a write that failed.
	minReadInterval    = 100 * time.Millisecond // Shortest time between two reads of all rows.
	readRetryDelay     = 500 * time.Millisecond // After a read that failed, in which none is begun.
	quickShareDivisor  = 5                      // All routers together use this fraction of the writes that the store takes, if that is quick enough.
	storeShareDivisor  = 10                     // Otherwise, and of the reads.
	maxStreamsInRow    = 1 << 16                // Half a megabyte; the store's limit of a value is one.
	maxRetainedStreams = maxKnown               // Streams that have ended and are still held.
)

// WriteInterval returns the least time between two writes of a router's row, so that the rows of all routers together use
// a small part of the writes that the store takes in a second. Zero routers means that their number is not known.
//
// Small fleets use a larger part, because their streams then stand in a row when their first event comes. Large ones cannot
// reach that.
func WriteInterval(routers int, writesPerSecond float64) time.Duration {
	if routers == 0 {
		return settlingInterval
	}
	quick := max(minWriteInterval, fleetInterval(routers, quickShareDivisor, writesPerSecond))
	if quick <= quickWriteInterval {
		return quick
	}
	return fleetInterval(routers, storeShareDivisor, writesPerSecond)
}

// ReadInterval returns the least time between two reads of all rows by one router, likewise.
func ReadInterval(routers int, readsPerSecond float64) time.Duration {
	if routers == 0 {
		return settlingReadPause
	}
	return max(minReadInterval, fleetInterval(routers, storeShareDivisor, readsPerSecond))
}

// fleetInterval returns the time between two calls of a router with which all routers together make a fraction of the calls
// that the store takes in a second.
func fleetInterval(routers, divisor int, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(routers*divisor) / perSecond * float64(time.Second))
}

// WriteSchedule decides when a router writes its row. The zero value has written none.
type WriteSchedule struct {
	changes   uint64    // Changes of the registry that the row in the store holds.
	writtenAt time.Time // When the row was last written.
	triedAt   time.Time // When a write was last begun.
	failed    bool      // The last write failed.

	several map[string]time.Time // When several versions of a service were last known.
}

// Next returns when the row is to be written, given the number of changes of the registry. Urgent tells that a stream waits
// for the write.
func (s *WriteSchedule) Next(changes uint64, interval time.Duration, urgent bool) time.Time {
	soonest := s.triedAt.Add(interval)
	switch {
	case s.failed:
		return s.triedAt.Add(max(interval, writeRetryDelay))
	case urgent:
		return s.triedAt.Add(urgentInterval)
	case changes != s.changes:
		return soonest
	}
	if refresh := s.writtenAt.Add(refreshPeriod); refresh.After(soonest) {
		return refresh
	}
	return soonest
}

// Written records the result of a write that was begun at the time now, and reports whether writes began to fail or to
// succeed again.
func (s *WriteSchedule) Written(now time.Time, changes uint64, ok bool) (changed bool) {
	changed = ok == s.failed
	s.failed = !ok
	s.triedAt = now
	if ok {
		s.changes = changes
		s.writtenAt = now
	}
	return changed
}

// Needed reports whether the streams of a service are to be written: several versions of it are known, or were lately.
func (s *WriteSchedule) Needed(now time.Time, service string, several bool) bool {
	if several {
		if s.several == nil {
			s.several = map[string]time.Time{}
		}
		s.several[service] = now
		return true
	}
	last, ok := s.several[service]
	return ok && now.Sub(last) < severalRetention
}

// NeededLately reports whether the streams of any service were to be written lately, so that those which begin now are, too.
func (s *WriteSchedule) NeededLately(now time.Time) bool {
	for _, last := range s.several {
		if now.Sub(last) < severalRetention {
			return true
		}
	}
	return false
}

// ReadSchedule decides when a router may read the rows of all routers. The zero value has read none.
type ReadSchedule struct {
	began  time.Time
	failed time.Time // When a read last failed; zero if the last one did not.
}

// Next returns the earliest time of the next read.
func (s *ReadSchedule) Next(interval time.Duration) time.Time {
	if s.began.IsZero() {
		return s.began
	}
	return s.began.Add(interval)
}

// Refused reports whether no read is worth its wait because one failed a moment ago.
func (s *ReadSchedule) Refused(now time.Time) bool {
	return !s.failed.IsZero() && now.Sub(s.failed) < readRetryDelay
}

// Began records that a read began.
func (s *ReadSchedule) Began(now time.Time) { s.began = now }

// Ended records that a read ended.
func (s *ReadSchedule) Ended(now time.Time, ok bool) {
	s.failed = now
	if ok {
		s.failed = time.Time{}
	}
}
