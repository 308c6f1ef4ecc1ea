package route

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func newTestTable() *Table {
	return NewTable(Configuration{
		Routes: []Route{
			{Name: "short", Host: "a.example", Prefix: "/x/", Targets: []Target{{"one", 1}}},
			{Name: "long", Host: "a.example", Prefix: "/x/y/", Targets: []Target{{"one", 90}, {"two", 10}}},
			{Name: "other", Host: "b.example", Prefix: "/", Targets: []Target{{"two", 0}}},
		},
		Services: []Service{{Name: "one"}, {Name: "two"}},
		Accounts: []Account{{Name: "ann", Keys: []string{"k1", "k2"}}},
	})
}

func TestLookupPrefersLongestPrefixOfHost(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"A.example:8080", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"b.example", "/x/y/", "other"},
		{"a.example", "/z/", ""},
		{"c.example", "/x/", ""},
	} {
		r, ok := newTestTable().Lookup(c.host, c.path)
		require.Equal(t, c.want != "", ok, c)
		if ok {
			require.Equal(t, c.want, r.Name, c)
		}
	}
}

func TestServiceChoiceIsStableAndWeighted(t *testing.T) {
	r, _ := newTestTable().Lookup("a.example", "/x/y/")
	counts := map[string]int{}
	for i := range 10000 {
		id := fmt.Sprint("request ", i)
		require.Equal(t, r.Service(id), r.Service(id))
		counts[r.Service(id)]++
	}
	require.InDelta(t, 1000, counts["two"], 150)
	single, _ := newTestTable().Lookup("b.example", "/")
	require.Equal(t, "two", single.Service("x"))
	require.Empty(t, (&Route{}).Service("x"))
}

func TestAccountByKey(t *testing.T) {
	a, ok := newTestTable().Account("k2")
	require.True(t, ok)
	require.Equal(t, "ann", a.Name)
	_, ok = newTestTable().Account("k3")
	require.False(t, ok)
	_, ok = new(Table).Lookup("a", "/")
	require.False(t, ok)
}
