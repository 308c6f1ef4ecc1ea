package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// EntryList tells a caller which addresses to use, the preferred one first.
type EntryList struct {
	Entries     []Entry
	KeepSeconds int // The caller asks again after this time.
}

// Entry is one address of an EntryList.
type Entry struct {
	VM         string
	Address    string
	DataCentre string
	Weight     float64 // Share of new requests that the address should get, relative to the others.
}

// minWeight keeps a fully loaded VM in the list for the case that all are.
const minWeight = 0.05

// EntryList returns the addresses for one caller.
//
// The order is a weighted random one, so that callers that only use the first
// address spread over the VMs by their free capacity; random returns numbers
// in [0, 1).
func (r *Roster) EntryList(keep time.Duration, random func() float64) EntryList {
	serving := r.serving()
	type ranked struct {
		Entry
		rank float64
	}
	list := make([]ranked, 0, len(serving))
	for _, m := range serving {
		weight := m.Size * max(minWeight, 1-m.Load)
		// The exponential race: the first of independent exponential times with rate weight.
		list = append(list, ranked{Entry{m.VM, m.Address, m.DataCentre, weight}, -math.Log1p(-random()) / weight})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	out := EntryList{KeepSeconds: int(keep / time.Second)}
	for _, e := range list[:min(len(list), entryListLength)] {
		out.Entries = append(out.Entries, e.Entry)
	}
	return out
}

// serving returns the VMs that may be given to callers.
func (r *Roster) serving() []Member {
	all := append([]Member{r.Self}, r.Peers()...)
	fit := slices.DeleteFunc(slices.Clone(all), func(m Member) bool {
		return m.State != Alive || r.leaving[m.VM] || m.Size <= 0
	})
	if len(fit) > 0 {
		return fit
	}
	return slices.DeleteFunc(all, func(m Member) bool { return m.Size <= 0 })
}
