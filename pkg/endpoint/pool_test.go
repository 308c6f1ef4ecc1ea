package endpoint

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/foxtaillanding/foxtaillanding/internal/proof"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

func TestMain(m *testing.M) { proof.Main(m) }

// poolModel drives a Pool and checks its actions against a reference model, which the other fields hold.
type poolModel struct {
	pool       Pool
	now        time.Time
	requests   map[string]Request
	inFlight   map[string]string // Endpoint by ID of the request in flight.
	sends      map[string]int    // Number of sends by request ID.
	ended      map[string]int    // Number of final results by request ID: complete responses and refusals.
	leaving    map[string]bool   // Leaving state by endpoint.
	deaths     map[uint64]int    // Endpoint deaths by fingerprint.
	knownGood  map[uint64]bool   // Fingerprints of requests that finished.
	suspect    map[string]bool   // Whether the request was a suspect at its last send, by ID.
	mayHaveRun map[string]bool   // By request ID.
	next       int
}

var testEndpoints = []Endpoint{
	{Name: "a", Serves: []string{"m", "orders"}, Slots: 2, TokensPerSecond: 80},
	{Name: "b", Serves: []string{"m"}, Slots: 3, TokensPerSecond: 40},
	{Name: "c", Serves: []string{"m", "orders"}, Slots: 1, TokensPerSecond: 10},
}

func newPoolModel() *poolModel {
	m := &poolModel{now: start, requests: map[string]Request{}, inFlight: map[string]string{}, sends: map[string]int{}, ended: map[string]int{},
		leaving: map[string]bool{}, deaths: map[uint64]int{}, knownGood: map[uint64]bool{}, suspect: map[string]bool{}, mayHaveRun: map[string]bool{}}
	m.pool.Handle(m.now, Configured{testEndpoints})
	return m
}

func (m *poolModel) handle(t require.TestingT, ev Event) {
	for _, action := range m.pool.Handle(m.now, ev) {
		switch action := action.(type) {
		case Send:
			m.sent(t, action)
		case Refuse:
			m.ended[action.ID]++
			require.NotContains(t, m.inFlight, action.ID, "refused while in flight")
			if m.mayHaveRun[action.ID] {
				require.NotEqual(t, refusal.NotRun, action.Kind.Answer().Ran, "%s may have run, but was refused with %s, which says that it did not", action.ID, action.Kind)
			}
		}
	}
}

func (m *poolModel) sent(t require.TestingT, s Send) {
	r := m.requests[s.ID]
	require.NotContains(t, m.inFlight, s.ID, "two attempts in flight")
	require.Zero(t, m.ended[s.ID], "sent after its final result")
	require.False(t, m.leaving[s.Endpoint], "sent to a leaving endpoint")
	m.sends[s.ID]++
	if !r.Repeatable {
		require.False(t, m.mayHaveRun[s.ID], "a request that is not repeatable was sent again after it may have run")
	}
	require.LessOrEqual(t, m.deaths[r.Fingerprint], 1, "a request was sent after the second endpoint death")
	m.suspect[s.ID] = m.deaths[r.Fingerprint] > 0
	for other, name := range m.inFlight {
		if m.suspect[s.ID] && m.suspect[other] {
			require.NotEqual(t, name, s.Endpoint, "two suspects on one endpoint")
		}
		if m.suspect[s.ID] {
			require.NotEqual(t, r.Fingerprint, m.requests[other].Fingerprint, "a suspect was sent while its duplicate is in flight")
		}
	}
	m.inFlight[s.ID] = s.Endpoint
}

func (m *poolModel) end(t require.TestingT, id string, outcome Outcome) {
	delete(m.inFlight, id)
	m.mayHaveRun[id] = m.mayHaveRun[id] || outcome != Rejected
	if outcome == Died && !m.knownGood[m.requests[id].Fingerprint] {
		m.deaths[m.requests[id].Fingerprint]++
	}
	if outcome == Finished {
		m.ended[id]++
		delete(m.deaths, m.requests[id].Fingerprint)
		m.knownGood[m.requests[id].Fingerprint] = true
	}
	m.handle(t, Ended{id, outcome, 10})
	if outcome != Finished {
		m.handle(t, Retried{id})
	}
}

