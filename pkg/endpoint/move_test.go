package endpoint

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var twoEndpoints = Configured{[]Endpoint{
	{Name: "a", Serves: []string{"m"}, Version: "v1", Slots: 2},
	{Name: "b", Serves: []string{"m"}, Version: "v1", Slots: 2},
}}

// moving returns a pool with request 1 in flight at endpoint a, and b free.
func moving(t *testing.T, policy Policy, r Request) *Pool {
	p := &Pool{Policy: policy}
	p.Handle(start, twoEndpoints)
	p.Handle(start, LeavingUpdated{"b", true})
	require.Equal(t, []Action{Send{"1", "a", "v1", 1}}, p.Handle(start, Submitted{r}))
	p.Handle(start, LeavingUpdated{"b", false})
	return p
}

// TestMoveIsDeniedWithoutAPlace asks for a place that some limit does not allow; the attempt in flight goes on.
func TestMoveIsDeniedWithoutAPlace(t *testing.T) {
	none := func(*Pool) {}
	event := func(events ...Event) func(*Pool) {
		return func(p *Pool) {
			for _, ev := range events {
				p.Handle(start, ev)
			}
		}
	}
	fill := func(p *Pool) {
		p.Handle(start, LeavingUpdated{"a", true})
		submitTo(p, start, "2")
		submitTo(p, start, "3")
	}
	for _, tc := range []struct {
		name    string
		policy  Policy
		change  func(*Request)
		prepare func(*Pool)
		denial  Denial
	}{
		{"not repeatable", Policy{}, func(r *Request) { r.Repeatable = false }, none, NotRepeatable},
		{"no attempt left", Policy{}, func(r *Request) { r.MaxAttempts = 1 }, none, AttemptsExhausted},
		{"no retry left", Policy{RetryReserve: 0.5}, func(*Request) {}, none, RetryBudgetEmpty},
		{"suspect", Policy{}, func(r *Request) { r.Fingerprint = 7 },
			event(SuspectReported{Suspicion{Fingerprint: 7, Deaths: maxDeaths + 1, Until: start.Add(time.Hour)}}), SuspectBlocked},
		{"other version", Policy{}, func(*Request) {},
			event(FirstToken{"1"}, Configured{[]Endpoint{twoEndpoints.Endpoints[0], {Name: "b", Serves: []string{"m"}, Version: "v2", Slots: 2}}}), NoPlace},
		{"no other endpoint", Policy{}, func(*Request) {}, event(Configured{twoEndpoints.Endpoints[:1]}), NoPlace},
		{"other leaves", Policy{}, func(*Request) {}, event(LeavingUpdated{"b", true}), NoPlace},
		{"other rests", Policy{}, func(*Request) {}, event(RestRequested{"b", time.Second}), NoPlace},
		{"other has a limit without room", Policy{}, func(*Request) {}, event(LimitReported{"b", 0.5, start}), NoPlace},
		{"other is full", Policy{}, func(*Request) {}, fill, NoPlace},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := streamRequest(start, "1")
			tc.change(&r)
			p := moving(t, tc.policy, r)
			tc.prepare(p)
			before, retries := running(p), p.RetryBudget(start, "m")
			require.Equal(t, []Action{MoveDenied{"1", tc.denial}}, p.Handle(start, MoveRequested{"1"}))
			require.Equal(t, before, running(p))
			require.Equal(t, retries, p.RetryBudget(start, "m"))
		})
	}
}

// TestMoveTakesThePlaceFirst moves a request, whose old attempt counts until it has ended, and the place from the start.
func TestMoveTakesThePlaceFirst(t *testing.T) {
	p := moving(t, Policy{RetryReserve: 2}, streamRequest(start, "1"))
	require.Equal(t, []Action{Reserved{Send{"1", "b", "v1", 2}}}, p.Handle(start, MoveRequested{"1"}))
	require.Equal(t, []int{1, 1}, running(p))
	require.Equal(t, []Action{MoveDenied{"1", NotInFlight}}, p.Handle(start, MoveRequested{"1"}), "one place at a time")
	p.Handle(start, Moved{"1", Silent})
	require.Equal(t, []int{0, 1}, running(p))
	require.True(t, p.Views(start)[0].Down, "the silent endpoint gets nothing new at first")
	p.Handle(start, Ended{ID: "1", Outcome: Finished, Tokens: 1})
	require.Equal(t, []int{0, 0}, running(p))
}

