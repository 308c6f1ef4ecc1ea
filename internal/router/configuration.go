package router

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/decision"
	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
	"github.com/foxtaillanding/foxtaillanding/pkg/settings"
)

const headKey = "Settings/Head"

func subtreeKey(path, change string) string { return "Settings/Tree/" + path + "/" + change }

// watchersEach is the number of routers in a data centre that watch the store; the others ask these.
const watchersEach = 2

// configuration carries out what the settings follower decides.
type configuration struct {
	r *Router

	mu       sync.Mutex
	follower settings.Follower // Guarded by mu.
}

func (c *configuration) handle(now time.Time, ev settings.Event) {
	for _, action := range decision.Locked(&c.mu, c.follower.Handle, now, ev) {
		switch action := action.(type) {
		case settings.ReadSubtree:
			c.r.background(func() { c.read(action) })
		case settings.Apply:
			c.r.apply(now, newSnapshot(action.Revision, action.Tree))
		case settings.Reject:
			c.r.log.Error("settings rejected", zap.Uint64("Revision", action.Revision), zap.Error(action.Err))
		}
	}
}

// read fetches a subtree from the store or, when the store fails, from a peer that has it in force.
func (c *configuration) read(action settings.ReadSubtree) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	entry, err := c.r.cfg.Store.Get(ctx, subtreeKey(action.Path, action.Version.Change))
	if err == nil && entry.Version != 0 {
		c.handle(time.Now(), settings.SubtreeRead{Path: action.Path, Version: action.Version, Content: entry.Value})
		return
	}
	for _, p := range c.r.members.Peers() {
		content, err := c.r.peers.subtree(p.Address, action.Path, action.Version)
		if err == nil {
			c.handle(time.Now(), settings.SubtreeRead{Path: action.Path, Version: action.Version, Content: content})
			return
		}
	}
	c.handle(time.Now(), settings.SubtreeFailed{Path: action.Path, Version: action.Version})
}

func (c *configuration) revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follower.Revision()
}

func (c *configuration) head() settings.Head {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follower.Head()
}

func (c *configuration) content(path string) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follower.Content(path)
}

// subtree returns a path's content if it is in force with the given version.
func (c *configuration) subtree(path string, version settings.Version) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.follower.Head().Paths[path] != version {
		return nil, false
	}
	return c.follower.Content(path), true
}

// run keeps up with the settings until stop is closed.
func (c *configuration) run(stop <-chan struct{}) {
	var version uint64
	for {
		select {
		case <-stop:
			return
		default:
		}
		c.handle(time.Now(), settings.Tick{})
		if c.watches() {
			version = c.watch(version)
			continue
		}
		c.askPeers()
		decision.Pause(settingsPeriod, stop)
	}
}

// watches reports whether this router is one of its data centre's watchers.
func (c *configuration) watches() bool {
	before := 0
	self := c.r.self
	for _, m := range c.r.members.All() {
		if m.DataCentre == self.DataCentre && m.State == fleet.Alive && m.VM < self.Name {
			before++
		}
	}
	return before < watchersEach
}

// watch waits for a head above version in the store and returns the version that was seen.
func (c *configuration) watch(version uint64) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), watchPeriod+storeTimeout)
	defer cancel()
	entry, err := c.r.cfg.Store.Watch(ctx, headKey, version, watchPeriod)
	if err != nil {
		c.askPeers()
		decision.Pause(settingsPeriod, c.r.stop)
		return version
	}
	if entry.Version == 0 {
		// The store was away when this router started, or is empty.
		if err := c.seed(ctx); err != nil {
			c.r.log.Warn("initial settings not stored", zap.Error(err))
		}
		return version
	}
	c.takeHead(entry.Value)
	return max(version, entry.Version)
}

func (c *configuration) takeHead(value []byte) {
	if len(value) == 0 {
		return
	}
	head, err := decodeHead(keyvalue.Entry{Value: value, Version: 1})
	if err != nil {
		c.r.log.Error("settings head not readable", zap.Error(err))
		return
	}
	c.handle(time.Now(), settings.HeadSeen{Head: head})
}

// askPeers asks the routers whose revision is higher for their head.
func (c *configuration) askPeers() {
	mine := c.revision()
	for _, p := range c.r.members.Peers() {
		asks := p.Revision > mine || p.DataCentre == c.r.self.DataCentre
		if !asks {
			continue
		}
		if value, err := c.r.peers.head(p.Address, mine); err == nil {
			c.takeHead(value)
		}
	}
}

// change offers a change for acceptance and returns the head that holds it.
//
// The tree is checked as it would be with the change, on the same head that
// the conditional write is based on. A write of the head whose answer was lost
// is settled by reading the head again.
func (c *configuration) change(ctx context.Context, change settings.Change) (settings.Head, error) {
	const catchUp = 20 * time.Millisecond
	put := keyvalue.Put{Key: subtreeKey(change.Path, change.ID), Value: change.Content}
	if _, err := c.r.cfg.Store.Put(ctx, put); err != nil {
		return settings.Head{}, err
	}
	for ctx.Err() == nil {
		entry, err := c.r.cfg.Store.Get(ctx, headKey)
		if err != nil {
			return settings.Head{}, err
		}
		head, err := decodeHead(entry)
		if err != nil {
			return head, err
		}
		c.handle(time.Now(), settings.HeadSeen{Head: head})
		if c.revision() != head.Revision {
			decision.Pause(catchUp, ctx.Done())
			continue
		}
		head, done, err := c.propose(ctx, entry.Version, head, change)
		if err != nil {
			return head, err
		}
		if done {
			c.handle(time.Now(), settings.HeadSeen{Head: head})
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
func (c *configuration) propose(ctx context.Context, version uint64, head settings.Head, change settings.Change) (settings.Head, bool, error) {
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
	written, err := c.r.cfg.Store.Put(ctx, keyvalue.Put{Key: headKey, Value: value, IfVersion: version})
	if written.Outcome == budget.TookEffect {
		return next, true, nil
	}
	if written.Outcome == budget.NoEffect && err != nil {
		return head, false, err
	}
	return head, false, nil
}

// validate checks the tree in force as it would be with the change.
func (c *configuration) validate(change settings.Change) error {
	texts := map[string][]byte{}
	for path := range c.head().Paths {
		texts[path] = c.content(path)
	}
	texts[change.Path] = change.Content
	_, err := settings.Assemble(texts)
	return err
}

// seed puts the initial settings into a store that holds none; several routers may do so at once.
func (c *configuration) seed(ctx context.Context) error {
	entry, err := c.r.cfg.Store.Get(ctx, headKey)
	if err != nil || entry.Version != 0 {
		return err
	}
	texts, err := settings.Split(c.r.cfg.Initial)
	if err != nil {
		return err
	}
	head := settings.Head{Revision: 1, Paths: map[string]settings.Version{}}
	for path, text := range texts {
		change := "initial-" + settings.HashKey(string(text))
		if _, err := c.r.cfg.Store.Put(ctx, keyvalue.Put{Key: subtreeKey(path, change), Value: text}); err != nil {
			return err
		}
		head.Paths[path] = settings.Version{Revision: 1, Change: change}
	}
	value, err := json.Marshal(head)
	if err != nil {
		return err
	}
	_, err = c.r.cfg.Store.Put(ctx, keyvalue.Put{Key: headKey, Value: value})
	return err
}
