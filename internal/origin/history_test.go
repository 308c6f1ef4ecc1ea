package origin

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// recordStore is the record of one service as the store has it.
type recordStore struct {
	revision uint64
	record   Record
}

// write carries out what is due at a router and reports whether anything was.
func (s *recordStore) write(t *testing.T, now time.Time, h *History, home bool) bool {
	due := h.Due(now, func(string) bool { return home })
	for _, w := range due {
		require.Equal(t, "s", w.Service)
		require.Equal(t, s.revision, w.IfRevision)
		s.revision++
		s.record = w.Record
		h.Adopt(now, "s", s.revision, s.record)
	}
	return len(due) > 0
}

// newHistory returns the history of a router that has read the record and sees endpoints of the given versions.
func (s *recordStore) newHistory(now time.Time, versions ...string) *History {
	h := &History{Delay: 300 * time.Millisecond}
	if s.revision != 0 {
		h.Adopt(now, "s", s.revision, s.record)
	}
	h.Synced(now, []string{"s"})
	observe(now, h, versions...)
	return h
}

// observe lets a router see usable endpoints of the given versions.
func observe(now time.Time, h *History, versions ...string) {
	var all []EndpointVersion
	for _, v := range versions {
		all = append(all, EndpointVersion{Service: "s", Version: v, Present: true, Usable: true})
	}
	h.Observe(now, all)
}

// TestNoStreamBeginsBeforeItsVersionIsRecorded follows a version from its first endpoint on.
func TestNoStreamBeginsBeforeItsVersionIsRecorded(t *testing.T) {
	var s recordStore
	h := s.newHistory(start, "v1")
	require.True(t, h.Unrecorded(start, "s", "v1"))
	require.True(t, h.Pending())
	require.True(t, h.MustTell(0, "s"))
	require.True(t, s.write(t, start, h, true))
	require.False(t, h.Unrecorded(start, "s", "v1"))
	require.False(t, h.Pending())
	require.False(t, h.MustTell(0, "s"))
	require.Equal(t, View{Versions: []string{"v1"}, Recorded: true}, h.View("s"))
	later := start.Add(time.Hour)
	require.False(t, s.write(t, later, h, true), "one write for a version")
	observe(later, h, "v1", "v2")
	require.True(t, h.Unrecorded(later, "s", "v2"))
	require.True(t, h.Unrecorded(later.Add(time.Hour), "s", "v2"), "as long as another version can serve")
	require.True(t, s.write(t, later, h, true))
	require.False(t, h.Unrecorded(later, "s", "v2"))
	require.True(t, h.MustTell(0, "s"))
}

// TestStreamsBeginUnrecordedOnlyWhileNothingElseCanServe lets the store take no write.
func TestStreamsBeginUnrecordedOnlyWhileNothingElseCanServe(t *testing.T) {
	s := recordStore{revision: 1, record: Record{}.with([]string{"v1"})}
	h := s.newHistory(start, "v2")
	require.True(t, h.Unrecorded(start.Add(recordPatience-1), "s", "v2"))
	require.False(t, h.Unrecorded(start.Add(recordPatience), "s", "v2"))
	require.True(t, h.MustTell(0, "s"), "the homes know of it")
}

// TestNextChangeIsWhenStreamsMayBeginUnrecorded guards against a version that waits to be recorded and is forgotten, and against
// one that is looked at all the time.
func TestNextChangeIsWhenStreamsMayBeginUnrecorded(t *testing.T) {
	s := recordStore{revision: 1, record: Record{}.with([]string{"v1"})}
	h := s.newHistory(start, "v1")
	require.Zero(t, h.NextChange(start))
	h = s.newHistory(start, "v2")
	require.Equal(t, start.Add(recordPatience), h.NextChange(start))
	require.Zero(t, h.NextChange(start.Add(recordPatience)))
}

