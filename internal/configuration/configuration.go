package configuration

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/decision"
	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/internal/membership"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
	"github.com/foxtaillanding/foxtaillanding/pkg/settings"
)

const headKey = "Settings/Head"

func subtreeKey(path, change string) string { return "Settings/Tree/" + path + "/" + change }

// watchersPerDataCentre is the number of routers in a data centre that watch the store; the others query their peers.
const watchersPerDataCentre = 2

// Periods and timeouts.
const (
	queryPeriod  = time.Second      // Between two queries of the peers by a router that does not watch, or after a failed watch.
	watchWait    = 20 * time.Second // Longest wait of one watch of the settings head.
	storeTimeout = 2 * time.Second
)

// Peers reads the settings in force at other routers.
type Peers interface {
	// Head returns the JSON of the head in force at an address, or nothing if its revision is not above after.
	Head(address string, after uint64) ([]byte, error)
	// Subtree returns the content of a path if the given version of it is in force at an address.
	Subtree(address, path string, v settings.Version) ([]byte, error)
}

// Configuration carries out the actions of the settings follower; its fields are set before the first event.
type Configuration struct {
	VM         settings.VM   // VM that the router runs on.
	Initial    settings.Tree // Stored by Seed if the store has no settings.
	Store      keyvalue.Store
	Members    *membership.Members
	Peers      Peers
	Log        *zap.Logger
	Background func(func())                                             // Runs a function asynchronously.
	Apply      func(now time.Time, revision uint64, tree settings.Tree) // Puts settings in force.

	mu       sync.Mutex
	follower settings.Follower // Guarded by mu.
}

func (c *Configuration) handle(now time.Time, ev settings.Event) {
	for _, action := range decision.Apply(&c.mu, c.follower.Handle, now, ev) {
		switch action := action.(type) {
		case settings.ReadSubtree:
			c.Background(func() { c.readSubtree(action) })
		case settings.Apply:
			c.Apply(now, action.Revision, action.Tree)
		case settings.Reject:
			c.Log.Error("settings rejected", zap.Uint64("Revision", action.Revision), zap.Error(action.Err))
		}
	}
}

// readSubtree reads a subtree from the store or, if that fails, from a peer that has it in force.
func (c *Configuration) readSubtree(action settings.ReadSubtree) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	entry, err := c.Store.Get(ctx, subtreeKey(action.Path, action.Version.Change))
	if err == nil && entry.Version != 0 {
		c.handle(time.Now(), settings.SubtreeRead{Path: action.Path, Version: action.Version, Content: entry.Value})
		return
	}
	for _, p := range c.Members.Peers() {
		content, err := c.Peers.Subtree(p.Address, action.Path, action.Version)
		if err == nil {
			c.handle(time.Now(), settings.SubtreeRead{Path: action.Path, Version: action.Version, Content: content})
			return
		}
	}
	c.handle(time.Now(), settings.SubtreeFailed{Path: action.Path, Version: action.Version})
}

// Revision returns the revision in force.
func (c *Configuration) Revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follower.Revision()
}

// Head returns the revision in force and the versions of its paths.
func (c *Configuration) Head() settings.Head {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follower.Head()
}

func (c *Configuration) content(path string) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follower.Content(path)
}

// Subtree returns the content of a path if the given version of it is in force.
func (c *Configuration) Subtree(path string, version settings.Version) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.follower.Head().Paths[path] != version {
		return nil, false
	}
	return c.follower.Content(path), true
}

// Run follows the settings until stop is closed.
func (c *Configuration) Run(stop <-chan struct{}) {
	var version uint64
	for {
		select {
		case <-stop:
			return
		default:
		}
		c.handle(time.Now(), settings.Tick{})
		if c.isWatcher() {
			version = c.watch(version, stop)
			continue
		}
		c.queryPeers()
		decision.Pause(queryPeriod, stop)
	}
}

// isWatcher reports whether this router is one of the watchers of its data centre.
func (c *Configuration) isWatcher() bool {
	preceding := 0
	self := c.VM
	for _, m := range c.Members.All() {
		if m.DataCentre == self.DataCentre && m.State == fleet.Alive && m.VM < self.Name {
			preceding++
		}
	}
	return preceding < watchersPerDataCentre
}

// watch waits, at most watchWait, until the store has a head with a version above the given one, and returns the latest
// version seen.
func (c *Configuration) watch(version uint64, stop <-chan struct{}) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), watchWait+storeTimeout)
	defer cancel()
	entry, err := c.Store.Watch(ctx, headKey, version, watchWait)
	if err != nil {
		c.queryPeers()
		decision.Pause(queryPeriod, stop)
		return version
	}
	if entry.Version == 0 {
		// The store is empty, perhaps because it was unreachable when the routers started.
		if err := c.Seed(ctx); err != nil {
			c.Log.Warn("initial settings not stored", zap.Error(err))
		}
		return version
	}
	c.applyHead(entry.Value)
	return max(version, entry.Version)
}

