package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
)

// entryDialect reads entries whose value is "ready", "leaving" or spoilt.
type entryDialect struct{ Dialect }

func (entryDialect) EntryName(key string) string { return strings.TrimPrefix(key, "e/") }

func (d entryDialect) Entry(key string, value []byte) (Entry, error) {
	if text := string(value); text != "ready" && text != "leaving" {
		return Entry{}, errors.New("spoilt")
	}
	return Entry{Name: d.EntryName(key), Service: "s", Address: "a:1", Leaving: string(value) == "leaving"}, nil
}

var began = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newEntries(names ...string) *entries {
	e := &entries{
		g:         &Gateway{dialect: entryDialect{}, log: zap.NewNop()},
		known:     map[string]*known{},
		restarted: map[string]bool{},
	}
	for _, name := range names {
		e.changed(began, keyvalue.Change{Entry: keyvalue.Entry{Key: "e/" + name, Value: []byte("ready")}})
	}
	return e
}

func (e *entries) remove(now time.Time, name string) {
	e.changed(now, keyvalue.Change{Entry: keyvalue.Entry{Key: "e/" + name}, Deleted: true})
}

func (e *entries) takes(now time.Time, name string) bool { return e.usable(now, e.known[name]) }

func TestAnEntryThatLapsedDuringAnOutageMayReturn(t *testing.T) {
	e := newEntries("back", "gone")
	back := began.Add(10 * time.Second)
	e.storeRegained(back)
	e.remove(back, "back")
	e.remove(back.Add(100*time.Millisecond), "gone")
	require.True(t, e.takes(back.Add(time.Second), "back"))
	e.changed(back.Add(1500*time.Millisecond), keyvalue.Change{Entry: keyvalue.Entry{Key: "e/back", Value: []byte("ready")}})
	require.True(t, e.takes(back.Add(time.Minute), "back"))
	require.False(t, e.takes(back.Add(2*time.Second), "gone"), "an endpoint that is still missing is taken as gone")
}

// TestAnEntryRemovedOnAHealthyWatchIsGoneAtOnce keeps two findings: removals soon after an outage were held as if they had lapsed.
func TestAnEntryRemovedOnAHealthyWatchIsGoneAtOnce(t *testing.T) {
	e := newEntries("a", "b")
	back := began.Add(10 * time.Second)
	e.storeRegained(back)
	e.remove(back, "a")
	e.changed(back.Add(500*time.Millisecond), keyvalue.Change{Entry: keyvalue.Entry{Key: "e/a", Value: []byte("ready")}})
	e.remove(back.Add(700*time.Millisecond), "a")
	require.False(t, e.takes(back.Add(700*time.Millisecond), "a"))
	e.remove(back.Add(time.Minute), "b")
	require.False(t, e.takes(back.Add(time.Minute), "b"))
}

// TestAnEntryIsNeverHeldForTwoSeconds bounds what an endpoint gets that left in the moment of the store's return.
func TestAnEntryIsNeverHeldForTwoSeconds(t *testing.T) {
	for after := time.Duration(0); after < lapseSeen; after += 50 * time.Millisecond {
		e := newEntries("a")
		back := began.Add(10 * time.Second)
		e.storeRegained(back)
		e.remove(back.Add(after), "a")
		require.False(t, e.takes(back.Add(after+1900*time.Millisecond), "a"), after)
	}
}

func TestAReadAfterALostHistoryFindsWhatIsMissing(t *testing.T) {
	e := newEntries("a", "b", "c")
	now := began.Add(time.Minute)
	e.read(now, []keyvalue.Entry{{Key: "e/a", Value: []byte("ready")}, {Key: "e/b", Value: []byte("leaving")}, {Key: "e/d", Value: []byte("\xff")}})
	require.True(t, e.takes(now, "a"))
	require.False(t, e.takes(now, "b"))
	require.False(t, e.takes(now, "c"))
	require.NotContains(t, e.known, "d")
}

// TestAnEndpointThatStartsAgainUnderItsNameIsANewOne gives an entry another time of its start.
func TestAnEndpointThatStartsAgainUnderItsNameIsANewOne(t *testing.T) {
	e := newEntries("a")
	require.NotContains(t, e.restarted, "a")
	e.changed(began, keyvalue.Change{Entry: keyvalue.Entry{Key: "e/a", Value: []byte("ready")}})
	require.NotContains(t, e.restarted, "a", "an entry that is written again")
	e.known["a"].Born = 1
	e.changed(began, keyvalue.Change{Entry: keyvalue.Entry{Key: "e/a", Value: []byte("ready")}})
	require.Contains(t, e.restarted, "a")
}
