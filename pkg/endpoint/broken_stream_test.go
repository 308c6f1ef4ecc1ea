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

// TestBrokenStreamOutlastsARest lets both endpoints rest while a stream that broke waits for one of them.
func TestBrokenStreamOutlastsARest(t *testing.T) {
	p := moving(t, Policy{}, streamRequest(start, "1"))
	p.Handle(start, FirstToken{"1"})
	p.Handle(start, RestRequested{"b", time.Second})
	p.Handle(start, Ended{ID: "1", Outcome: Incomplete})
	p.Handle(start, RestRequested{"a", time.Second})
	require.Empty(t, p.Handle(start, Retried{"1"}))
	require.Empty(t, p.Handle(start, RestRequested{"a", 1500 * time.Millisecond}), "the stream waits")
	sent := p.Handle(start.Add(time.Second), Tick{})
	require.Len(t, sent, 1)
	require.Equal(t, "b", sent[0].(Send).Endpoint)
}

// TestBrokenStreamDoesNotWaitForARestBeyondItsDeadline is the opposite of the test before.
func TestBrokenStreamDoesNotWaitForARestBeyondItsDeadline(t *testing.T) {
	r := streamRequest(start, "1")
	r.Deadline = start.Add(5 * time.Second)
	p := moving(t, Policy{}, r)
	p.Handle(start, FirstToken{"1"})
	p.Handle(start, RestRequested{"b", 20 * time.Second})
	p.Handle(start, Ended{ID: "1", Outcome: Incomplete})
	p.Handle(start, RestRequested{"a", time.Second})
	require.Empty(t, p.Handle(start, Retried{"1"}))
	require.IsType(t, Refuse{}, p.Handle(start, RestRequested{"a", 20 * time.Second})[0])
}

// TestBrokenStreamFindsAFullQueue lets new requests fill the queue before a stream breaks.
func TestBrokenStreamFindsAFullQueue(t *testing.T) {
	p := moving(t, Policy{MaxQueue: 1}, streamRequest(start, "1"))
	p.Handle(start, FirstToken{"1"})
	p.Handle(start, Configured{twoEndpoints.Endpoints[:1]})
	submitTo(p, start, "2")
	require.Empty(t, submitTo(p, start, "3"))
	require.IsType(t, Refuse{}, submitTo(p, start, "4")[0], "the queue is full")
	require.Equal(t, "3", p.Handle(start, Ended{ID: "1", Outcome: Incomplete})[0].(Send).ID)
	require.Empty(t, submitTo(p, start, "5"))
	require.Empty(t, p.Handle(start, Retried{"1"}), "the stream waits for a slot")
}
