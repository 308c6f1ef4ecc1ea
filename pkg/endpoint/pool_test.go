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

// poolMachine drives one Pool; its fields are the oracle.
type poolMachine struct {
	pool     Pool
	now      time.Time
	requests map[string]Request
	on       map[string]string // Endpoint by request in flight.
	sends    map[string]int
	ended    map[string]int
	leaving  map[string]bool
	blamed   map[uint64]int  // Endpoint deaths by fingerprint.
	sound    map[uint64]bool // Fingerprints that finished once.
	suspect  map[string]bool
	ran      map[string]bool
	next     int
}

var testEndpoints = []Endpoint{
	{Name: "a", Serves: []string{"m", "orders"}, Slots: 2, TokensPerSecond: 80},
	{Name: "b", Serves: []string{"m"}, Slots: 3, TokensPerSecond: 40},
	{Name: "c", Serves: []string{"m", "orders"}, Slots: 1, TokensPerSecond: 10},
}

func newPoolMachine() *poolMachine {
	m := &poolMachine{now: start, requests: map[string]Request{}, on: map[string]string{}, sends: map[string]int{}, ended: map[string]int{},
		leaving: map[string]bool{}, blamed: map[uint64]int{}, sound: map[uint64]bool{}, suspect: map[string]bool{}, ran: map[string]bool{}}
	m.pool.Handle(m.now, Configured{testEndpoints})
	return m
}

func (m *poolMachine) handle(t require.TestingT, ev Event) {
	for _, action := range m.pool.Handle(m.now, ev) {
		switch action := action.(type) {
		case Send:
			m.sent(t, action)
		case Refuse:
			m.ended[action.ID]++
			require.NotContains(t, m.on, action.ID, "refused while in flight")
			if m.ran[action.ID] {
				require.NotEqual(t, refusal.NotRun, action.Kind.Answer().Ran, "%s ran and was told %s", action.ID, action.Kind)
			}
		}
	}
}

func (m *poolMachine) sent(t require.TestingT, s Send) {
	r := m.requests[s.ID]
	require.NotContains(t, m.on, s.ID, "two attempts in flight")
	require.Zero(t, m.ended[s.ID], "sent after its end")
	require.False(t, m.leaving[s.Endpoint], "new work for a leaving endpoint")
	m.sends[s.ID]++
	if !r.Repeatable {
		require.False(t, m.ran[s.ID], "work that may not be repeated was sent again after it may have run")
	}
	require.LessOrEqual(t, m.blamed[r.Fingerprint], 1, "a request was sent after its second death")
	m.suspect[s.ID] = m.blamed[r.Fingerprint] > 0
	for other, name := range m.on {
		if m.suspect[s.ID] && m.suspect[other] {
			require.NotEqual(t, name, s.Endpoint, "two suspects on one endpoint")
		}
		if m.suspect[s.ID] {
			require.NotEqual(t, r.Fingerprint, m.requests[other].Fingerprint, "a suspect runs twice at once")
		}
	}
	m.on[s.ID] = s.Endpoint
}

func (m *poolMachine) end(t require.TestingT, id string, outcome Outcome) {
	delete(m.on, id)
	m.ran[id] = m.ran[id] || outcome != Rejected
	if outcome == Died && !m.sound[m.requests[id].Fingerprint] {
		m.blamed[m.requests[id].Fingerprint]++
	}
	if outcome == Finished {
		m.ended[id]++
		delete(m.blamed, m.requests[id].Fingerprint)
		m.sound[m.requests[id].Fingerprint] = true
	}
	m.handle(t, Ended{id, outcome, 10})
	if outcome != Finished {
		m.handle(t, Retried{id})
	}
}

func (m *poolMachine) oneInFlight() string {
	least := ""
	for id := range m.on {
		if least == "" || id < least {
			least = id
		}
	}
	return least
}

func TestPoolInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPoolMachine()
		name := func() string { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "endpoint") }
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for id, n := range m.ended {
					require.LessOrEqual(t, n, 1, "%s ended twice", id)
				}
			},
			"submit": func(t *rapid.T) {
				m.next++
				r := Request{ID: fmt.Sprintf("request-%03d", m.next), Serves: "m", Account: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "account"),
					Class: Class(rapid.IntRange(0, 2).Draw(t, "class")), OutputTokens: 20, Fingerprint: rapid.Uint64Range(1, 4).Draw(t, "fingerprint"),
					Repeatable: true, Deadline: m.now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(t, "ms")) * time.Millisecond)}
				if rapid.Bool().Draw(t, "order") {
					r.Serves, r.Repeatable = "orders", false
				}
				m.requests[r.ID] = r
				m.handle(t, Submitted{r})
			},
			"end": func(t *rapid.T) {
				if id := m.oneInFlight(); id != "" {
					m.end(t, id, rapid.SampledFrom([]Outcome{Died, Finished, Rejected, Incomplete, Silent}).Draw(t, "outcome"))
				}
			},
			"leave": func(t *rapid.T) {
				n, leaving := name(), rapid.Bool().Draw(t, "leaving")
				m.leaving[n] = leaving
				m.handle(t, LeavingSeen{n, leaving})
			},
			"report": func(t *rapid.T) {
				m.handle(t, Reported{name(), Load{Running: rapid.IntRange(0, 5).Draw(t, "running")}})
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				m.handle(t, Tick{})
			},
		})
		m.finish(t)
	})
}

