package fleet

import (
	"cmp"
	"slices"
)

// ForwardTerms describes the routers that may serve requests of a router that cannot serve them itself.
type ForwardTerms struct {
	DataCentre string            // Data centre of that router, whose other routers are preferred.
	Excluded   func(Member) bool // Further routers to leave out; nil leaves out none.
}

// permits reports whether a router may serve the requests.
func (t ForwardTerms) permits(m Member) bool {
	return m.State == Alive && !m.NoPath && m.Size > 0 && (t.Excluded == nil || !t.Excluded(m))
}

// tier returns the group of a router; those of a lower tier come first.
func (t ForwardTerms) tier(m Member) int {
	tier := 0
	if m.DataCentre != t.DataCentre {
		tier++
	}
	if m.Load >= 1 {
		tier += 2
	}
	return tier
}

// ForwardTargets returns at most n of the members, in the order in which to ask them to serve a request.
//
// Those of the own data centre come before the others, and fully loaded ones last. Within such a group the order is
// random, weighted by size, so that routers that cannot serve do not all turn to the same one. The function random
// returns numbers in [0, 1).
//
// The settings in force at a router are no criterion: what is known of them is older than the settings that a router
// may have just got, so it has to compare them itself when it is asked.
func ForwardTargets(members []Member, terms ForwardTerms, n int, random func() float64) []Member {
	best := make([]rankedTarget, 0, n+1)
	for _, m := range members {
		if !terms.permits(m) {
			continue
		}
		next := rankedTarget{m, terms.tier(m), rank(random(), m.Size)}
		i, _ := slices.BinarySearchFunc(best, next, rankedTarget.compare)
		best = slices.Insert(best, i, next)
		best = best[:min(n, len(best))]
	}
	targets := make([]Member, 0, len(best))
	for _, t := range best {
		targets = append(targets, t.Member)
	}
	return targets
}

// rankedTarget is a router with its place in the order of ForwardTargets.
type rankedTarget struct {
	Member

	tier int
	rank float64
}

func (t rankedTarget) compare(other rankedTarget) int {
	return cmp.Or(cmp.Compare(t.tier, other.tier), cmp.Compare(t.rank, other.rank))
}
