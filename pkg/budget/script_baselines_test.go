package budget

import (
	"fmt"
)

// equalSplit is the baseline in which each router owns a fixed share of every top-up.
type equalSplit struct{ used []int64 }

func (e *equalSplit) request(s *script, r *scriptRouter, id string, tokens int64) {
	if s.store.record.Prepaid()/int64(len(s.routers))-e.used[r.index] < tokens {
		s.refuse(tokens)
		return
	}
	e.used[r.index] += tokens
	s.dispatch(r, id, tokens)
}

func (e *equalSplit) settled(_ *script, r *scriptRouter, _ string, used, tokens int64) {
	e.used[r.index] -= tokens - used
}

// stranded returns the unused remainder of the dead router's share, whose usage no other router can determine.
func (e *equalSplit) stranded(s *script, holder string) int64 {
	var index int
	_, _ = fmt.Sscanf(holder, "vm-%d.", &index)
	share := s.store.record.Prepaid() / int64(len(s.routers))
	rest := share - e.used[index]
	e.used[index] = share
	return rest
}

// writePerRequest is the baseline with one store write before and one after each request.
type writePerRequest struct{ reserved int64 }

func (w *writePerRequest) request(s *script, r *scriptRouter, id string, tokens int64) {
	s.figures.writes++
	if s.storeDown || r.partitioned || s.store.record.Prepaid()-w.reserved < tokens {
		s.refuse(tokens)
		return
	}
	w.reserved += tokens
	s.dispatch(r, id, tokens)
}

func (w *writePerRequest) settled(s *script, _ *scriptRouter, _ string, used, tokens int64) {
	s.figures.writes++
	w.reserved -= tokens - used
}

func (w *writePerRequest) stranded(*script, string) int64 { return 0 }
