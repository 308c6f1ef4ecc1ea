package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// vms returns the VMs of the members.
func vms(members []Member) []string {
	var out []string
	for _, m := range members {
		out = append(out, m.VM)
	}
	return out
}

func TestForwardTargetsAreThoseThatCanServe(t *testing.T) {
	members := []Member{
		{VM: "far", DataCentre: "dc-2", Size: 1},
		{VM: "far-full", DataCentre: "dc-2", Size: 1, Load: 1},
		{VM: "near-full", DataCentre: "dc-1", Size: 1, Load: 1},
		{VM: "near", DataCentre: "dc-1", Size: 1},
		{VM: "draining", DataCentre: "dc-1", Size: 1, State: Draining},
		{VM: "suspected", DataCentre: "dc-1", Size: 1, State: Suspected},
		{VM: "no-path", DataCentre: "dc-1", Size: 1, NoPath: true},
		{VM: "excluded", DataCentre: "dc-1", Size: 1},
	}
	terms := ForwardTerms{DataCentre: "dc-1", Excluded: func(m Member) bool { return m.VM == "excluded" }}
	random := rand.New(rand.NewPCG(1, 1)).Float64
	require.Equal(t, []string{"near", "far", "near-full", "far-full"}, vms(ForwardTargets(members, terms, 9, random)))
	require.Equal(t, []string{"near", "far"}, vms(ForwardTargets(members, terms, 2, random)))
	require.Empty(t, ForwardTargets(members[4:], terms, 9, random))
	require.Empty(t, ForwardTargets(nil, ForwardTerms{}, 3, random))
}

func TestForwardTargetsAreSpreadBySize(t *testing.T) {
	const draws = 10000
	members := []Member{{VM: "small", Size: 1}, {VM: "large", Size: 3}, {VM: "medium", Size: 2}}
	random := rand.New(rand.NewPCG(2, 2)).Float64
	first := map[string]int{}
	for range draws {
		first[ForwardTargets(members, ForwardTerms{}, 1, random)[0].VM]++
	}
	for _, m := range members {
		require.InDelta(t, m.Size/6, float64(first[m.VM])/draws, 0.02, m.VM)
	}
}

// BenchmarkForwardTargets measures the choice that a router makes for each request that it hands over.
func BenchmarkForwardTargets(b *testing.B) {
	for _, n := range []int{6, 73, 295} {
		members := make([]Member, n-1)
		for i := range members {
			members[i] = Member{VM: name(i), DataCentre: fmt.Sprint("dc-", i%3), Size: 100}
		}
		b.Run(fmt.Sprint("Routers=", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				ForwardTargets(members, ForwardTerms{DataCentre: "dc-0"}, 3, rand.Float64)
			}
		})
	}
}
