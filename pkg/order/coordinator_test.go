package order

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/foxtaillanding/foxtaillanding/internal/proof"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

func TestMain(m *testing.M) { proof.Main(m) }

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// stored is a claim in the store with its version.
type stored struct {
	version uint64
	claim   Claim
}

// message is an action on its way from a router, or an event on its way to it if action is nil.
type message struct {
	router int
	action Action
	event  Event
}

// orderMachine drives three coordinators against one store and one service under faults.
//
// Its maps record what happened, independently of the coordinators, for the checks.
type orderMachine struct {
	coordinators  []*Coordinator
	store         map[string]stored
	revision      uint64
	now           time.Time
	inFlight      []message
	delayed       []WriteClaim        // Writes that may still arrive, also repeatedly.
	runsByKey     map[string]int      // Executions by claim key; a send of unknown outcome counts as one.
	runsByAttempt map[string]int      // Executions by attempt, counted in the same way.
	attemptOf     map[string]string   // Attempt by request ID.
	keyOf         map[string]string   // Claim key by request ID.
	results       map[string][]Action // Replies and refusals by request ID.
	answers       map[string]Answer   // Answer of the service by claim key.
	interrupted   map[string]bool     // Claim keys with an order in progress at a router that was killed.
	next          int                 // Number of the last request.
}

func newOrderMachine() *orderMachine {
	return &orderMachine{
		coordinators: []*Coordinator{{}, {}, {}}, store: map[string]stored{}, now: start,
		runsByKey: map[string]int{}, runsByAttempt: map[string]int{}, attemptOf: map[string]string{}, keyOf: map[string]string{},
		results: map[string][]Action{}, answers: map[string]Answer{}, interrupted: map[string]bool{},
	}
}

// putIfVersion applies a conditional write and reports whether it took effect.
func (m *orderMachine) putIfVersion(w WriteClaim) bool {
	if m.store[w.Key].version != w.Version {
		return false
	}
	m.revision++
	m.store[w.Key] = stored{m.revision, w.Claim}
	return true
}

func (m *orderMachine) handle(router int, ev Event) {
	for _, action := range m.coordinators[router].Handle(m.now, ev) {
		switch action := action.(type) {
		case Send:
			m.runsByKey[m.keyOf[action.Request]]++
			m.runsByAttempt[action.Attempt]++
			m.inFlight = append(m.inFlight, message{router: router, action: action})
		case Reply:
			m.results[action.Request] = append(m.results[action.Request], action)
		case Refuse:
			m.results[action.Request] = append(m.results[action.Request], action)
		default:
			m.inFlight = append(m.inFlight, message{router: router, action: action})
		}
	}
}

func (m *orderMachine) place(router int, key string) string {
	m.next++
	request := fmt.Sprintf("request-%d", m.next)
	m.keyOf[request] = key
	m.attemptOf[request] = "attempt-" + request
	m.handle(router, Placed{request, key, m.attemptOf[request], 7, m.now.Add(5 * time.Second)})
	return request
}

// deliver hands message i to its receiver; a fault other than 0 makes a store call or a send fail.
func (m *orderMachine) deliver(i, fault int) {
	msg := m.inFlight[i]
	m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
	switch action := msg.action.(type) {
	case nil:
		m.handle(msg.router, msg.event)
	case ReadClaim:
		s := m.store[action.Key]
		var ev Event = ClaimRead{action.Key, s.version, s.claim}
		if fault != 0 {
			ev = ClaimReadFailed{action.Key}
		}
		m.inFlight = append(m.inFlight, message{router: msg.router, event: ev})
	case WriteClaim:
		m.inFlight = append(m.inFlight, message{router: msg.router, event: m.write(action, fault)})
	case Send:
		m.serve(msg.router, action, fault)
	}
}

// write applies a claim write.
//
// Fault 1 loses the answer of a write, fault 2 also delays the write itself, and fault 3 drops it.
func (m *orderMachine) write(w WriteClaim, fault int) Event {
	done := ClaimWritten{Key: w.Key}
	switch fault {
	case 1:
		m.putIfVersion(w)
	case 2:
		m.delayed = append(m.delayed, w)
	default:
		done.Outcome = budget.NoEffect
		if fault == 0 && m.putIfVersion(w) {
			done.Outcome = budget.TookEffect
			done.Version = m.store[w.Key].version
		}
	}
	return done
}

// serve executes a sent order.
//
// Fault 1 keeps the order from reaching the service; any other fault leaves it unknown whether it ran.
func (m *orderMachine) serve(router int, s Send, fault int) {
	answer := Answer{Status: 200, Body: []byte(s.Attempt)}
	switch fault {
	case 0:
		m.answers[m.keyOf[s.Request]] = answer
		m.inFlight = append(m.inFlight, message{router: router, event: Answered{s.Request, answer}})
	case 1:
		m.runsByKey[m.keyOf[s.Request]]--
		m.runsByAttempt[s.Attempt]--
		m.inFlight = append(m.inFlight, message{router: router, event: Failed{s.Request, refusal.NoEndpoint, false}})
	default:
		m.inFlight = append(m.inFlight, message{router: router, event: Failed{s.Request, refusal.OrderUnknown, true}})
	}
}

