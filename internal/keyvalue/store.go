package keyvalue

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
)

// Errors of store calls.
var (
	ErrUnavailable = errors.New("the store cannot be reached")
	ErrLimited     = errors.New("the store refused the call because of its rate limit")
	ErrHistoryGone = errors.New("the store no longer has the changes after this revision")
	ErrLeaseEnded  = errors.New("the lease has ended")
	ErrTooLarge    = errors.New("the value exceeds the store's size limit")
)

// Entry is one key of the store; Version 0 means that the key does not exist.
type Entry struct {
	Key     string
	Value   []byte
	Version uint64
}

// Put is one conditional write: it takes effect only while the key's version is IfVersion.
type Put struct {
	Key       string
	Value     []byte
	IfVersion uint64 // Zero means that the key must not exist.
	Lease     uint64 // When not zero, the key disappears when this lease ends.
}

// Written is the result of a Put.
type Written struct {
	Outcome budget.Outcome
	Version uint64 // The new version when the outcome is TookEffect.
	Current *Entry // What stood in the way when the outcome is NoEffect; nil when the store did not tell.
}

// Store is the platform's key-value service.
type Store interface {
	// Get reads one key.
	Get(ctx context.Context, key string) (Entry, error)
	// Put writes one key on a condition. The error says why the outcome is not TookEffect.
	Put(ctx context.Context, put Put) (Written, error)
	// Remove removes one key on the condition that it has a version; the outcome is that of a Put.
	Remove(ctx context.Context, key string, ifVersion uint64) (Written, error)
	// List reads all keys that begin with prefix, in order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Watch waits until a key has a version above after, or until wait has passed, and reads it.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error)
}

// Change is one change of a key.
type Change struct {
	Entry

	Deleted bool
}

// Changes are the changes after one revision of the store and up to another one.
type Changes struct {
	Changes  []Change
	Revision uint64 // To continue from.
}

// Feed tells what changes under a prefix.
type Feed interface {
	// Range reads all keys that begin with prefix and the revision to continue from.
	Range(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// Changes waits for changes after a revision; ErrHistoryGone asks for a new Range.
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error)
}

// Leases bind keys to the life of a process.
type Leases interface {
	// Grant starts a lease.
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	// Renew extends a lease; ErrLeaseEnded tells that its keys are gone.
	Renew(ctx context.Context, lease uint64) error
	// End ends a lease and removes its keys.
	End(ctx context.Context, lease uint64) error
}
