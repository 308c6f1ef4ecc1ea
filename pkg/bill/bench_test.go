package bill

import (
	"fmt"
	"strings"
	"testing"

	"github.com/foxtaillanding/foxtaillanding/internal/proof"
)

func BenchmarkKeyedRequest(b *testing.B) {
	var l Ledger
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		request := fmt.Sprint(i)
		l.Handle(start, Received{request, request, 1})
		l.Handle(start, Finished{request, Answer{Content: "x"}})
		l.Handle(start, Billed{request, request, "t", 5})
	}
}

// BenchmarkBytesPerKey stores answers of 2000 bytes, about 500 tokens.
func BenchmarkBytesPerKey(b *testing.B) {
	const n = 10000
	proof.ReportBytesPerItem(b, n, func() any {
		l := &Ledger{}
		for i := range n {
			request := fmt.Sprint("request-", i)
			l.Handle(start, Received{request, request, 1})
			l.Handle(start, Finished{request, Answer{Content: strings.Repeat("x", 2000)}})
			l.Handle(start, Billed{request, request, "t", 5})
		}
		return l
	})
}
