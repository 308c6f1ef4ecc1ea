package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// EntryList is the list of addresses that a caller should use, the preferred one first.
type EntryList struct {
	Entries     []Entry
	KeepSeconds int // Seconds after which the caller fetches a new list.
}

// Entry is one address of an EntryList.
type Entry struct {
	VM         string
	Address    string
	DataCentre string
	Weight     float64 // Relative share of new requests that the address should get.
}

// minFreeCapacity is the least free share of a VM's capacity that its weight is based on.
//
// It keeps a fully loaded VM in the list in case all VMs are fully loaded.
const minFreeCapacity = 0.05

// EntryList returns the addresses for one caller.
//
// The order is random, weighted by free capacity, so that callers that only use
// the first address are spread over the VMs in proportion to it. The function
// random returns numbers in [0, 1).
func (r *Roster) EntryList(keep time.Duration, random func() float64) EntryList {
	members := r.eligible()
	type ranked struct {
		Entry
		rank float64
	}
	list := make([]ranked, 0, len(members))
	for _, m := range members {
		weight := m.Size * max(minFreeCapacity, 1-m.Load)
		// Weighted sampling: with exponentially distributed ranks of rate weight, the
		// chance of the lowest rank is proportional to the weight.
		list = append(list, ranked{Entry{m.VM, m.Address, m.DataCentre, weight}, -math.Log1p(-random()) / weight})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	out := EntryList{KeepSeconds: int(keep / time.Second)}
	for _, e := range list[:min(len(list), maxEntries)] {
		out.Entries = append(out.Entries, e.Entry)
	}
	return out
}

// eligible returns the VMs that an entry list may contain.
//
// It leaves out draining and leaving VMs unless there are no others, since an
// empty list would leave callers without an address.
func (r *Roster) eligible() []Member {
	all := append([]Member{r.Self}, r.Peers()...)
	available := slices.DeleteFunc(slices.Clone(all), func(m Member) bool {
		return m.State != Alive || r.leaving[m.VM] || m.Size <= 0
	})
	if len(available) > 0 {
		return available
	}
	return slices.DeleteFunc(all, func(m Member) bool { return m.Size <= 0 })
}