// kill restarts a router without its state and drops its messages in flight.
func (m *orderMachine) kill(router int) {
	for key := range m.coordinators[router].entries {
		m.interrupted[key] = true
	}
	m.coordinators[router] = &Coordinator{}
	kept := m.inFlight[:0]
	for _, msg := range m.inFlight {
		if msg.router != router {
			kept = append(kept, msg)
		}
	}
	m.inFlight = kept
}

func (m *orderMachine) check(t *rapid.T) {
	for key, n := range m.runsByKey {
		require.LessOrEqual(t, n, 1, "order %s ran more than once", key)
	}
	for request, results := range m.results {
		require.Len(t, results, 1, "request %s has more than one answer", request)
		switch result := results[0].(type) {
		case Refuse:
			if result.Kind.Answer().Ran == refusal.NotRun {
				require.Zero(t, m.runsByAttempt[m.attemptOf[request]], "%s was refused with NotRun although its order ran", request)
			}
		case Reply:
			require.Equal(t, m.answers[m.keyOf[request]], result.Answer)
		}
	}
}

// heal delivers all messages without faults and lets the coordinators retry.
func (m *orderMachine) heal(t *rapid.T) {
	for range 10 {
		for n := 0; len(m.inFlight) > 0; n++ {
			require.Less(t, n, 10000, "coordinators issue calls without end although there are no faults")
			m.deliver(0, 0)
		}
		m.now = m.now.Add(2 * time.Second)
		for i := range m.coordinators {
			m.handle(i, Tick{})
		}
	}
}

func TestOrderRunsAtMostOnce(t *testing.T) {
	keys := []string{"a", "b"}
	rapid.Check(t, func(t *rapid.T) {
		m := newOrderMachine()
		router := func(t *rapid.T) int { return rapid.IntRange(0, 2).Draw(t, "router") }
		t.Repeat(map[string]func(*rapid.T){
			"":      m.check,
			"place": func(t *rapid.T) { m.place(router(t), rapid.SampledFrom(keys).Draw(t, "key")) },
			"deliver": func(t *rapid.T) {
				if len(m.inFlight) == 0 {
					t.Skip("no message in flight")
				}
				i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "parcel")
				m.deliver(i, rapid.IntRange(0, 3).Draw(t, "fate"))
			},
			"land late": func(t *rapid.T) {
				if len(m.delayed) == 0 {
					t.Skip("no delayed write")
				}
				m.putIfVersion(m.delayed[rapid.IntRange(0, len(m.delayed)-1).Draw(t, "late")])
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
				m.handle(router(t), Tick{})
			},
			"kill": func(t *rapid.T) { m.kill(router(t)) },
		})
		m.finish(t, keys)
	})
}

// finish ends the faults and retries each key: its order must run if it has not, unless a router was killed while working on it.
func (m *orderMachine) finish(t *rapid.T, keys []string) {
	m.heal(t)
	for i := range m.coordinators {
		require.Zero(t, m.coordinators[i].Pending())
	}
	for _, key := range keys {
		before := m.runsByKey[key]
		request := m.place(0, key)
		m.heal(t)
		require.Len(t, m.results[request], 1)
		if before == 0 && !m.interrupted[key] {
			require.IsType(t, Reply{}, m.results[request][0], "key %s is blocked", key)
		}
	}
	m.check(t)
}

// placeOrder returns a coordinator whose first claim write is in flight, and the claim that it writes.
func placeOrder(t *testing.T, deadline time.Time) (*Coordinator, Claim) {
	c := &Coordinator{}
	actions := c.Handle(start, Placed{Request: "r", Key: "key", Attempt: "a", BodyHash: 1, Deadline: deadline})
	require.Len(t, actions, 1)
	return c, actions[0].(WriteClaim).Claim
}

// TestStaleReadDoesNotProveClaim reads a version older than one read before, as a lagging replica of the store would return.
func TestStaleReadDoesNotProveClaim(t *testing.T) {
	c, pending := placeOrder(t, start.Add(time.Minute))
	c.Handle(start, ClaimWritten{Key: "key", Outcome: budget.NoEffect})
	// The claim of another attempt is replaced if its order did not run.
	actions := c.Handle(start, ClaimRead{Key: "key", Version: 7, Claim: Claim{Attempt: "b", BodyHash: 1, State: NotRun}})
	require.Equal(t, []Action{WriteClaim{"key", 7, pending}}, actions)
	c.Handle(start, ClaimWritten{Key: "key", Outcome: budget.OutcomeUnknown})
	actions = c.Handle(start, ClaimRead{Key: "key", Version: 3, Claim: pending})
	require.Equal(t, []Action{Refuse{"r", refusal.StoreUnavailable}}, actions, "a stale read must neither send the order nor report it as done")
}

// TestOrderIsNotSentAfterDeadline lets the claim write succeed after the caller has stopped waiting.
func TestOrderIsNotSentAfterDeadline(t *testing.T) {
	c, pending := placeOrder(t, start.Add(time.Second))
	late := start.Add(2 * time.Second)
	actions := c.Handle(late, ClaimWritten{Key: "key", Outcome: budget.TookEffect, Version: 4})
	pending.State = NotRun
	require.Equal(t, []Action{Refuse{"r", refusal.DeadlineUnreachable}, WriteClaim{"key", 4, pending}}, actions)
}
