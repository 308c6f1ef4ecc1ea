package feed

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
)

// model is a store, some readers and one follower in virtual time.
type model struct {
	t           *testing.T
	random      *rand.Rand
	now         time.Time
	changes     []keyvalue.Change
	writtenAt   []time.Time // Of the changes.
	compactedTo uint64      // History up to this revision is gone.
	readers     []*modelReader
	follower    Follower
	log         Log
	cut         bool      // The follower does not reach the store.
	touchSince  time.Time // Since when the follower reaches the store without interruption.
	pollAt      time.Time // Of the follower's next poll.
	directReads int
}

// modelReader is a router that reads the store for others.
type modelReader struct {
	name              string
	log               Log
	cut, dead, frozen bool
	vouchAt           time.Time // Of its next call to the store.
	due               time.Time // Of the answer to its watch.
	hungUntil         time.Time // Until then its watch has lost its answer and gets no changes.
}

// Times of a watch, as the gateway's.
const (
	modelWait    = time.Second
	modelTimeout = time.Second
)

const modelStep = 10 * time.Millisecond

func (m *model) revision() uint64 { return uint64(len(m.changes)) }

// read returns what the store answers to a router with a log.
func (m *model) read(l *Log) Update {
	after := l.Revision()
	if !l.Synced() || after < m.compactedTo {
		latest := map[string]keyvalue.Change{}
		for _, c := range m.changes {
			latest[c.Key] = c
		}
		u := Update{Snapshot: true, Revision: m.revision()}
		for _, c := range latest {
			if !c.Deleted {
				u.Changes = append(u.Changes, c)
			}
		}
		return u
	}
	return Update{Changes: m.changes[after:], Revision: m.revision()}
}

// expect records that the reader begins a watch.
func (r *modelReader) expect(now time.Time) {
	r.due = now.Add(modelWait)
	r.log.Expect(r.due)
}

func (m *model) write() {
	c := change(fmt.Sprint("k", m.random.IntN(5)), m.revision()+1)
	c.Deleted = m.random.IntN(4) == 0
	m.changes = append(m.changes, c)
	m.writtenAt = append(m.writtenAt, m.now)
}

// stepReaders lets the readers that can receive changes and renew their lease.
func (m *model) stepReaders() {
	for _, r := range m.readers {
		if r.dead || r.frozen || r.cut {
			continue
		}
		hung := m.now.Before(r.hungUntil)
		if !hung && (r.log.Revision() < m.revision() || !r.log.Synced() || m.now.After(r.due)) {
			require.True(m.t, r.log.Apply(m.read(&r.log), m.now))
			r.expect(m.now)
		}
		if !m.now.Before(r.vouchAt) {
			r.log.Vouch(m.now)
			r.vouchAt = m.now.Add(VouchPeriod)
		}
	}
}

// poll lets the follower read from its source, and returns how long that takes.
func (m *model) poll() time.Duration {
	var names []string
	for _, r := range m.readers {
		names = append(names, r.name)
	}
	name := m.follower.Source(m.now, "follower", names)
	if name == "" {
		m.directReads++
		if m.cut {
			return 50 * time.Millisecond
		}
		m.apply(m.read(&m.log), m.now)
		return 20 * time.Millisecond
	}
	var r *modelReader
	for _, r = range m.readers {
		if r.name == name {
			break
		}
	}
	if r.dead || r.frozen {
		_, timeout := PollLimits(m.log.Age(m.now))
		m.follower.Failed(m.now.Add(timeout), name)
		return timeout
	}
	wait, fresh := r.log.Poll(m.now)
	u, ok := r.log.Since(m.log.Revision())
	if !fresh || !ok {
		m.follower.Failed(m.now, name)
		return modelStep
	}
	m.apply(u, m.now.Add(-r.log.Age(m.now)))
	if len(u.Changes) > 0 {
		return modelStep
	}
	return min(wait, 2*modelStep) // A waiting reader answers as soon as there are changes.
}

func (m *model) apply(u Update, vouchedAt time.Time) {
	before := m.log.Revision()
	if m.log.Apply(u, vouchedAt) {
		require.GreaterOrEqual(m.t, m.log.Revision(), before, "what was read goes back")
	}
}

// fault starts or ends a fault of a reader or of the follower's link to the store.
func (m *model) fault() {
	r := m.readers[m.random.IntN(len(m.readers))]
	switch m.random.IntN(6) {
	case 0:
		r.cut = !r.cut
	case 1:
		if r.dead = !r.dead; !r.dead {
			r.log = Log{}
		}
	case 2:
		r.frozen = !r.frozen
	case 3:
		m.compactedTo = m.revision()
	case 4:
		m.cut = !m.cut
		m.disturb(0)
	case 5:
		r.hungUntil = m.now.Add(modelWait + modelTimeout)
		r.expect(m.now)
		m.disturb(time.Second) // Routers have 3 s to recover from an outage of the store, a second more than bound.
	}
}

// disturb records that the follower or the store was disturbed, and when changes have to be seen in time again.
func (m *model) disturb(recovery time.Duration) {
	if since := m.now.Add(recovery); since.After(m.touchSince) {
		m.touchSince = since
	}
}

// check requires that a follower in touch with the store has seen every change that is older than the bound.
func (m *model) check(bound time.Duration) {
	if m.cut || m.now.Sub(m.touchSince) < bound {
		return
	}
	for i := m.log.Revision(); i < m.revision(); i++ {
		require.Less(m.t, m.now.Sub(m.writtenAt[i]), bound, "revision %d was not seen at %v", i+1, m.now.Sub(start))
	}
	if m.log.Revision() < m.revision() {
		return
	}
	want := m.read(&Log{})
	got, _ := m.log.Since(0)
	require.ElementsMatch(m.t, want.Changes, got.Changes)
}

// TestFollowerSeesChangesInTime kills, cuts, freezes and restarts two readers, loses answers to their watches and cuts the
// follower, at random times, and checks the bound that holds for every router that reaches the store, and that nothing goes back to an older revision.
func TestFollowerSeesChangesInTime(t *testing.T) {
	const bound = 2 * time.Second // The shortest time that deployments allow for a change to take effect.
	for seed := range uint64(60) {
		m := &model{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: start, touchSince: start, pollAt: start}
		m.readers = []*modelReader{{name: "r1"}, {name: "r2"}}
		m.write()
		for m.now.Before(start.Add(time.Minute)) {
			if m.random.IntN(30) == 0 {
				m.write()
			}
			if m.random.IntN(100) == 0 {
				m.fault()
			}
			m.stepReaders()
			if !m.now.Before(m.pollAt) {
				m.pollAt = m.now.Add(m.poll())
			}
			m.check(bound)
			m.now = m.now.Add(modelStep)
		}
	}
}

// TestFollowerReadsTheStoreRarely checks that a follower whose readers work leaves the store alone.
func TestFollowerReadsTheStoreRarely(t *testing.T) {
	m := &model{t: t, random: rand.New(rand.NewPCG(1, 1)), now: start, pollAt: start}
	m.readers = []*modelReader{{name: "r1"}, {name: "r2"}}
	m.write()
	for m.now.Before(start.Add(time.Minute)) {
		if m.random.IntN(10) == 0 {
			m.write()
		}
		m.stepReaders()
		if !m.now.Before(m.pollAt) {
			m.pollAt = m.now.Add(m.poll())
		}
		m.now = m.now.Add(modelStep)
	}
	require.Zero(t, m.directReads)
}
