package keyvalue

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
)

// Errors that store calls return.
var (
	ErrUnavailable = errors.New("the store cannot be reached")
	ErrLimited     = errors.New("the store refused the call because of its rate limit")
	ErrHistoryGone = errors.New("the store no longer has the changes after this revision")
	ErrLeaseEnded  = errors.New("the lease has ended")
	ErrTooLarge    = errors.New("the value exceeds the store's size limit")
)

// Entry is one key of the store with its value; Version 0 means that the key does not exist.
type Entry struct {
	Key     string
	Value   []byte
	Version uint64
}

// Put is one conditional write: it takes effect only while the key's version is IfVersion.
type Put struct {
	Key       string
	Value     []byte
	IfVersion uint64 // Required current version; zero means that the key must not exist.
	Lease     uint64 // ID of the lease whose end removes the key; zero means none.
}

// WriteResult is the result of a Put or a Remove.
type WriteResult struct {
	Outcome budget.Outcome
	Version uint64 // New version if the outcome is TookEffect.
	Current *Entry // Conflicting entry if the outcome is NoEffect; nil if the store did not return it.
}

// Store is the platform's key-value service.
type Store interface {
	// Get reads one key.
	Get(ctx context.Context, key string) (Entry, error)
	// GetStale reads one key as it is or was up to some seconds ago, at a lower cost for the store.
	GetStale(ctx context.Context, key string) (Entry, error)
	// Put writes one key if its version is put.IfVersion. A non-nil error gives the reason if the outcome is not
	// TookEffect; a version conflict is NoEffect without an error.
	Put(ctx context.Context, put Put) (WriteResult, error)
	// Remove removes one key if its version is ifVersion; the result is as for Put.
	Remove(ctx context.Context, key string, ifVersion uint64) (WriteResult, error)
	// List reads all keys that begin with prefix, sorted.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Watch waits until key has a version above after, or until wait has passed, and reads it.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error)
}

// Change is one change of a key.
type Change struct {
	Entry

	Deleted bool
}

// Changes holds the changes between two revisions of the store.
type Changes struct {
	Changes  []Change
	Revision uint64 // Revision to continue from.
}

// Feed reports the changes of the keys with a common prefix.
type Feed interface {
	// Range reads all keys that begin with prefix and the revision to continue from. If onPage is not nil, it is called with
	// each part of the keys as soon as that is read.
	Range(ctx context.Context, prefix string, onPage func([]Entry)) ([]Entry, uint64, error)
	// Changes waits up to wait for changes after a revision. ErrHistoryGone means that the caller must call Range again.
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error)
}

// Leases manages leases, which remove the keys of a process that no longer renews them.
type Leases interface {
	// Grant starts a lease and returns its ID.
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	// Renew extends a lease; ErrLeaseEnded means that its keys have been removed.
	Renew(ctx context.Context, lease uint64) error
	// End ends a lease and removes its keys.
	End(ctx context.Context, lease uint64) error
}