// TestMoveGivesThePlaceBack drops a move in each way; the attempt in flight goes on or ends as without it.
func TestMoveGivesThePlaceBack(t *testing.T) {
	p := moving(t, Policy{RetryReserve: 1}, streamRequest(start, "1"))
	require.IsType(t, Reserved{}, p.Handle(start, MoveRequested{"1"})[0])
	p.Handle(start, MoveCancelled{ID: "1", Attempt: 2})
	require.Equal(t, []int{1, 0}, running(p))
	require.IsType(t, Reserved{}, p.Handle(start, MoveRequested{"1"})[0], "the retry was given back")
	p.Handle(start, MoveCancelled{ID: "1", Attempt: 2, Unreachable: true})
	require.Equal(t, []Action{MoveDenied{"1", NoPlace}}, p.Handle(start, MoveRequested{"1"}), "an endpoint that was not reached is left alone for a while")

	later := start.Add(DefaultBaseEjectionTime)
	require.IsType(t, Reserved{}, p.Handle(later, MoveRequested{"1"})[0])
	p.Handle(later, Ended{ID: "1", Outcome: Incomplete})
	require.Equal(t, []int{0, 0}, running(p))
	require.Len(t, p.Handle(later, Retried{"1"}), 1, "the retry was given back")
	p.Handle(later, MoveCancelled{ID: "1", Attempt: 2})
	require.Equal(t, 1, running(p)[0]+running(p)[1], "a late cancellation does not end the next attempt")
	p.Handle(later, Withdrawn{"1"})

	p = moving(t, Policy{}, streamRequest(start, "1"))
	require.IsType(t, Reserved{}, p.Handle(start, MoveRequested{"1"})[0])
	p.Handle(start, Withdrawn{"1"})
	require.Equal(t, []int{0, 0}, running(p))
}

// TestSuspectMoves guards against a suspect that is taken for its own duplicate and stays at a silent endpoint.
func TestSuspectMoves(t *testing.T) {
	r := streamRequest(start, "1")
	r.Fingerprint = 7
	p := moving(t, Policy{}, r)
	p.Handle(start, SuspectReported{Suspicion{Fingerprint: 7, Deaths: 1, Until: start.Add(time.Hour)}})
	require.IsType(t, Reserved{}, p.Handle(start, MoveRequested{"1"})[0])
}

// running returns the number of requests in flight at each endpoint.
func running(p *Pool) []int {
	var all []int
	for _, v := range p.Views(start) {
		all = append(all, v.Running)
	}
	return all
}

// TestStreamDoesNotMoveToAPlaceWhoseEndpointIsGone removes an endpoint between reservation and move, and adds it again as after
// a restart.
func TestStreamDoesNotMoveToAPlaceWhoseEndpointIsGone(t *testing.T) {
	for name, restarted := range map[string]bool{"removed": false, "restarted": true} {
		t.Run(name, func(t *testing.T) {
			p := moving(t, Policy{}, streamRequest(start, "1"))
			p.Handle(start, FirstToken{"1"})
			require.IsType(t, Reserved{}, p.Handle(start, MoveRequested{"1"})[0])
			p.Handle(start, Configured{twoEndpoints.Endpoints[:1]})
			if restarted {
				p.Handle(start, Configured{[]Endpoint{twoEndpoints.Endpoints[0], {Name: "b", Serves: []string{"m"}, Version: "v2", Slots: 2}}})
			}
			require.Equal(t, []Action{MoveDenied{"1", PlaceChanged}}, p.Handle(start, Moved{"1", Silent}))
			require.Nil(t, p.jobs["1"].target)
		})
	}
}

// TestStreamDoesNotMoveToAPlaceWhoseVersionHasChanged lets the entry of an endpoint change between reservation and move.
func TestStreamDoesNotMoveToAPlaceWhoseVersionHasChanged(t *testing.T) {
	p := moving(t, Policy{}, streamRequest(start, "1"))
	p.Handle(start, FirstToken{"1"})
	require.Equal(t, []Action{Reserved{Send{"1", "b", "v1", 2}}}, p.Handle(start, MoveRequested{"1"}))
	p.Handle(start, Configured{[]Endpoint{twoEndpoints.Endpoints[0], {Name: "b", Serves: []string{"m"}, Version: "v2", Slots: 2}}})
	require.Equal(t, []Action{MoveDenied{"1", PlaceChanged}}, p.Handle(start, Moved{"1", Silent}))
	if j := p.jobs["1"]; j.target != nil {
		require.Equal(t, j.Version, j.target.Version, "the version of %s, at which a stream is in flight", j.target.Name)
	}
	require.Equal(t, []int{0, 0}, running(p), "the place is given back")
	require.Len(t, p.Handle(start, Retried{"1"}), 1, "the request goes on")
	require.Equal(t, []int{1, 0}, running(p), "at the version that began the stream")
}

// TestMoveIsDeniedToAnEndpointThatLeavesMeanwhile guards against a request that goes on at an endpoint which has announced its
// leave since the place there was reserved.
func TestMoveIsDeniedToAnEndpointThatLeavesMeanwhile(t *testing.T) {
	for _, leave := range []Event{LeavingAnnounced{"b"}, LeavingUpdated{"b", true}} {
		p := moving(t, Policy{RetryReserve: 2}, streamRequest(start, "1"))
		require.Equal(t, []Action{Reserved{Send{"1", "b", "v1", 2}}}, p.Handle(start, MoveRequested{"1"}))
		p.Handle(start, leave)
		require.Contains(t, p.Handle(start, Moved{"1", Silent}), Action(MoveDenied{"1", PlaceChanged}))
		require.Equal(t, []int{0, 0}, running(p))
	}
}