// move asks for another place for a request in flight and takes it or gives it back.
func (m *poolModel) move(t require.TestingT, id string, cancelled bool) {
	actions := m.pool.Handle(m.now, MoveRequested{id})
	require.Len(t, actions, 1)
	reserved, ok := actions[0].(Reserved)
	if !ok {
		return
	}
	require.True(t, m.requests[id].Repeatable, "a request that is not repeatable moves")
	require.NotEqual(t, m.inFlight[id], reserved.Place.Endpoint, "moved to the endpoint where it is")
	if cancelled {
		m.handle(t, MoveCancelled{ID: id, Attempt: reserved.Place.Attempt, Unreachable: true})
		return
	}
	delete(m.inFlight, id)
	m.mayHaveRun[id] = true
	m.sent(t, reserved.Place)
	m.handle(t, Moved{id, Silent})
}

// firstInFlight returns the lowest ID of the requests in flight, or "".
func (m *poolModel) firstInFlight() string {
	first := ""
	for id := range m.inFlight {
		if first == "" || id < first {
			first = id
		}
	}
	return first
}

func TestPoolInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPoolModel()
		name := func() string { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "endpoint") }
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for id, n := range m.ended {
					require.LessOrEqual(t, n, 1, "%s has two final results", id)
				}
			},
			"submit": func(t *rapid.T) {
				m.next++
				r := Request{ID: fmt.Sprintf("request-%03d", m.next), Service: "m", Account: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "account"),
					Class: Class(rapid.IntRange(0, 2).Draw(t, "class")), OutputTokens: 20, Fingerprint: rapid.Uint64Range(1, 4).Draw(t, "fingerprint"),
					Repeatable: true, Deadline: m.now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(t, "ms")) * time.Millisecond)}
				if rapid.Bool().Draw(t, "order") {
					r.Service, r.Repeatable = "orders", false
				}
				m.requests[r.ID] = r
				m.handle(t, Submitted{r})
			},
			"end": func(t *rapid.T) {
				if id := m.firstInFlight(); id != "" {
					m.end(t, id, rapid.SampledFrom([]Outcome{Died, Finished, Rejected, Incomplete, Silent}).Draw(t, "outcome"))
				}
			},
			"move": func(t *rapid.T) {
				if id := m.firstInFlight(); id != "" {
					m.move(t, id, rapid.Bool().Draw(t, "cancelled"))
				}
			},
			"leave": func(t *rapid.T) {
				n, leaving := name(), rapid.Bool().Draw(t, "leaving")
				m.leaving[n] = leaving
				m.handle(t, LeavingUpdated{n, leaving})
			},
			"report": func(t *rapid.T) {
				m.handle(t, LoadReported{name(), Load{Running: rapid.IntRange(0, 5).Draw(t, "running")}})
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				m.handle(t, Tick{})
			},
		})
		m.finish(t)
	})
}

// TestRequestThatRanIsNotRefusedAsNotRun guards against a fault that fuzzing found:
// when the only endpoint died, the retry was refused as NoEndpoint, which says that
// the request did not run.
func TestRequestThatRanIsNotRefusedAsNotRun(t *testing.T) {
	var p Pool
	p.Handle(start, Configured{testEndpoints[1:2]})
	r := Request{ID: "x", Service: "m", OutputTokens: 1, Fingerprint: 1, Repeatable: true, Deadline: start.Add(time.Minute)}
	require.Equal(t, []Action{Send{ID: "x", Endpoint: "b", Attempt: 1}}, p.Handle(start, Submitted{r}))
	p.Handle(start, Ended{"x", Died, 0})
	p.Handle(start, LeavingUpdated{"b", true})
	require.Equal(t, []Action{Refuse{"x", refusal.AnswerBroken, 0}}, p.Handle(start, Retried{"x"}))
}

// TestEjectedEndpointIsUsedWhenThereIsNoOther guards against a fault that the tests of
// the gateway found: no endpoint was usable when connections to all of them had
// broken shortly before.
func TestEjectedEndpointIsUsedWhenThereIsNoOther(t *testing.T) {
	var p Pool
	p.Handle(start, Configured{[]Endpoint{{Name: "a", Serves: []string{"m"}, Slots: 4}, {Name: "b", Serves: []string{"m"}, Slots: 4}}})
	send := func(id string) string {
		actions := p.Handle(start, Submitted{Request{ID: id, Service: "m", OutputTokens: 1, Fingerprint: uint64(id[0]), Deadline: start.Add(time.Minute)}})
		require.Len(t, actions, 1)
		return actions[0].(Send).Endpoint
	}
	first := send("x")
	p.Handle(start, Ended{"x", Died, 0})
	second := send("y")
	require.NotEqual(t, first, second, "an ejected endpoint is avoided")
	p.Handle(start, Ended{"y", Died, 0})
	send("z")
}

