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

// watchersEach is the number of routers in a data centre that watch the store; the others ask these.
const watchersEach = 2

// Periods.
const (
	settingsPeriod = time.Second      // Reads of the settings head when watches fail.
	watchPeriod    = 20 * time.Second // Longest wait of one watch of the settings head.
	storeTimeout   = 2 * time.Second
)

// Peers tell what they have in force.
type Peers interface {
	// Head returns the head in force at an address when its revision is above after.
	Head(address string, after uint64) ([]byte, error)
	// Subtree returns a path's content if it is in force at an address with the given version.
	Subtree(address, path string, v settings.Version) ([]byte, error)
}

// Configuration carries out what the settings follower decides; its fields are set before the first event.
type Configuration struct {
	VM         settings.VM // On which the router runs.
	Initial    settings.Tree
	Store      keyvalue.Store
	Members    *membership.Members
	Peers      Peers
	Log        *zap.Logger
	Background func(func())                                             // Runs a store or peer call.
	Apply      func(now time.Time, revision uint64, tree settings.Tree) // Puts settings in force.

	mu       sync.Mutex
	follower settings.Follower // Guarded by mu.
}

func (c *Configuration) handle(now time.Time, ev settings.Event) {
	for _, action := range decision.Apply(&c.mu, c.follower.Handle, now, ev) {
		switch action := action.(type) {
		case settings.ReadSubtree:
			c.Background(func() { c.read(action) })
		case settings.Apply:
			c.Apply(now, action.Revision, action.Tree)
		case settings.Reject:
			c.Log.Error("settings rejected", zap.Uint64("Revision", action.Revision), zap.Error(action.Err))
		}
	}
}

// read fetches a subtree from the store or, when the store fails, from a peer that has it in force.
func (c *Configuration) read(action settings.ReadSubtree) {
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

// Subtree returns a path's content if it is in force with the given version.
func (c *Configuration) Subtree(path string, version settings.Version) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.follower.Head().Paths[path] != version {
		return nil, false
	}
	return c.follower.Content(path), true
}

// Run keeps up with the settings until stop is closed.
func (c *Configuration) Run(stop <-chan struct{}) {
	var version uint64
	for {
		select {
		case <-stop:
			return
		default:
		}
		c.handle(time.Now(), settings.Tick{})
		if c.watches() {
			version = c.watch(version, stop)
			continue
		}
		c.askPeers()
		decision.Pause(settingsPeriod, stop)
	}
}

// watches reports whether this router is one of its data centre's watchers.
func (c *Configuration) watches() bool {
	before := 0
	self := c.VM
	for _, m := range c.Members.All() {
		if m.DataCentre == self.DataCentre && m.State == fleet.Alive && m.VM < self.Name {
			before++
		}
	}
	return before < watchersEach
}

// watch waits for a head above version in the store and returns the version that was seen.
func (c *Configuration) watch(version uint64, stop <-chan struct{}) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), watchPeriod+storeTimeout)
	defer cancel()
	entry, err := c.Store.Watch(ctx, headKey, version, watchPeriod)
	if err != nil {
		c.askPeers()
		decision.Pause(settingsPeriod, stop)
		return version
	}
	if entry.Version == 0 {
		// The store was away when this router started, or is empty.
		if err := c.Seed(ctx); err != nil {
			c.Log.Warn("initial settings not stored", zap.Error(err))
		}
		return version
	}
	c.takeHead(entry.Value)
	return max(version, entry.Version)
}

func (c *Configuration) takeHead(value []byte) {
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

// askPeers asks the routers whose revision is higher for their head.
func (c *Configuration) askPeers() {
	mine := c.Revision()
	for _, p := range c.Members.Peers() {
		asks := p.Revision > mine || p.DataCentre == c.VM.DataCentre
		if !asks {
			continue
		}
		if value, err := c.Peers.Head(p.Address, mine); err == nil {
			c.takeHead(value)
		}
	}
}

// Change offers a change for acceptance and returns the head that holds it.
//
// The tree is checked as it would be with the change, on the same head that
// the conditional write is based on. A write of the head whose answer was lost
// is settled by reading the head again.
func (c *Configuration) Change(ctx context.Context, change settings.Change) (settings.Head, error) {
	const catchUp = 20 * time.Millisecond
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
			decision.Pause(catchUp, ctx.Done())
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

func decodeHead(entry keyvalue.Entry) (settings.Head, error) {
	var head settings.Head
	if entry.Version == 0 {
		return head, nil
	}
	return head, errors.Wrap(json.Unmarshal(entry.Value, &head), "decoding the settings head")
}

// propose writes the head that accepts the change; done is false when the write lost a race or its outcome is unknown.
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

// validate checks the tree in force as it would be with the change.
func (c *Configuration) validate(change settings.Change) error {
	texts := map[string][]byte{}
	for path := range c.Head().Paths {
		texts[path] = c.content(path)
	}
	texts[change.Path] = change.Content
	_, err := settings.Assemble(texts)
	return err
}

// Seed puts the initial settings into a store that holds none; several routers may do so at once.
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
