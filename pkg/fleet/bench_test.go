package fleet

import (
	"testing"
	"time"

	"github.com/foxtaillanding/foxtaillanding/internal/proof"
)

// joinedCluster returns 430 rosters after enough periods for each to have received updates about all others.
func joinedCluster() *cluster {
	c := newCluster(430)
	for range 100 {
		c.period()
	}
	return c
}

// BenchmarkProbePeriodPerVM measures a probe period of one VM among 430: its own probes and as many incoming ones.
func BenchmarkProbePeriodPerVM(b *testing.B) {
	c := joinedCluster()
	r := c.rosters[0]
	b.ReportAllocs()
	for b.Loop() {
		c.now = c.now.Add(ProbePeriod)
		for _, action := range r.Handle(c.now, Tick{}) {
			if probe, ok := action.(Probe); ok {
				r.Handle(c.now, UpdatesReceived{probe.Updates})
				r.Updates()
				r.Handle(c.now, UpdatesReceived{probe.Updates})
			}
		}
	}
}

func BenchmarkBytesPerPeer(b *testing.B) {
	const n = 430
	proof.ReportBytesPerItem(b, n, func() any {
		r := &Roster{Self: Member{VM: name(0), Incarnation: 1}}
		var vms []ConfiguredVM
		var updates []Member
		for i := range n {
			vms = append(vms, ConfiguredVM{VM: name(i), Address: "10.0.0.1:8080", DataCentre: "region-1-a", Size: 1})
			updates = append(updates, Member{VM: name(i), Incarnation: 1})
		}
		r.Handle(time.Time{}, Configured{vms})
		r.Handle(time.Time{}, UpdatesReceived{updates})
		return r
	})
}

func BenchmarkEntryList(b *testing.B) {
	c := joinedCluster()
	b.ReportAllocs()
	for b.Loop() {
		c.rosters[0].EntryList(time.Second, func() float64 { return 0.5 })
	}
}
