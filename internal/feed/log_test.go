package feed

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func change(key string, version uint64) keyvalue.Change {
	return keyvalue.Change{Entry: keyvalue.Entry{Key: key, Version: version}}
}

func deletion(key string, version uint64) keyvalue.Change {
	return keyvalue.Change{Entry: keyvalue.Entry{Key: key, Version: version}, Deleted: true}
}

func TestLogPassesOnWhatAFollowerMisses(t *testing.T) {
	var l Log
	_, ok := l.Since(0)
	require.False(t, ok, "an empty log has nothing to pass on")
	require.False(t, l.Apply(Update{Changes: []keyvalue.Change{change("a", 3)}, Revision: 3}, start), "changes without a snapshot are incomplete")
	require.True(t, l.Apply(Update{Snapshot: true, Changes: []keyvalue.Change{change("a", 3), change("b", 5)}, Revision: 10}, start))
	require.True(t, l.Apply(Update{Changes: []keyvalue.Change{change("c", 12), deletion("a", 14)}, Revision: 14}, start))

	u, ok := l.Since(10)
	require.True(t, ok)
	require.Equal(t, Update{Changes: []keyvalue.Change{change("c", 12), deletion("a", 14)}, Revision: 14}, u)
	u, _ = l.Since(12)
	require.Equal(t, []keyvalue.Change{deletion("a", 14)}, u.Changes)
	u, _ = l.Since(9)
	require.Equal(t, Update{Snapshot: true, Changes: []keyvalue.Change{change("b", 5), change("c", 12)}, Revision: 14}, u)
	u, _ = l.Since(20)
	require.Equal(t, Update{Revision: 20}, u, "a follower that is ahead misses nothing and does not go back")
}

func TestLogRejectsOlderState(t *testing.T) {
	var l Log
	l.Apply(Update{Snapshot: true, Changes: []keyvalue.Change{change("a", 8)}, Revision: 10}, start)
	require.False(t, l.Apply(Update{Snapshot: true, Revision: 9}, start))
	require.True(t, l.Apply(Update{Changes: []keyvalue.Change{change("a", 7)}, Revision: 10}, start))
	u, _ := l.Since(0)
	require.Equal(t, []keyvalue.Change{change("a", 8)}, u.Changes)
}

func TestLogKeepsABoundedNumberOfChanges(t *testing.T) {
	var l Log
	l.Apply(Update{Snapshot: true, Revision: 1}, start)
	for i := uint64(2); i < 4*maxChanges; i++ {
		l.Apply(Update{Changes: []keyvalue.Change{change(fmt.Sprint(i%7), i)}, Revision: i}, start)
	}
	require.LessOrEqual(t, len(l.changes), maxChanges)
	u, _ := l.Since(1)
	require.True(t, u.Snapshot)
	require.Len(t, u.Changes, 7)
}

func TestOneOutageIsReportedOnce(t *testing.T) {
	var l Log
	require.True(t, l.Recovered(start))
	require.False(t, l.Recovered(start.Add(300*time.Millisecond)), "a reader noticed the same recovery slightly later")
	require.True(t, l.Recovered(start.Add(10*time.Second)))
}

// TestPollEndsBeforeTheCopyIsTooOld guards against a reader that is first cut from the store and then frozen: its follower has to
// read the store before its own copy is 2 s old.
func TestPollEndsBeforeTheCopyIsTooOld(t *testing.T) {
	for age := time.Duration(0); age <= MaxAge; age += 100 * time.Millisecond {
		wait, timeout := PollLimits(age)
		require.Less(t, age+timeout, 2*time.Second, age)
		require.Less(t, wait, timeout, age)
	}
	wait, timeout := PollLimits(time.Minute)
	require.Positive(t, wait)
	require.Less(t, wait, timeout, "a reader that waits for changes answers in time")
}
