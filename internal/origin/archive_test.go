package origin

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestRowsOfTheWholeFleetUseASmallPartOfTheWrites checks the write rate of fleets of several sizes.
func TestRowsOfTheWholeFleetUseASmallPartOfTheWrites(t *testing.T) {
	for _, fleet := range []struct {
		routers   int
		perSecond float64
		interval  time.Duration
		share     float64
	}{
		{6, 400, 75 * time.Millisecond, 0.2},
		{78, 1200, 650 * time.Millisecond, 0.1},
		{295, 3200, 921875 * time.Microsecond, 0.1},
	} {
		interval := WriteInterval(fleet.routers, fleet.perSecond)
		require.Equal(t, fleet.interval, interval)
		require.InDelta(t, fleet.share, float64(fleet.routers)/interval.Seconds()/fleet.perSecond, 1e-6)
	}
	require.Equal(t, minWriteInterval, WriteInterval(3, 0), "no limit is known")
	require.Equal(t, settlingInterval, WriteInterval(0, 400), "a router that has just started does not know the others")
	require.Equal(t, settlingReadPause, ReadInterval(0, 400))
	require.Equal(t, minReadInterval, ReadInterval(6, 2000))
}

// TestRowIsWrittenOnlyWhenItChanged follows a schedule through changes, a calm, and writes that fail.
func TestRowIsWrittenOnlyWhenItChanged(t *testing.T) {
	const interval = 200 * time.Millisecond
	var s WriteSchedule
	now := start
	require.False(t, s.Next(1, interval, false).After(now), "the first row is not delayed")
	require.False(t, s.Written(now, 1, true))
	require.Equal(t, now.Add(refreshPeriod), s.Next(1, interval, false), "the store may come back from an older copy")
	require.Equal(t, now.Add(interval), s.Next(2, interval, false), "changed")
	require.Equal(t, now.Add(urgentInterval), s.Next(2, interval, true), "a stream waits")
	require.Equal(t, now.Add(time.Minute), s.Next(1, time.Minute, false), "the rate comes first")

	now = now.Add(interval)
	require.True(t, s.Written(now, 2, false), "begins to fail")
	require.Equal(t, now.Add(writeRetryDelay), s.Next(2, interval, false))
	require.Equal(t, now.Add(writeRetryDelay), s.Next(2, interval, true))
	require.Equal(t, now.Add(time.Minute), s.Next(2, time.Minute, false))
	now = now.Add(writeRetryDelay)
	require.False(t, s.Written(now, 2, false), "goes on failing")
	now = now.Add(writeRetryDelay)
	require.True(t, s.Written(now, 2, true), "succeeds again")
	require.Equal(t, now.Add(refreshPeriod), s.Next(2, interval, false))
}

// TestRowsAreNeededForAMinuteAfterTheSecondVersion guards against rows that end with the last endpoint of a version, while
// its streams can still be taken up.
func TestRowsAreNeededForAMinuteAfterTheSecondVersion(t *testing.T) {
	var s WriteSchedule
	require.False(t, s.Needed(start, "s", false))
	require.True(t, s.Needed(start, "s", true))
	require.True(t, s.Needed(start.Add(severalRetention-1), "s", false))
	require.False(t, s.Needed(start.Add(severalRetention-1), "other", false))
	require.True(t, s.NeededLately(start.Add(severalRetention-1)))
	require.False(t, s.Needed(start.Add(severalRetention), "s", false))
	require.False(t, s.NeededLately(start.Add(severalRetention)))
}

// TestReadsAreBounded follows a schedule through reads that succeed and fail.
func TestReadsAreBounded(t *testing.T) {
	var s ReadSchedule
	require.True(t, s.Next(time.Hour).IsZero(), "the first read is not delayed")
	s.Began(start)
	require.Equal(t, start.Add(time.Second), s.Next(time.Second))
	s.Ended(start, false)
	require.True(t, s.Refused(start.Add(readRetryDelay-1)))
	require.False(t, s.Refused(start.Add(readRetryDelay)))
	s.Ended(start, true)
	require.False(t, s.Refused(start))
}

