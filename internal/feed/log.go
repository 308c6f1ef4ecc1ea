package feed

import (
	"maps"
	"slices"
	"time"

	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
)

// Update is what a follower has not seen yet.
type Update struct {
	Snapshot bool // Changes holds all keys that exist; other keys are gone.
	Changes  []keyvalue.Change
	Revision uint64 // Revision to continue from.
}

// Log holds the current entries of a set of keys and the latest changes to them; the zero value has seen nothing.
//
// A Log is not safe for concurrent use.
type Log struct {
	revision uint64
	floor    uint64 // The changes after this revision are complete.
	entries  map[string]keyvalue.Change
	changes  []keyvalue.Change // In the order of their arrival.

	vouchedAt   time.Time // Up to this time the store is known to have had no further changes.
	due         time.Time // By then the store is to answer the pending watch; zero if none is pending.
	recoveredAt time.Time // End of the last outage of the store.
}

// maxChanges is the number of changes that a Log keeps for followers.
const maxChanges = 1024

// Apply adds an update, which the store vouched for at vouchedAt. It reports whether the log has used it.
//
// An update that is older than the log, or holds only changes while the log is empty, is rejected.
func (l *Log) Apply(u Update, vouchedAt time.Time) bool {
	if u.Revision < l.revision || !u.Snapshot && l.entries == nil {
		return false
	}
	if u.Snapshot {
		l.entries = map[string]keyvalue.Change{}
		l.changes = nil
		l.floor = u.Revision
	}
	for _, c := range u.Changes {
		l.add(c, !u.Snapshot)
	}
	l.trim()
	l.revision = u.Revision
	l.vouchedAt = vouchedAt
	l.due = time.Time{}
	return true
}

func (l *Log) add(c keyvalue.Change, record bool) {
	if known, ok := l.entries[c.Key]; ok && known.Version >= c.Version {
		return
	}
	if record {
		l.changes = append(l.changes, c)
	}
	if c.Deleted {
		delete(l.entries, c.Key)
		return
	}
	l.entries[c.Key] = c
}

// trim drops the older half of the changes if there are too many.
func (l *Log) trim() {
	if len(l.changes) <= maxChanges {
		return
	}
	dropped := len(l.changes) - maxChanges/2
	for _, c := range l.changes[:dropped] {
		l.floor = max(l.floor, c.Version)
	}
	l.changes = slices.Clone(l.changes[dropped:])
}

// Since returns what a follower that has seen everything up to a revision is missing; ok is false if the log is empty.
func (l *Log) Since(after uint64) (u Update, ok bool) {
	if l.entries == nil {
		return Update{}, false
	}
	u.Revision = max(after, l.revision)
	if after < l.floor {
		u.Snapshot = true
		u.Revision = l.revision
		for _, key := range slices.Sorted(maps.Keys(l.entries)) {
			u.Changes = append(u.Changes, l.entries[key])
		}
		return u, true
	}
	for _, c := range l.changes {
		if c.Version > after {
			u.Changes = append(u.Changes, c)
		}
	}
	return u, true
}

// Revision returns the revision to continue from.
func (l *Log) Revision() uint64 { return l.revision }

// Synced reports whether the log has seen a snapshot.
func (l *Log) Synced() bool { return l.entries != nil }

// Expect records that a watch of the store has begun, which the store is to answer by the time due.
func (l *Log) Expect(due time.Time) { l.due = due }

// Vouch records that the store answered another call of the reader at vouchedAt.
//
// While a watch waits, this shows that the store would have told changes. Once the watch is overdue it does not, since its
// answer may be lost.
func (l *Log) Vouch(vouchedAt time.Time) {
	if vouchedAt.After(l.due) {
		vouchedAt = l.due
	}
	if vouchedAt.After(l.vouchedAt) {
		l.vouchedAt = vouchedAt
	}
}

// Age returns the time since the store is known to have had no further changes.
func (l *Log) Age(now time.Time) time.Duration { return now.Sub(l.vouchedAt) }

// Poll returns how long a follower may wait for changes, and whether the log is recent enough to be passed on.
func (l *Log) Poll(now time.Time) (wait time.Duration, ok bool) {
	wait = min(PollWait, MaxAge-l.Age(now))
	if !l.due.IsZero() {
		wait = min(wait, l.due.Add(MaxOverdue).Sub(now))
	}
	return wait, wait >= 0
}

// Recovered records the end of an outage of the store and reports whether it was not known yet.
//
// Routers measure the end of the same outage slightly differently.
func (l *Log) Recovered(at time.Time) bool {
	const sameOutage = time.Second
	if at.Sub(l.recoveredAt) < sameOutage {
		return false
	}
	l.recoveredAt = at
	return true
}

// RecoveredAt returns the end of the last outage of the store, or zero if there was none.
func (l *Log) RecoveredAt() time.Time { return l.recoveredAt }
