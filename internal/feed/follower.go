package feed

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Timing of followers. If its reader fails, a change reaches a follower at most about PollTimeout late.
const (
	MaxAge          = 1200 * time.Millisecond // Oldest answer of the store on which an update may rest.
	MaxOverdue      = 500 * time.Millisecond  // Longest time for which the watch of a reader may be overdue.
	PollWait        = time.Second             // Longest wait of a reader for changes.
	PollTimeout     = 1400 * time.Millisecond // Longest timeout of a call to a reader.
	VouchPeriod     = 500 * time.Millisecond  // Period at which a reader calls the store.
	ReaderPause     = 2 * time.Second         // Time for which a reader is not asked after a failure.
	ReadersPerGroup = 2                       // Readers in one data centre; the second continues when the first fails.
)

// maxUnanswered is the age of a follower's copy at which a poll without an answer ends, so that the store is read before the
// copy is 2 s old. A reader that answers does so before its own copy has MaxAge.
const maxUnanswered = 1900 * time.Millisecond

// pollMargin is the time for the transport of a poll and its answer.
const pollMargin = PollTimeout - PollWait

// PollLimits returns, for a poll by a follower whose copy has an age, the longest wait of the reader for changes and the timeout.
func PollLimits(age time.Duration) (wait, timeout time.Duration) {
	timeout = min(PollTimeout, max(maxUnanswered-age, maxUnanswered-MaxAge))
	return timeout - pollMargin, timeout
}

// Follower decides where one router reads a feed; the zero value asks the readers.
//
// A Follower is not safe for concurrent use.
type Follower struct {
	failedAt      map[string]time.Time // By reader.
	readStoreNext bool
}

// Source returns the reader to ask next, or an empty string if the store is to be read.
//
// The load is spread over the readers by the name of the follower.
func (f *Follower) Source(now time.Time, self string, readers []string) string {
	for _, r := range readers {
		if r == self {
			return ""
		}
	}
	if f.readStoreNext || len(readers) == 0 {
		f.readStoreNext = false
		return ""
	}
	first := xxhash.Sum64String(self) % uint64(len(readers))
	for i := range readers {
		r := readers[(first+uint64(i))%uint64(len(readers))]
		if failed, ok := f.failedAt[r]; !ok || now.Sub(failed) >= ReaderPause {
			return r
		}
	}
	return ""
}

// Failed records that a reader did not answer or had no recent state.
//
// The store is read next, because trying another reader that fails as well would take too long.
func (f *Follower) Failed(now time.Time, reader string) {
	if f.failedAt == nil {
		f.failedAt = map[string]time.Time{}
	}
	for r, at := range f.failedAt {
		if now.Sub(at) >= ReaderPause {
			delete(f.failedAt, r)
		}
	}
	f.failedAt[reader] = now
	f.readStoreNext = true
}
