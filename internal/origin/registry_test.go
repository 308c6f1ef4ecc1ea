package origin

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func always(string) bool { return true }

func never(string) bool { return false }

func homes(names ...string) func(string) []string { return func(string) []string { return names } }

// TestOriginsAreToldOnceToEachHome lets a home die, a stream end and a service get a second version.
func TestOriginsAreToldOnceToEachHome(t *testing.T) {
	var r Registry
	o := Origin{Stream: "1", Service: "s", Version: "v1"}
	r.Began(start, o)
	require.Empty(t, r.Untold(start, never, homes("a", "b")))
	require.Equal(t, map[string][]Origin{"a": {o}, "b": {o}}, r.Untold(start, always, homes("a", "b")))
	require.Empty(t, r.Untold(start, always, homes("a", "b")))
	require.Equal(t, map[string][]Origin{"c": {o}}, r.Untold(start, always, homes("b", "c")))
	require.Equal(t, map[string][]Origin{"b": {o}, "c": {o}}, r.Untold(start.Add(ttl), always, homes("b", "c")), "before they forget it")
	r.Ended("1")
	require.Equal(t, map[string][]Origin{"d": {o}}, r.Untold(start.Add(ttl), always, homes("b", "d")), "the caller may take it up")
	require.Empty(t, r.Untold(start.Add(ttl), always, homes("e")))
}

// TestOriginsAreKnownForAWhile also tells another version of a stream that is known.
func TestOriginsAreKnownForAWhile(t *testing.T) {
	var r Registry
	_, known := r.Find(start, "1")
	require.False(t, known)
	r.Learn(start, []Origin{{Stream: "1", Service: "s", Version: "v1"}})
	r.Learn(start, []Origin{{Stream: "1", Service: "s", Version: "v2"}})
	o, known := r.Find(start.Add(ttl), "1")
	require.True(t, known)
	require.Equal(t, "v1", o.Version)
	_, known = r.Find(start.Add(ttl+1), "1")
	require.False(t, known)
	for n := range maxKnown + 1 {
		r.Learn(start, []Origin{{Stream: strconv.Itoa(n + 10)}})
	}
	require.Equal(t, maxKnown, r.known.Len())
}
