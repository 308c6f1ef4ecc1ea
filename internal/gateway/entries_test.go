package gateway

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/pkg/route"
)

// entryDialect parses entries whose value is "ready" or "leaving"; any other value is an error.
type entryDialect struct{ Dialect }

func (entryDialect) ConfigurationKey() string { return "configuration" }

func (entryDialect) EntryPrefix() string { return "e/" }

func (entryDialect) EvacuationPrefix() string { return "v/" }

func (entryDialect) EvacuatedDataCentre(key string) string { return strings.TrimPrefix(key, "v/") }

func (entryDialect) EntryName(key string) string { return strings.TrimPrefix(key, "e/") }

func (d entryDialect) Entry(key string, value []byte) (Entry, error) {
	if text := string(value); text != "ready" && text != "leaving" {
		return Entry{}, errors.New("malformed entry")
	}
	return Entry{Name: d.EntryName(key), Service: "s", Address: "a:1", Leaving: string(value) == "leaving"}, nil
}

// startedDialect parses entries whose value is "ready" or "leaving" and the start time of the endpoint.
type startedDialect struct{ entryDialect }

func (d startedDialect) Entry(key string, value []byte) (Entry, error) {
	state, started, _ := strings.Cut(string(value), " ")
	entry, err := d.entryDialect.Entry(key, []byte(state))
	if err != nil {
		return Entry{}, err
	}
	entry.StartedAt, err = strconv.ParseInt(started, 10, 64)
	return entry, err
}

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newEntries(names ...string) *entries {
	e := &entries{
		g:         &Gateway{dialect: entryDialect{}, log: zap.NewNop()},
		tracked:   map[string]*trackedEndpoint{},
		restarted: map[string]bool{},
	}
	for _, name := range names {
		e.applyChanges(start, []keyvalue.Change{{Entry: keyvalue.Entry{Key: "e/" + name, Value: []byte("ready")}}})
	}
	return e
}

func (e *entries) remove(now time.Time, name string) {
	e.applyChanges(now, []keyvalue.Change{{Entry: keyvalue.Entry{Key: "e/" + name}, Deleted: true}})
}

func (e *entries) usableAt(now time.Time, name string) bool { return e.usable(now, e.tracked[name]) }

func TestEndpointStaysUsableUntilExpiredEntryIsRewritten(t *testing.T) {
	e := newEntries("back", "gone")
	recovered := start.Add(10 * time.Second)
	e.storeRecovered(recovered)
	e.remove(recovered, "back")
	e.remove(recovered.Add(100*time.Millisecond), "gone")
	require.True(t, e.usableAt(recovered.Add(time.Second), "back"))
	e.applyChanges(recovered.Add(1500*time.Millisecond), []keyvalue.Change{{Entry: keyvalue.Entry{Key: "e/back", Value: []byte("ready")}}})
	require.True(t, e.usableAt(recovered.Add(time.Minute), "back"))
	require.False(t, e.usableAt(recovered.Add(2*time.Second), "gone"), "an endpoint whose entry is still missing is unusable")
}

// TestEntryDeletedAfterOutageIsUnusableAtOnce guards against treating an entry that is deleted after an outage as if it
// had expired during the outage, which kept its endpoint in use. Entry a is deleted soon after the outage, once it has
// been rewritten, and entry b long after the outage.
func TestEntryDeletedAfterOutageIsUnusableAtOnce(t *testing.T) {
	e := newEntries("a", "b")
	recovered := start.Add(10 * time.Second)
	e.storeRecovered(recovered)
	e.remove(recovered, "a")
	e.applyChanges(recovered.Add(500*time.Millisecond), []keyvalue.Change{{Entry: keyvalue.Entry{Key: "e/a", Value: []byte("ready")}}})
	e.remove(recovered.Add(700*time.Millisecond), "a")
	require.False(t, e.usableAt(recovered.Add(700*time.Millisecond), "a"))
	e.remove(recovered.Add(time.Minute), "b")
	require.False(t, e.usableAt(recovered.Add(time.Minute), "b"))
}