// applyHead decodes a head and passes it to the follower; an empty value is ignored.
func (c *Configuration) applyHead(value []byte) {
	if len(value) == 0 {
		return
	}
	head, err := decodeHead(keyvalue.Entry{Value: value, Version: 1})
	if err != nil {
		c.Log.Error("settings head not readable", zap.Error(err))
		return
	}
	c.handle(time.Now(), settings.HeadReceived{Head: head})
}

// queryPeers reads the heads of the routers in this data centre and of those known to have a higher revision.
func (c *Configuration) queryPeers() {
	revision := c.Revision()
	for _, p := range c.Members.Peers() {
		eligible := p.Revision > revision || p.DataCentre == c.VM.DataCentre
		if !eligible {
			continue
		}
		if value, err := c.Peers.Head(p.Address, revision); err == nil {
			c.applyHead(value)
		}
	}
}

// Change submits a change and returns the head in which it is accepted.
//
// The tree that would result is validated against the same head that the
// conditional write is based on. After a write of unknown outcome, the head is
// read again to determine whether the change was accepted.
func (c *Configuration) Change(ctx context.Context, change settings.Change) (settings.Head, error) {
	const catchUpInterval = 20 * time.Millisecond
	put := keyvalue.Put{Key: subtreeKey(change.Path, change.ID), Value: change.Content}
	if _, err := c.Store.Put(ctx, put); err != nil {
		return settings.Head{}, err
	}
	for ctx.Err() == nil {
		entry, err := c.Store.Get(ctx, headKey)
		if err != nil {
			return settings.Head{}, err
		}
		head, err := decodeHead(entry)
		if err != nil {
			return head, err
		}
		c.handle(time.Now(), settings.HeadReceived{Head: head})
		if c.Revision() != head.Revision {
			decision.Pause(catchUpInterval, ctx.Done())
			continue
		}
		head, done, err := c.propose(ctx, entry.Version, head, change)
		if err != nil {
			return head, err
		}
		if done {
			c.handle(time.Now(), settings.HeadReceived{Head: head})
			return head, nil
		}
	}
	return settings.Head{}, errors.Wrapf(keyvalue.ErrUnavailable, "changing the settings: %v", ctx.Err())
}

// decodeHead decodes the settings head; an entry with version 0, which does not exist, yields an empty head.
func decodeHead(entry keyvalue.Entry) (settings.Head, error) {
	var head settings.Head
	if entry.Version == 0 {
		return head, nil
	}
	return head, errors.Wrap(json.Unmarshal(entry.Value, &head), "decoding the settings head")
}

// propose writes a head that accepts the change; it returns false if another write came first or the outcome is unknown.
func (c *Configuration) propose(ctx context.Context, version uint64, head settings.Head, change settings.Change) (settings.Head, bool, error) {
	if head.Accepted(change.ID) {
		return head, true, nil
	}
	next, err := head.Accept(change)
	if err != nil {
		return head, false, err
	}
	if err := c.validate(change); err != nil {
		return head, false, err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return head, false, err
	}
	written, err := c.Store.Put(ctx, keyvalue.Put{Key: headKey, Value: value, IfVersion: version})
	if written.Outcome == budget.TookEffect {
		return next, true, nil
	}
	if written.Outcome == budget.NoEffect && err != nil {
		return head, false, err
	}
	return head, false, nil
}

// validate checks the tree that results from applying the change to the tree in force.
func (c *Configuration) validate(change settings.Change) error {
	texts := map[string][]byte{}
	for path := range c.Head().Paths {
		texts[path] = c.content(path)
	}
	texts[change.Path] = change.Content
	_, err := settings.Assemble(texts)
	return err
}

// Seed writes the initial settings to the store if it has none; several routers may do so concurrently.
func (c *Configuration) Seed(ctx context.Context) error {
	entry, err := c.Store.Get(ctx, headKey)
	if err != nil || entry.Version != 0 {
		return err
	}
	texts, err := settings.Split(c.Initial)
	if err != nil {
		return err
	}
	head := settings.Head{Revision: 1, Paths: map[string]settings.Version{}}
	for path, text := range texts {
		change := "initial-" + settings.HashKey(string(text))
		if _, err := c.Store.Put(ctx, keyvalue.Put{Key: subtreeKey(path, change), Value: text}); err != nil {
			return err
		}
		head.Paths[path] = settings.Version{Revision: 1, Change: change}
	}
	value, err := json.Marshal(head)
	if err != nil {
		return err
	}
	_, err = c.Store.Put(ctx, keyvalue.Put{Key: headKey, Value: value})
	return err
}
