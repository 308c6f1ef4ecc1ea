package gateway

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/feed"
	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/internal/peer"
)

// relay is this router's copy of a feed, which it passes on to the followers in its data centre.
type relay struct {
	mu      sync.Mutex
	log     feed.Log      // Guarded by mu.
	changed chan struct{} // Closed when the log changes; guarded by mu.
}

// apply adds an update that was read from the store or from a reader.
func (r *relay) apply(u feed.Update, vouchedAt time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.log.Apply(u, vouchedAt) {
		return false
	}
	if r.changed != nil && (u.Snapshot || len(u.Changes) > 0) {
		close(r.changed)
		r.changed = nil
	}
	return true
}

// recovered records the end of an outage of the store and reports whether it was not known yet.
func (r *relay) recovered(at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.Recovered(at)
}

// expectAnswer records that a watch of the store has begun, which it is to answer by the given time.
func (r *relay) expectAnswer(due time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log.Expect(due)
}

// revision returns the revision to continue from and whether the feed has been read at all.
func (r *relay) revision() (revision uint64, synced bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.Revision(), r.log.Synced()
}

// age returns the time since the store is known to have had no further changes; storeAnsweredAt is the time of its last
// answer to any call of this router.
func (r *relay) age(now, storeAnsweredAt time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log.Vouch(storeAnsweredAt)
	return r.log.Age(now)
}

// poll returns how long a follower may wait for changes, and whether this router's copy is recent enough to be passed on.
func (r *relay) poll(now, storeAnsweredAt time.Time) (wait time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log.Vouch(storeAnsweredAt)
	return r.log.Poll(now)
}

// since returns what a follower is missing, and a channel that is closed at the next change of the log.
func (r *relay) since(after uint64) (u feed.Update, ok bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	u, ok = r.log.Since(after)
	return u, ok, r.changed
}

func (r *relay) recoveredAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.RecoveredAt()
}

// answerFollower answers a router that follows a feed through this one; it waits for changes if there are none.
func (g *Gateway) answerFollower(q peer.FeedQuery) peer.FeedReply {
	f, ok := g.feeds[q.Feed]
	if !ok {
		return peer.FeedReply{}
	}
	deadline := time.Now().Add(q.MaxWait())
	for {
		now := time.Now()
		wait, fresh := f.relay.poll(now, g.store.answeredAt())
		u, known, changed := f.relay.since(q.After)
		if !known || !fresh {
			return peer.FeedReply{}
		}
		wait = min(wait, deadline.Sub(now))
		if u.Snapshot || len(u.Changes) > 0 || wait <= 0 {
			return g.feedReply(now, f, u)
		}
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		case <-g.stop:
			timer.Stop()
			return peer.FeedReply{}
		}
		timer.Stop()
	}
}

func (g *Gateway) feedReply(now time.Time, f *feedState, u feed.Update) peer.FeedReply {
	out := peer.FeedReply{Usable: true, Update: u, AgeMilliseconds: f.relay.age(now, g.store.answeredAt()).Milliseconds()}
	if at := f.relay.recoveredAt(); !at.IsZero() {
		out.RecoveredMilliseconds = max(1, now.Sub(at).Milliseconds())
	}
	return out
}

// readerKey is the key by which readers are selected.
const readerKey = "Readers"

// readers returns the names of the routers that read the store for the data centre of this one, and whether there are
// others, which follow them.
func (g *Gateway) readers() (names []string, followed bool) {
	names = g.members.PreferredIn(g.cfg.Settings.DataCentre, readerKey, feed.ReadersPerGroup+1)
	if len(names) <= feed.ReadersPerGroup {
		return names, false
	}
	return names[:feed.ReadersPerGroup], true
}

// isFollowed reports whether other routers follow the store through this one.
func (g *Gateway) isFollowed() bool {
	names, followed := g.readers()
	return followed && slices.Contains(names, g.members.Self().Name())
}

// readRelayed reads the next changes of a feed from a reader. It reports false if the store is to be read instead.
func (g *Gateway) readRelayed(f *feedState) bool {
	now := time.Now()
	if now.Sub(g.started) < settlePeriod {
		return false
	}
	readers, _ := g.readers()
	reader := f.follower.Source(now, g.members.Self().Name(), readers)
	if reader == "" {
		return false
	}
	after, _ := f.relay.revision()
	reply, err := g.pollReader(now, f, reader, after)
	now = time.Now()
	switch {
	case err != nil:
		g.log.Info("reader lost", zap.String("Feed", f.name), zap.String("Reader", reader), logfile.Error(err))
		f.follower.Failed(now, reader)
		return false
	case !reply.Usable || !g.adopt(now, f, reply):
		g.log.Info("reader not recent", zap.String("Feed", f.name), zap.String("Reader", reader), zap.Uint64("Revision", after))
		f.follower.Failed(now, reader)
		return false
	}
	return true
}

// pollReader asks a reader for the changes of a feed after a revision.
func (g *Gateway) pollReader(now time.Time, f *feedState, reader string, after uint64) (peer.FeedReply, error) {
	q := peer.FeedQuery{Feed: f.name, After: after}
	if f.relayDelay > 0 {
		return g.peers.ReadFeed(reader, q, feed.PollTimeout) // The copy is allowed to be older than a poll takes.
	}
	wait, timeout := feed.PollLimits(f.relay.age(now, g.store.answeredAt()))
	if wait < feed.PollWait {
		q.MaxWaitMilliseconds = wait.Milliseconds()
	}
	return g.peers.ReadFeed(reader, q, timeout)
}

// adopt applies what a reader answered, unless it is older than what this router knows.
func (g *Gateway) adopt(now time.Time, f *feedState, reply peer.FeedReply) bool {
	vouchedAt := now.Add(-time.Duration(reply.AgeMilliseconds) * time.Millisecond)
	if !f.relay.apply(reply.Update, vouchedAt) {
		return false
	}
	switch {
	case f.outage:
		f.notifyRecovery(now)
	case reply.RecoveredMilliseconds > 0:
		f.notifyRecovery(now.Add(-time.Duration(reply.RecoveredMilliseconds) * time.Millisecond))
	}
	f.deliver(now, reply.Update)
	return true
}