// TestMissingEntryIsUsableForLessThanTwoSeconds limits how long an endpoint that leaves just when the store recovers
// still gets requests.
func TestMissingEntryIsUsableForLessThanTwoSeconds(t *testing.T) {
	for after := time.Duration(0); after < expiryWindow; after += 50 * time.Millisecond {
		e := newEntries("a")
		recovered := start.Add(10 * time.Second)
		e.storeRecovered(recovered)
		e.remove(recovered.Add(after), "a")
		require.False(t, e.usableAt(recovered.Add(after+1900*time.Millisecond), "a"), after)
	}
}

func TestSnapshotMarksMissingEntries(t *testing.T) {
	e := newEntries("a", "b", "c")
	now := start.Add(time.Minute)
	e.applySnapshot(now, []keyvalue.Entry{{Key: "e/a", Value: []byte("ready")}, {Key: "e/b", Value: []byte("leaving")}, {Key: "e/d", Value: []byte("\xff")}})
	require.True(t, e.usableAt(now, "a"))
	require.False(t, e.usableAt(now, "b"))
	require.False(t, e.usableAt(now, "c"))
	require.NotContains(t, e.tracked, "d")
}

// TestNewStartTimeMeansRestart checks that an endpoint counts as restarted if only the start time in its entry changes.
func TestNewStartTimeMeansRestart(t *testing.T) {
	e := newEntries("a")
	require.NotContains(t, e.restarted, "a")
	e.applyChanges(start, []keyvalue.Change{{Entry: keyvalue.Entry{Key: "e/a", Value: []byte("ready")}}})
	require.NotContains(t, e.restarted, "a", "an entry rewritten with the same start time is no restart")
	e.tracked["a"].StartedAt = -1 // The entry that follows has 0, a later start.
	e.applyChanges(start, []keyvalue.Change{{Entry: keyvalue.Entry{Key: "e/a", Value: []byte("ready")}}})
	require.Contains(t, e.restarted, "a")
}

// TestEndpointThatLeavesStaysLeaving guards against using an endpoint again because the store came back from a copy in
// which it was still ready.
func TestEndpointThatLeavesStaysLeaving(t *testing.T) {
	e := newEntries("a")
	e.applyChanges(start, []keyvalue.Change{{Entry: keyvalue.Entry{Key: "e/a", Value: []byte("leaving")}}})
	e.applySnapshot(start.Add(time.Second), []keyvalue.Entry{{Key: "e/a", Value: []byte("ready")}})
	require.False(t, e.usableAt(start.Add(time.Second), "a"))
}

// TestEndpointWhoseEntryTurnsUnreadableIsUsedBriefly guards against using an endpoint for ever because another writer has
// replaced its entry, and against losing all endpoints at once for the time that they take to write their entries again.
func TestEndpointWhoseEntryTurnsUnreadableIsUsedBriefly(t *testing.T) {
	malformed := func(name string) keyvalue.Entry { return keyvalue.Entry{Key: "e/" + name, Value: []byte("malformed")} }
	for _, snapshot := range []bool{false, true} {
		e := newEntries("back", "gone", "deleted")
		if snapshot {
			e.applySnapshot(start, []keyvalue.Entry{malformed("back"), malformed("gone"), malformed("deleted")})
		} else {
			for _, name := range []string{"back", "gone", "deleted"} {
				e.applyChanges(start, []keyvalue.Change{{Entry: malformed(name)}})
			}
		}
		later := start.Add(time.Second)
		require.True(t, e.usableAt(later, "back"))
		require.True(t, e.usableAt(later, "gone"))
		e.remove(later, "deleted")
		require.False(t, e.usableAt(later, "deleted"), "an endpoint without an entry has left")
		e.applyChanges(later, []keyvalue.Change{{Entry: keyvalue.Entry{Key: "e/back", Value: []byte("ready")}}})
		e.applyChanges(later, []keyvalue.Change{{Entry: malformed("gone")}})
		require.True(t, e.usableAt(start.Add(time.Minute), "back"))
		require.False(t, e.usableAt(start.Add(missingGrace), "gone"), "further unreadable entries do not prolong the use")
	}
}