// TestOneRouterRecordsAVersion lets the home and another router see it at the same time, and then the home be dead.
func TestOneRouterRecordsAVersion(t *testing.T) {
	var s recordStore
	other := s.newHistory(start, "v1")
	require.False(t, s.write(t, start, other, false))
	home := s.newHistory(start, "v1")
	require.True(t, s.write(t, start, home, true))
	other.Adopt(start, "s", s.revision, s.record)
	require.False(t, s.write(t, start.Add(time.Minute), other, false))
	observe(start.Add(time.Minute), other, "v1", "v2")
	require.False(t, s.write(t, start.Add(time.Minute), other, false))
	require.True(t, s.write(t, start.Add(time.Minute+other.Delay), other, false))
}

// TestNothingIsWrittenBeforeTheRecordsAreRead guards against writes by each router that starts.
func TestNothingIsWrittenBeforeTheRecordsAreRead(t *testing.T) {
	var h History
	observe(start, &h, "v1")
	require.Empty(t, h.Due(start.Add(time.Hour), always))
	require.True(t, h.MustTell(0, "s"))
}

// TestVersionIsRemovedOnlyAfterItHasRetired lets the endpoints of a version leave.
func TestVersionIsRemovedOnlyAfterItHasRetired(t *testing.T) {
	s := recordStore{revision: 1, record: Record{}.with([]string{"v1", "v2"})}
	h := s.newHistory(start, "v1", "v2")
	now := start.Add(time.Hour)
	h.Observe(now, []EndpointVersion{{Service: "s", Version: "v1"}, {Service: "s", Version: "v2", Present: true, Usable: true}})
	require.False(t, s.write(t, now, h, true), "an endpoint that is gone may have streams in flight")
	observe(now, h, "v2")
	require.False(t, s.write(t, now, h, false), "only the home retires a version")
	require.True(t, s.write(t, now, h, true))
	require.Equal(t, []string{"v1", "v2"}, h.View("s").Versions, "its streams may still be taken up")
	require.True(t, h.Unrecorded(now, "s", "v1"))
	require.False(t, h.Unrecorded(now, "s", "v2"))
	require.False(t, s.write(t, now.Add(retention-1), h, true))
	restarted := s.newHistory(now.Add(retention-1), "v2")
	require.False(t, s.write(t, now.Add(retention), restarted, true), "it has not watched the record for long enough")
	require.True(t, s.write(t, now.Add(retention), h, true))
	require.Equal(t, View{Versions: []string{"v2"}, Recorded: true}, h.View("s"))
	require.False(t, s.write(t, now.Add(time.Hour), h, true))
}

// TestVersionThatRetiresIsRecordedAgainBeforeItServes lets an endpoint of the version come back.
func TestVersionThatRetiresIsRecordedAgainBeforeItServes(t *testing.T) {
	s := recordStore{revision: 1, record: Record{}.with([]string{"v1", "v2"})}
	h := s.newHistory(start, "v2")
	require.True(t, s.write(t, start, h, true))
	now := start.Add(retention - recordRetry)
	observe(now, h, "v1", "v2")
	require.True(t, h.Unrecorded(now, "s", "v1"))
	require.True(t, s.write(t, now, h, true))
	require.False(t, h.Unrecorded(now, "s", "v1"))
	require.False(t, s.write(t, start.Add(time.Hour), h, true))
}

// TestNoVersionRetiresWhileNoEndpointIsSeen guards against a router without a view that empties the record.
func TestNoVersionRetiresWhileNoEndpointIsSeen(t *testing.T) {
	s := recordStore{revision: 1, record: Record{}.with([]string{"v1"})}
	h := s.newHistory(start)
	require.False(t, s.write(t, start.Add(time.Hour), h, true))
}

// TestRecordThatTheStoreForgotIsWrittenAgain lets the store come back from a copy without the record, and from one with an
// older record.
func TestRecordThatTheStoreForgotIsWrittenAgain(t *testing.T) {
	s := recordStore{revision: 5, record: Record{}.with([]string{"v1", "v2"})}
	h := s.newHistory(start, "v2")
	now := start.Add(time.Second)
	s = recordStore{}
	h.Synced(now, nil)
	require.True(t, h.Unrecorded(now, "s", "v2"))
	require.Equal(t, View{Versions: []string{"v1", "v2"}}, h.View("s"))
	require.True(t, s.write(t, now, h, true))
	require.Equal(t, []string{"v1", "v2"}, s.record.names())

	s = recordStore{revision: 1 << 40, record: Record{}.with([]string{"v1"})}
	h.Adopt(now, "s", s.revision, s.record)
	now = now.Add(recordRetry)
	require.Equal(t, []string{"v1", "v2"}, h.View("s").Versions)
	require.True(t, s.write(t, now, h, true))
	require.Equal(t, []string{"v1", "v2"}, s.record.names())
}

