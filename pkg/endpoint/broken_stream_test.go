package endpoint

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestBrokenStreamWaitsForASlotAfterItsFirstDeadline breaks a stream after the time by which it had to begin.
func TestBrokenStreamWaitsForASlotAfterItsFirstDeadline(t *testing.T) {
	r := streamRequest(start, "1")
	r.Deadline = start.Add(2 * time.Second)
	r.AnswerBy = start.Add(time.Minute)
	p := moving(t, Policy{}, r)
	p.Handle(start, FirstToken{"1"})
	now := start.Add(5 * time.Second)
	submitTo(p, now, "2")
	submitTo(p, now, "3")
	submitTo(p, now, "4")
	require.Equal(t, []int{2, 2}, running(p))
	p.Handle(now, LeavingUpdated{"a", true})
	p.Handle(now, Ended{ID: "1", Outcome: Incomplete})
	require.Empty(t, p.Handle(now, Retried{"1"}), "the stream waits for a slot")
	require.Empty(t, p.Handle(now, Tick{}))
	require.IsType(t, Refuse{}, p.Handle(r.AnswerBy.Add(1), Tick{})[0], "not for longer than its answer may take")
}
