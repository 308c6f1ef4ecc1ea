package budget

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/foxtaillanding/foxtaillanding/internal/proof"
)

// newGrantedHolder returns a holder with a large grant from each of n budgets.
func newGrantedHolder(n int) *Holder {
	h := &Holder{Name: "vm-1.0"}
	for i := range n {
		name := fmt.Sprint("budget-", i)
		record, _ := Record{Budget: name}.TopUp("first", 1<<50)
		h.Handle(start, Reserve{Request: "r", Budget: name, Tokens: 1 << 40})
		h.Handle(start, Loaded{Budget: name, Version: 1, Record: record})
		h.Handle(start, Committed{Budget: name, Outcome: TookEffect, Version: 2})
		h.Handle(start, Settle{"r", 1})
	}
	return h
}

func BenchmarkReserveAndSettle(b *testing.B) {
	h := newGrantedHolder(1)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := start.Add(time.Duration(i) * time.Microsecond)
		h.Handle(now, Reserve{Request: "x", Budget: "budget-0", Tokens: 700})
		h.Handle(now, Settle{"x", 300})
	}
}

func BenchmarkTickThousandBudgets(b *testing.B) {
	h := newGrantedHolder(1000)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		h.Handle(start.Add(time.Duration(i)*50*time.Millisecond), Tick{})
	}
}

func BenchmarkBytesPerBudget(b *testing.B) {
	const n = 10000
	proof.ReportBytesPerItem(b, n, func() any { return newGrantedHolder(n) })
}

func BenchmarkRecordOf43Holders(b *testing.B) {
	record, _ := Record{Budget: "b"}.TopUp("first", 1<<50)
	for i := range 43 {
		record, _ = record.Set(fmt.Sprintf("region-1-vm-%03d.dnbljdqjrdgg", i), Account{Granted: 1e6, Ceiling: 9e5, Spent: 8e5, Witness: "region-2-vm-001.dnbljdqjrdgg"})
	}
	value, _ := json.Marshal(record)
	b.ReportMetric(float64(len(value)), "bytes/record")
	for b.Loop() {
		var r Record
		_ = json.Unmarshal(value, &r)
		_ = r.Check()
	}
}