// TestHomesAreToldByARouterWithAnOldCopy guards against a router out of step that tells nobody where its streams begin.
func TestHomesAreToldByARouterWithAnOldCopy(t *testing.T) {
	s := recordStore{revision: 1, record: Record{}.with([]string{"v1"})}
	h := s.newHistory(start, "v1")
	require.False(t, h.MustTell(maxQuietAge, "s"))
	require.True(t, h.MustTell(maxQuietAge+1, "s"))
	h.Adopt(start, "s", 2, Record{}.with([]string{"v1", "v2"}))
	require.True(t, h.MustTell(0, "s"), "the record names a version that the router does not see")
}

// TestOlderRecordIsNotAdopted lets a read that was under way end after a write.
func TestOlderRecordIsNotAdopted(t *testing.T) {
	var h History
	require.True(t, h.Adopt(start, "s", 2, Record{}.with([]string{"v1", "v2"})))
	require.False(t, h.Adopt(start, "s", 1, Record{}.with([]string{"v1"})))
	require.Equal(t, []string{"v1", "v2"}, h.View("s").Versions)
}

func TestRecordFormat(t *testing.T) {
	r, _ := Record{}.with([]string{"v2", "v1"}).retire([]string{"v2"})
	value, err := json.Marshal(r)
	require.NoError(t, err)
	require.JSONEq(t, `{"Versions":[{"Version":"v1","Retiring":true},{"Version":"v2"}]}`, string(value))
	parsed, err := ParseRecord(value)
	require.NoError(t, err)
	require.Equal(t, r, parsed)
	_, err = ParseRecord([]byte("[]"))
	require.Error(t, err)
}

// TestUnreadableRecordProvesNothing lets another writer replace the record of two versions before all routers start again.
func TestUnreadableRecordProvesNothing(t *testing.T) {
	malformed, err := ParseRecord([]byte(`{"Versions":`))
	require.Error(t, err)
	s := recordStore{revision: 7, record: malformed}
	h := s.newHistory(start, "v2")
	require.True(t, s.write(t, start.Add(time.Second), h, true))
	e := Evidence{Fresh: true, Own: h.View("s")}
	_, proved := e.Version()
	require.False(t, proved, "a stream of v1, which was recorded before, goes on at v2")
}

// TestLaggingHomeDoesNotRetireAVersionThatServes lets the home's feed of endpoints stand for fifteen seconds, but not that of the records.
func TestLaggingHomeDoesNotRetireAVersionThatServes(t *testing.T) {
	s := recordStore{revision: 1, record: Record{}.with([]string{"v1"})}
	home := s.newHistory(start, "v1")
	other := s.newHistory(start, "v1")
	const step = 20 * time.Millisecond // A router sees another one's write a step later.
	var writes, admitted, steps int
	for now := start.Add(time.Second); now.Before(start.Add(16 * time.Second)); now = now.Add(step) {
		other.Adopt(now, "s", s.revision, s.record)
		observe(now, other, "v2") // The last endpoint of v1 has left.
		if s.write(t, now, other, false) {
			writes++
		}
		steps++
		if !other.Unrecorded(now, "s", "v2") {
			admitted++
		}
		later := now.Add(step / 2)
		home.Adopt(later, "s", s.revision, s.record)
		observe(later, home, "v1")
		if s.write(t, later, home, true) {
			writes++
		}
	}
	t.Logf("%d writes, streams may begin at v2 in %d of %d steps", writes, admitted, steps)
	require.LessOrEqual(t, writes, 4)
	require.Greater(t, float64(admitted), 0.8*float64(steps))
}