// TestWaitingDuplicateOfARefusedSuspectIsRefused guards against a fault that fuzzing
// found: a waiting duplicate of a request was sent after the second endpoint death.
func TestWaitingDuplicateOfARefusedSuspectIsRefused(t *testing.T) {
	var p Pool
	p.Handle(start, Configured{[]Endpoint{{Name: "only", Serves: []string{"m"}, Slots: 1}}})
	p.Handle(start, Submitted{Request{ID: "busy", Service: "m", OutputTokens: 1, Fingerprint: 1, Deadline: start.Add(time.Minute)}})
	p.Handle(start, Submitted{Request{ID: "copy", Service: "m", OutputTokens: 1, Fingerprint: 2, Deadline: start.Add(time.Minute)}})
	reported := SuspectReported{Suspicion{Fingerprint: 2, Deaths: 2, Until: start.Add(time.Minute)}}
	require.Equal(t, []Action{Refuse{"copy", refusal.Suspect, 0}}, p.Handle(start, reported))
}

// finish ends all attempts in flight, lets all deadlines pass and checks that each request has exactly one final result.
func (m *poolModel) finish(t require.TestingT) {
	for range 20 {
		for id := m.firstInFlight(); id != ""; id = m.firstInFlight() {
			m.end(t, id, Finished)
		}
		m.now = m.now.Add(5 * time.Second)
		m.handle(t, Tick{})
	}
	for id := range m.requests {
		require.Equal(t, 1, m.ended[id], "%s does not have exactly one final result", id)
	}
}

// TestRequestThatHasFinishedIsNotASuspect guards against a fault that the soak test
// found (seed 1): many callers sent the same request, connections to two endpoints
// broke, and the request was refused from then on.
func TestRequestThatHasFinishedIsNotASuspect(t *testing.T) {
	var p Pool
	p.Handle(start, Configured{[]Endpoint{{Name: "a", Serves: []string{"m"}, Slots: 8}, {Name: "b", Serves: []string{"m"}, Slots: 8}}})
	now := start
	submit := func(id string) []Action {
		now = now.Add(10 * time.Second)
		return p.Handle(now, Submitted{Request{ID: id, Service: "m", OutputTokens: 1, Fingerprint: 7, Deadline: now.Add(time.Minute), Repeatable: true}})
	}
	submit("first")
	p.Handle(now, Ended{"first", Finished, 1})
	for _, id := range []string{"x", "y", "z"} {
		require.IsType(t, Send{}, submit(id)[0], id)
		for _, action := range p.Handle(now, Ended{id, Died, 0}) {
			_, broadcast := action.(BroadcastSuspect)
			require.False(t, broadcast, "a suspicion of a request that is known good")
		}
		p.Handle(now, Withdrawn{id})
	}
	p.Handle(now, SuspectReported{Suspicion{Fingerprint: 7, Deaths: 2, Until: now.Add(time.Hour)}})
	require.IsType(t, Send{}, submit("last")[0])
}

// TestTimeoutDoesNotMakeTheRequestASuspect lets a request time out several times at two endpoints.
func TestTimeoutDoesNotMakeTheRequestASuspect(t *testing.T) {
	var p Pool
	p.Handle(start, Configured{[]Endpoint{{Name: "a", Serves: []string{"m"}, Slots: 8}, {Name: "b", Serves: []string{"m"}, Slots: 8}}})
	now := start
	for i := range 4 {
		now = now.Add(time.Minute)
		id := fmt.Sprint(i)
		require.IsType(t, Send{}, p.Handle(now, Submitted{Request{ID: id, Service: "m", OutputTokens: 1, Fingerprint: 7, Deadline: now.Add(time.Minute)}})[0])
		p.Handle(now, Ended{id, Silent, 0})
		p.Handle(now, Withdrawn{id})
	}
}