// TestRowHoldsStreamsThatEndedLately lets streams begin, end and go on.
func TestRowHoldsStreamsThatEndedLately(t *testing.T) {
	var r Registry
	o := Origin{Stream: "1", Service: "s", Version: "v1"}
	r.Began(start, o)
	require.EqualValues(t, 1, r.Changes())
	row := r.Row(start, never)
	require.Zero(t, row.Len())
	row = r.Row(start, always)
	require.Equal(t, []RowGroup{{"s", "v1", true, []StreamHash{HashOf("1")}}}, row.Groups)
	r.Ended("1")
	r.Ended("unknown")
	row = r.Row(start, always)
	require.Equal(t, 1, row.Len(), "its caller may take it up")
	row = r.Row(start.Add(servedRetention), always)
	require.Equal(t, 1, row.Len())
	r.Began(start, o)
	require.EqualValues(t, 1, r.Changes(), "the row holds it already")
	row = r.Row(start.Add(2*servedRetention), always)
	require.Equal(t, 1, row.Len(), "it goes on here")
	r.Ended("1")
	_ = r.Row(start.Add(2*servedRetention), always)
	row = r.Row(start.Add(3*servedRetention+1), always)
	require.Zero(t, row.Len())
	r.Began(start, o)
	require.EqualValues(t, 2, r.Changes())

	r.Completed("unknown")
	r.Completed("1")
	r.Ended("1")
	row = r.Row(start, always)
	require.Equal(t, 1, row.Len(), "its end may not have reached the caller")
	row = r.Row(start.Add(wholeRetention+1), always)
	require.Zero(t, row.Len())
}

// TestRowHoldsStreamsBeforeTheirFirstEvent guards against streams that are not known after a loss of power in the moment
// after their first event, because that moment is shorter than the write of a row.
func TestRowHoldsStreamsBeforeTheirFirstEvent(t *testing.T) {
	var r Registry
	o := Origin{Stream: "1", Service: "s", Version: "v1"}
	r.Sent(o)
	r.Sent(o)
	require.EqualValues(t, 1, r.Changes())
	_, known := r.Find(start, "1")
	require.False(t, known, "it has not begun")
	row := r.Row(start, always)
	require.Equal(t, []RowGroup{{"s", "v1", false, []StreamHash{HashOf("1")}}}, row.Groups)
	require.False(t, r.Began(start, o))
	require.EqualValues(t, 1, r.Changes(), "the row holds it already")
	r.Sent(Origin{Stream: "1", Service: "s", Version: "v2"})
	require.EqualValues(t, 1, r.Changes(), "it has begun")

	r.Sent(Origin{Stream: "2", Service: "s", Version: "v1"})
	r.Ended("2")
	row = r.Row(start, always)
	require.Equal(t, 1, row.Len(), "the second stream never began")
}

// TestRowNamesNoVersionThatAStreamLeftBeforeItsFirstEvent guards against a stream that goes on at the version to which its
// request was sent first, when another one began it.
func TestRowNamesNoVersionThatAStreamLeftBeforeItsFirstEvent(t *testing.T) {
	first, second := Origin{Stream: "1", Service: "s", Version: "v1"}, Origin{Stream: "1", Service: "s", Version: "v2"}
	for _, written := range []bool{false, true} {
		var r Registry
		r.Sent(first)
		if written {
			_ = r.Row(start, always)
		}
		changes := r.Changes()
		r.Sent(second)
		require.Greater(t, r.Changes(), changes, "the row is written again")
		row := r.Row(start, always)
		if written {
			require.Zero(t, row.Len(), "which version begins it is open")
		} else {
			require.Equal(t, "v2", row.Groups[0].Version)
		}
		changes = r.Changes()
		require.Equal(t, written, r.Began(start, second), "whether a row may name the first version")
		if written {
			require.Greater(t, r.Changes(), changes)
		}
		row = r.Row(start, always)
		require.Equal(t, []RowGroup{{"s", "v2", true, []StreamHash{HashOf("1")}}}, row.Groups)
		require.False(t, r.Began(start, second))
	}
	var r Registry
	r.Sent(first)
	_ = r.Row(start, always)
	require.True(t, r.Began(start, second), "sent elsewhere without notice")
}

// TestRowIsBounded ends more streams than a router retains.
func TestRowIsBounded(t *testing.T) {
	var r Registry
	for n := range maxRetainedStreams + 100 {
		id := strconv.Itoa(n)
		r.Began(start, Origin{Stream: id, Service: "s", Version: "v1"})
		r.Ended(id)
	}
	row := r.Row(start, always)
	require.LessOrEqual(t, row.Len(), maxRetainedStreams)
	require.Less(t, len(row.Encode()), 1<<20, "the store's limit of a value")
}

