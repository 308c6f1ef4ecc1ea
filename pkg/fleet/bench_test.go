package fleet

import (
	"testing"
	"time"

	"github.com/foxtaillanding/foxtaillanding/internal/proof"
)

// joinedLoop returns 430 rosters that know of each other's existence.
func joinedLoop() *loop {
	l := newLoop(430)
	for range 100 {
		l.period()
	}
	return l
}

// BenchmarkPeriodOfOneVM measures a probe period of one VM among 430: its probes, and about as many that it answers.
func BenchmarkPeriodOfOneVM(b *testing.B) {
	l := joinedLoop()
	r := l.rosters[0]
	b.ReportAllocs()
	for b.Loop() {
		l.now = l.now.Add(ProbePeriod)
		for _, action := range r.Handle(l.now, Tick{}) {
			if probe, ok := action.(Probe); ok {
				r.Handle(l.now, Heard{probe.Updates})
				r.Updates()
				r.Handle(l.now, Heard{probe.Updates})
			}
		}
	}
}

func BenchmarkBytesForEachPeer(b *testing.B) {
	const n = 430
	proof.BytesEach(b, n, func() any {
		r := &Roster{Self: Member{VM: name(0), Incarnation: 1}}
		var seeds []Seed
		var updates []Member
		for i := range n {
			seeds = append(seeds, Seed{VM: name(i), Address: "10.0.0.1:8080", DataCentre: "region-1-a", Size: 1})
			updates = append(updates, Member{VM: name(i), Incarnation: 1})
		}
		r.Handle(time.Time{}, Configured{seeds})
		r.Handle(time.Time{}, Heard{updates})
		return r
	})
}

func BenchmarkEntryList(b *testing.B) {
	l := joinedLoop()
	b.ReportAllocs()
	for b.Loop() {
		l.rosters[0].EntryList(time.Second, func() float64 { return 0.5 })
	}
}
