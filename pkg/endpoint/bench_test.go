package endpoint

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxtaillanding/foxtaillanding/internal/proof"
)

func poolOf(n int) *Pool {
	p := &Pool{}
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{Name: fmt.Sprintf("engine-%04d", i), Serves: []string{"m"}, Slots: 8, TokensPerSecond: 50})
	}
	p.Handle(start, Configured{list})
	return p
}

func benchmarkRequest(b *testing.B, endpoints int) {
	p := poolOf(endpoints)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := start.Add(time.Duration(i) * time.Millisecond)
		p.Handle(now, Submitted{Request{ID: "x", Service: "m", OutputTokens: 300, PromptTokens: 500, Prefix: uint64(i), Deadline: now.Add(time.Minute)}})
		p.Handle(now, FirstToken{"x"})
		p.Handle(now, Ended{"x", Finished, 300})
	}
}

func BenchmarkRequestWith28Endpoints(b *testing.B)  { benchmarkRequest(b, 28) }
func BenchmarkRequestWith120Endpoints(b *testing.B) { benchmarkRequest(b, 120) }

func BenchmarkReport(b *testing.B) {
	p := poolOf(120)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		p.Handle(start.Add(time.Duration(i)*time.Millisecond), LoadReported{"engine-0003", Load{Running: i % 8}})
	}
}

// BenchmarkArrivalWith1000Waiting measures an arrival under overload, when no endpoint has a free slot.
func BenchmarkArrivalWith1000Waiting(b *testing.B) {
	p := poolOf(28)
	for i := range 28*8 + 1000 {
		p.Handle(start, Submitted{Request{ID: fmt.Sprint(i), Service: "m", Account: fmt.Sprint(i % 40), OutputTokens: 1, Deadline: start.Add(time.Hour)}})
	}
	b.ReportAllocs()
	for b.Loop() {
		p.Handle(start, Submitted{Request{ID: "x", Service: "m", OutputTokens: 1, Deadline: start.Add(time.Hour)}})
		p.Handle(start, Withdrawn{"x"})
	}
}

func BenchmarkBytesForEachEndpoint(b *testing.B) {
	const n = 1000
	proof.ReportBytesPerItem(b, n, func() any { return poolOf(n) })
}