// TestRowsSurviveEncoding encodes and decodes arbitrary rows, and rows of which any byte is changed or missing.
func TestRowsSurviveEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		groups := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) RowGroup {
			hashes := rapid.SliceOf(rapid.Custom(func(t *rapid.T) StreamHash { return StreamHash(rapid.Uint64().Draw(t, "hash")) })).Draw(t, "hashes")
			if len(hashes) == 0 {
				hashes = nil
			}
			return RowGroup{Service: rapid.String().Draw(t, "service"), Version: rapid.String().Draw(t, "version"), Begun: rapid.Bool().Draw(t, "begun"), Streams: hashes}
		}), 1, 4).Draw(t, "groups")
		row := Row{WrittenAt: time.UnixMilli(rapid.Int64().Draw(t, "at")), Groups: groups}
		data := row.Encode()
		again, err := DecodeRow(data)
		require.NoError(t, err)
		require.Equal(t, row, again)

		at := rapid.IntRange(0, len(data)-1).Draw(t, "torn at")
		_, err = DecodeRow(data[:at])
		require.Error(t, err, "torn")
		data[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		_, err = DecodeRow(data)
		require.Error(t, err, "changed")
	})
}

// FuzzDecodeRow decodes arbitrary bytes.
func FuzzDecodeRow(f *testing.F) {
	row := Row{WrittenAt: start, Groups: []RowGroup{{"s", "v1", true, []StreamHash{1, 2}}, {"s", "v2", false, nil}}}
	f.Add(row.Encode())
	f.Add([]byte{})
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if row, err := DecodeRow(data); err == nil {
			require.LessOrEqual(t, row.Len()*hashBytes, len(data))
		}
	})
}

// TestIndexKnowsNoStreamOfTwoVersions adds rows of several routers that agree on one stream and differ on another.
func TestIndexKnowsNoStreamOfTwoVersions(t *testing.T) {
	var x Index
	require.Equal(t, Found{}, x.Find("1"))
	x.Add(Row{WrittenAt: start, Groups: []RowGroup{{"s", "v1", true, []StreamHash{HashOf("1"), HashOf("2")}}, {"s", "v2", true, []StreamHash{HashOf("3")}}}}, false)
	x.Add(Row{WrittenAt: start, Groups: []RowGroup{{"s", "v1", true, []StreamHash{HashOf("1")}}, {"s", "v2", true, []StreamHash{HashOf("2")}}}}, false)
	require.Equal(t, Found{Origin: Origin{"1", "s", "v1"}, Known: true, Final: true, WrittenAt: start}, x.Find("1"))
	require.Equal(t, Found{Conflict: true}, x.Find("2"))
	require.Equal(t, "v2", x.Find("3").Origin.Version)
	require.False(t, x.Find("4").Known)
	require.Equal(t, 1, x.Conflicts)
	require.Equal(t, 5, x.Streams)
}

// TestIndexPrefersStreamsThatHaveBegun adds rows of two routers, at one of which a request was given up before a stream began.
func TestIndexPrefersStreamsThatHaveBegun(t *testing.T) {
	sent := Row{WrittenAt: start, Groups: []RowGroup{{"s", "v1", false, []StreamHash{HashOf("1"), HashOf("2")}}}}
	begun := Row{WrittenAt: start, Groups: []RowGroup{{"s", "v2", true, []StreamHash{HashOf("1")}}, {"s", "v2", false, []StreamHash{HashOf("2")}}}}
	for _, rows := range [][]Row{{sent, begun}, {begun, sent}} {
		var x Index
		for _, row := range rows {
			x.Add(row, false)
		}
		require.Equal(t, Found{Origin: Origin{"1", "s", "v2"}, Known: true, Final: true, WrittenAt: start}, x.Find("1"))
		require.Equal(t, Found{Conflict: true}, x.Find("2"))
	}
}

// TestIndexOfManyStreams adds 16,384 streams of 295 routers and finds each at its version.
func TestIndexOfManyStreams(t *testing.T) {
	const streams, routers = 16384, 295
	registries := make([]Registry, routers)
	version := func(n int) string { return "v" + strconv.Itoa(n%3) }
	for n := range streams {
		registries[n%routers].Began(start, Origin{Stream: strconv.Itoa(n), Service: "s", Version: version(n)})
	}
	var x Index
	for i := range registries {
		row := registries[i].Row(start, always)
		decoded, err := DecodeRow(row.Encode())
		require.NoError(t, err)
		x.Add(decoded, false)
	}
	require.Equal(t, streams, x.Streams)
	require.Zero(t, x.Conflicts)
	for n := range streams {
		require.Equal(t, version(n), x.Find(strconv.Itoa(n)).Origin.Version)
	}
	require.False(t, x.Find("none").Known)
}