// TestLateEntryOfAnEarlierIncarnationDoesNotTakeALeaveBack guards against using an endpoint that leaves again, because an entry
// that its earlier incarnation wrote comes late or from an older copy of the store.
func TestLateEntryOfAnEarlierIncarnationDoesNotTakeALeaveBack(t *testing.T) {
	e := newEntries()
	e.g.dialect = startedDialect{}
	write := func(value string) {
		e.applyChanges(start, []keyvalue.Change{{Entry: keyvalue.Entry{Key: "e/a", Value: []byte(value)}}})
	}
	write("ready 1000")
	write("ready 2000")
	write("leaving 2000")
	clear(e.restarted)
	write("ready 1000")
	require.False(t, e.usableAt(start, "a"))
	require.NotContains(t, e.restarted, "a")
	write("ready 3000")
	require.True(t, e.usableAt(start, "a"), "a later incarnation does not leave")
}

// deleted is the change that removes the entry of an endpoint.
func deleted(name string) []keyvalue.Change {
	return []keyvalue.Change{{Entry: keyvalue.Entry{Key: "e/" + name}, Deleted: true}}
}

// readyEntries are changes that write the entries of n endpoints.
func readyEntries(n int) []keyvalue.Change {
	changes := make([]keyvalue.Change, n)
	for i := range changes {
		changes[i].Entry = keyvalue.Entry{Key: "e/" + strconv.Itoa(i), Value: []byte("ready")}
	}
	return changes
}

// TestTickIsCheapWhileAnEntryIsMissing guards against endpoints that leave a large fleet and use up the processors of the routers:
// for 30 s after each leave, the pool was updated 40 times a second.
func TestTickIsCheapWhileAnEntryIsMissing(t *testing.T) {
	const endpoints = 200
	g := newTestGateway(t)
	g.entries.applyChanges(start, readyEntries(endpoints))
	g.entries.applyChanges(start, deleted("0"))
	now := start.Add(missingGrace)
	g.entries.tick(now)
	allocations := testing.AllocsPerRun(100, func() {
		now = now.Add(tickPeriod)
		require.False(t, g.entries.tick(now), "nothing is due soon")
	})
	require.Less(t, allocations, float64(endpoints))
}

// TestTickIsCheapWhileAVersionIsNotRecorded guards against the same while the record of versions cannot be written.
func TestTickIsCheapWhileAVersionIsNotRecorded(t *testing.T) {
	const endpoints = 200
	g := newTestGateway(t)
	g.table.Store(route.NewTable(route.Configuration{Version: 2, Services: []route.Service{{Name: "s"}}}))
	g.entries.applyChanges(start, readyEntries(endpoints))
	require.True(t, g.versions.history.Pending())
	now := start.Add(time.Second)
	g.entries.tick(now)
	allocations := testing.AllocsPerRun(100, func() {
		now = now.Add(tickPeriod)
		g.entries.tick(now)
	})
	require.Less(t, allocations, float64(endpoints))
}

// TestTickEndsTheUseOfAMissingEntry uses an endpoint whose entry may have expired in an outage, and no longer than the grace
// period although no entry changes any more.
func TestTickEndsTheUseOfAMissingEntry(t *testing.T) {
	g := newTestGateway(t)
	g.entries.applyChanges(start, []keyvalue.Change{{Entry: keyvalue.Entry{Key: "e/a", Value: []byte("ready")}}})
	g.entries.storeRecovered(start)
	g.entries.applyChanges(start, deleted("a"))
	require.True(t, g.endpoints.MaySend("a"))
	require.True(t, g.entries.tick(start.Add(missingGrace-tickPeriod)), "the end of the grace period is due soon")
	require.True(t, g.endpoints.MaySend("a"))
	require.False(t, g.entries.tick(start.Add(missingGrace)))
	require.False(t, g.endpoints.MaySend("a"))
}

// TestTickForgetsAnEndpointThatIsGone guards against endpoints that stay in the pool for ever.
func TestTickForgetsAnEndpointThatIsGone(t *testing.T) {
	g := newTestGateway(t)
	g.entries.applyChanges(start, []keyvalue.Change{{Entry: keyvalue.Entry{Key: "e/a", Value: []byte("ready")}}})
	g.entries.applyChanges(start, deleted("a"))
	_, known := g.endpoints.Address("a")
	require.True(t, known)
	for now := start; now.Before(start.Add(missingRetention + time.Second)); now = now.Add(idlePeriod) {
		g.entries.tick(now)
	}
	_, known = g.endpoints.Address("a")
	require.False(t, known)
}