// TestRequestThatRanIsNotToldNotRun keeps a failure that fuzzing found: the only endpoint died and the retry was refused as NoEndpoint.
func TestRequestThatRanIsNotToldNotRun(t *testing.T) {
	var p Pool
	p.Handle(start, Configured{testEndpoints[1:2]})
	r := Request{ID: "x", Serves: "m", OutputTokens: 1, Fingerprint: 1, Repeatable: true, Deadline: start.Add(time.Minute)}
	require.Equal(t, []Action{Send{"x", "b", 1}}, p.Handle(start, Submitted{r}))
	p.Handle(start, Ended{"x", Died, 0})
	p.Handle(start, LeavingSeen{"b", true})
	require.Equal(t, []Action{Refuse{"x", refusal.AnswerBroken, 0}}, p.Handle(start, Retried{"x"}))
}

// TestPausedEndpointIsUsedWhenThereIsNoOther keeps a failure of the gateway's tests: both endpoints had broken off shortly before.
func TestPausedEndpointIsUsedWhenThereIsNoOther(t *testing.T) {
	var p Pool
	p.Handle(start, Configured{[]Endpoint{{Name: "a", Serves: []string{"m"}, Slots: 4}, {Name: "b", Serves: []string{"m"}, Slots: 4}}})
	send := func(id string) string {
		actions := p.Handle(start, Submitted{Request{ID: id, Serves: "m", OutputTokens: 1, Fingerprint: uint64(id[0]), Deadline: start.Add(time.Minute)}})
		require.Len(t, actions, 1)
		return actions[0].(Send).Endpoint
	}
	first := send("x")
	p.Handle(start, Ended{"x", Died, 0})
	second := send("y")
	require.NotEqual(t, first, second, "a paused endpoint is avoided")
	p.Handle(start, Ended{"y", Died, 0})
	send("z")
}

// TestWaitingCopyOfACondemnedRequestIsRefused keeps a failure that fuzzing found: a copy that waited was sent after the second death.
func TestWaitingCopyOfACondemnedRequestIsRefused(t *testing.T) {
	var p Pool
	p.Handle(start, Configured{[]Endpoint{{Name: "only", Serves: []string{"m"}, Slots: 1}}})
	p.Handle(start, Submitted{Request{ID: "busy", Serves: "m", OutputTokens: 1, Fingerprint: 1, Deadline: start.Add(time.Minute)}})
	p.Handle(start, Submitted{Request{ID: "copy", Serves: "m", OutputTokens: 1, Fingerprint: 2, Deadline: start.Add(time.Minute)}})
	heard := SuspectHeard{Suspicion{Fingerprint: 2, Deaths: 2, Until: start.Add(time.Minute)}}
	require.Equal(t, []Action{Refuse{"copy", refusal.Suspect, 0}}, p.Handle(start, heard))
}

// finish ends everything in flight, lets all deadlines pass and checks that each request ended once.
func (m *poolMachine) finish(t require.TestingT) {
	for range 20 {
		for id := m.oneInFlight(); id != ""; id = m.oneInFlight() {
			m.end(t, id, Finished)
		}
		m.now = m.now.Add(5 * time.Second)
		m.handle(t, Tick{})
	}
	for id := range m.requests {
		require.Equal(t, 1, m.ended[id], "%s was never answered", id)
	}
}

// TestARequestThatOftenFinishesIsNotCondemned keeps a finding of the soak (seed 1): many callers asked for the same, two endpoints broke off, and it was refused from then on.
func TestARequestThatOftenFinishesIsNotCondemned(t *testing.T) {
	var p Pool
	p.Handle(start, Configured{[]Endpoint{{Name: "a", Serves: []string{"m"}, Slots: 8}, {Name: "b", Serves: []string{"m"}, Slots: 8}}})
	now := start
	ask := func(id string) []Action {
		now = now.Add(10 * time.Second)
		return p.Handle(now, Submitted{Request{ID: id, Serves: "m", OutputTokens: 1, Fingerprint: 7, Deadline: now.Add(time.Minute), Repeatable: true}})
	}
	ask("first")
	p.Handle(now, Ended{"first", Finished, 1})
	for _, id := range []string{"x", "y", "z"} {
		require.IsType(t, Send{}, ask(id)[0], id)
		for _, action := range p.Handle(now, Ended{id, Died, 0}) {
			_, told := action.(TellSuspect)
			require.False(t, told, "nobody is told")
		}
		p.Handle(now, Withdrawn{id})
	}
	p.Handle(now, SuspectHeard{Suspicion{Fingerprint: 7, Deaths: 2, Until: now.Add(time.Hour)}})
	require.IsType(t, Send{}, ask("last")[0])
}

// TestASilentEndpointDoesNotCondemnTheRequest lets two endpoints be slow.
func TestASilentEndpointDoesNotCondemnTheRequest(t *testing.T) {
	var p Pool
	p.Handle(start, Configured{[]Endpoint{{Name: "a", Serves: []string{"m"}, Slots: 8}, {Name: "b", Serves: []string{"m"}, Slots: 8}}})
	now := start
	for i := range 4 {
		now = now.Add(time.Minute)
		id := fmt.Sprint(i)
		require.IsType(t, Send{}, p.Handle(now, Submitted{Request{ID: id, Serves: "m", OutputTokens: 1, Fingerprint: 7, Deadline: now.Add(time.Minute)}})[0])
		p.Handle(now, Ended{id, Silent, 0})
		p.Handle(now, Withdrawn{id})
	}
}
