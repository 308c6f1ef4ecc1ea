package route

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func table() *Table {
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

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"A.example:8080", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"b.example", "/x/y/", "other"},
		{"a.example", "/z/", ""},
		{"c.example", "/x/", ""},
	} {
		r, ok := table().Lookup(c.host, c.path)
		require.Equal(t, c.want != "", ok, c)
		if ok {
			require.Equal(t, c.want, r.Name, c)
		}
	}
}

func TestSplitIsStableAndFollowsTheWeights(t *testing.T) {
	r, _ := table().Lookup("a.example", "/x/y/")
	counts := map[string]int{}
	for i := range 10000 {
		id := fmt.Sprint("request ", i)
		require.Equal(t, r.Service(id), r.Service(id))
		counts[r.Service(id)]++
	}
	require.InDelta(t, 1000, counts["two"], 150)
	only, _ := table().Lookup("b.example", "/")
	require.Equal(t, "two", only.Service("x"))
	require.Empty(t, (&Route{}).Service("x"))
}

func TestAKeyFindsItsAccount(t *testing.T) {
	a, ok := table().Account("k2")
	require.True(t, ok)
	require.Equal(t, "ann", a.Name)
	_, ok = table().Account("k3")
	require.False(t, ok)
	_, ok = new(Table).Lookup("a", "/")
	require.False(t, ok)
}
