package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
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
		list = append(list, ranked{Entry{m.VM, m.Address, m.DataCentre, weight}, rank(random(), weight)})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	out := EntryList{KeepSeconds: int(keep / time.Second)}
	for _, e := range list[:min(len(list), maxEntries)] {
		out.Entries = append(out.Entries, e.Entry)
	}
	return out
}

// rank turns a uniformly distributed number in [0, 1) into a rank for weighted sampling.
//
// With exponentially distributed ranks of rate weight, the chance of the lowest
// rank is proportional to the weight.
func rank(uniform, weight float64) float64 { return -math.Log1p(-uniform) / weight }

// keyRank returns the rank of a VM for a key by weighted rendezvous hashing; VMs of a higher weight have the lowest rank
// for more keys.
func keyRank(vm, key string, weight float64) float64 {
	const hashBits = 53 // As many as a float64 represents exactly.
	hash := xxhash.Sum64String(vm+"\x00"+key) >> (64 - hashBits)
	return rank(float64(hash)/(1<<hashBits), weight)
}

// Preferred returns the n members of the lowest rank for a key, the best first; members without weight are left out.
func Preferred(members []Member, key string, n int, weight func(Member) float64) []Member {
	type ranked struct {
		Member
		rank float64
	}
	list := make([]ranked, 0, len(members))
	for _, m := range members {
		if w := weight(m); w > 0 {
			list = append(list, ranked{m, keyRank(m.VM, key, w)})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.VM, b.VM)) })
	out := make([]Member, 0, n)
	for _, r := range list[:min(n, len(list))] {
		out = append(out, r.Member)
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
