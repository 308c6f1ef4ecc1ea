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

type stored struct {
	version uint64
	claim   Claim
}

type parcel struct {
	router int
	action Action
	event  Event
}

// orderMachine drives keepers against one store; runs, attempts and refused are the oracle.
type orderMachine struct {
	keepers  []*Keeper
	store    map[string]stored
	revision uint64
	now      time.Time
	transit  []parcel
	late     []WriteClaim
	runs     map[string]int      // Sends by claim key.
	attempts map[string]int      // Sends by attempt.
	attempt  map[string]string   // Attempt by request.
	key      map[string]string   // Claim key by request.
	ends     map[string][]Action // Final answers by request.
	answers  map[string]Answer   // First answer by claim key.
	lost     map[string]bool     // Claim keys that a killed router worked on.
	next     int
}

func newOrderMachine() *orderMachine {
	return &orderMachine{
		keepers: []*Keeper{{}, {}, {}}, store: map[string]stored{}, now: start,
		runs: map[string]int{}, attempts: map[string]int{}, attempt: map[string]string{}, key: map[string]string{},
		ends: map[string][]Action{}, answers: map[string]Answer{}, lost: map[string]bool{},
	}
}

func (m *orderMachine) put(w WriteClaim) bool {
	if m.store[w.Key].version != w.Version {
		return false
	}
	m.revision++
	m.store[w.Key] = stored{m.revision, w.Claim}
	return true
}

func (m *orderMachine) handle(router int, ev Event) {
	for _, action := range m.keepers[router].Handle(m.now, ev) {
		switch action := action.(type) {
		case Send:
			m.runs[m.key[action.Request]]++
			m.attempts[action.Attempt]++
			m.transit = append(m.transit, parcel{router: router, action: action})
		case Reply:
			m.ends[action.Request] = append(m.ends[action.Request], action)
		case Refuse:
			m.ends[action.Request] = append(m.ends[action.Request], action)
		default:
			m.transit = append(m.transit, parcel{router: router, action: action})
		}
	}
}

func (m *orderMachine) place(router int, key string) string {
	m.next++
	request := fmt.Sprintf("request-%d", m.next)
	m.key[request] = key
	m.attempt[request] = "attempt-" + request
	m.handle(router, Placed{request, key, m.attempt[request], 7, m.now.Add(5 * time.Second)})
	return request
}

func (m *orderMachine) deliver(i, fate int) {
	p := m.transit[i]
	m.transit = append(m.transit[:i], m.transit[i+1:]...)
	switch action := p.action.(type) {
	case nil:
		m.handle(p.router, p.event)
	case ReadClaim:
		s := m.store[action.Key]
		var ev Event = Read{action.Key, s.version, s.claim}
		if fate != 0 {
			ev = ReadFailed{action.Key}
		}
		m.transit = append(m.transit, parcel{router: p.router, event: ev})
	case WriteClaim:
		m.transit = append(m.transit, parcel{router: p.router, event: m.write(action, fate)})
	case Send:
		m.serve(p.router, action, fate)
	}
}

func (m *orderMachine) write(w WriteClaim, fate int) Event {
	done := Written{Key: w.Key}
	switch fate {
	case 1:
		m.put(w)
	case 2:
		m.late = append(m.late, w)
	default:
		done.Outcome = budget.NoEffect
		if fate == 0 && m.put(w) {
			done.Outcome = budget.TookEffect
			done.Version = m.store[w.Key].version
		}
	}
	return done
}

func (m *orderMachine) serve(router int, s Send, fate int) {
	answer := Answer{Status: 200, Body: []byte(s.Attempt)}
	switch fate {
	case 0:
		m.answers[m.key[s.Request]] = answer
		m.transit = append(m.transit, parcel{router: router, event: Answered{s.Request, answer}})
	case 1:
		m.runs[m.key[s.Request]]--
		m.attempts[s.Attempt]--
		m.transit = append(m.transit, parcel{router: router, event: Failed{s.Request, refusal.NoEndpoint, false}})
	default:
		m.transit = append(m.transit, parcel{router: router, event: Failed{s.Request, refusal.OrderUnknown, true}})
	}
}

func (m *orderMachine) kill(router int) {
	for key := range m.keepers[router].entries {
		m.lost[key] = true
	}
	m.keepers[router] = &Keeper{}
	kept := m.transit[:0]
	for _, p := range m.transit {
		if p.router != router {
			kept = append(kept, p)
		}
	}
	m.transit = kept
}

func (m *orderMachine) check(t *rapid.T) {
	for key, n := range m.runs {
		require.LessOrEqual(t, n, 1, "order %s ran more than once", key)
	}
	for request, ends := range m.ends {
		require.Len(t, ends, 1, "request %s has more than one answer", request)
		switch end := ends[0].(type) {
		case Refuse:
			if end.Kind.Answer().Ran == refusal.NotRun {
				require.Zero(t, m.attempts[m.attempt[request]], "%s was told NotRun and ran", request)
			}
		case Reply:
			require.Equal(t, m.answers[m.key[request]], end.Answer)
		}
	}
}

func (m *orderMachine) heal(t *rapid.T) {
	for range 10 {
		for n := 0; len(m.transit) > 0; n++ {
			require.Less(t, n, 10000, "the keepers keep calling although no fault is left")
			m.deliver(0, 0)
		}
		m.now = m.now.Add(2 * time.Second)
		for i := range m.keepers {
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
				if len(m.transit) == 0 {
					t.Skip("nothing in transit")
				}
				i := rapid.IntRange(0, len(m.transit)-1).Draw(t, "parcel")
				m.deliver(i, rapid.IntRange(0, 3).Draw(t, "fate"))
			},
			"land late": func(t *rapid.T) {
				if len(m.late) == 0 {
					t.Skip("no late write")
				}
				m.put(m.late[rapid.IntRange(0, len(m.late)-1).Draw(t, "late")])
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

// finish heals every fault; a key that never ran and that no killed router worked on must then run on a retry.
func (m *orderMachine) finish(t *rapid.T, keys []string) {
	m.heal(t)
	for i := range m.keepers {
		require.Zero(t, m.keepers[i].Pending())
	}
	for _, key := range keys {
		before := m.runs[key]
		request := m.place(0, key)
		m.heal(t)
		require.Len(t, m.ends[request], 1)
		if before == 0 && !m.lost[key] {
			require.IsType(t, Reply{}, m.ends[request][0], "key %s is blocked", key)
		}
	}
	m.check(t)
}

// claimed brings a keeper to the point at which its claim write had an unknown outcome, based on the given version.
func claimed(t *testing.T, deadline time.Time) (*Keeper, Claim) {
	k := &Keeper{}
	actions := k.Handle(start, Placed{Request: "r", Key: "key", Attempt: "a", BodyHash: 1, Deadline: deadline})
	require.Len(t, actions, 1)
	return k, actions[0].(WriteClaim).Claim
}

// TestAnOlderReadOfAClaimIsNotBelieved reads a version below one that was seen, as a lagging replica of the store would answer.
func TestAnOlderReadOfAClaimIsNotBelieved(t *testing.T) {
	k, mine := claimed(t, start.Add(time.Minute))
	k.Handle(start, Written{Key: "key", Outcome: budget.NoEffect})
	// Another attempt's claim that did not run is replaced.
	actions := k.Handle(start, Read{Key: "key", Version: 7, Claim: Claim{Attempt: "b", BodyHash: 1, State: NotRun}})
	require.Equal(t, []Action{WriteClaim{"key", 7, mine}}, actions)
	k.Handle(start, Written{Key: "key", Outcome: budget.OutcomeUnknown})
	actions = k.Handle(start, Read{Key: "key", Version: 3, Claim: mine})
	require.Equal(t, []Action{Refuse{"r", refusal.StoreUnavailable}}, actions, "neither sent nor told as done")
}

// TestAnOrderIsNotSentAfterItsDeadline lets the claim land when the caller no longer waits.
func TestAnOrderIsNotSentAfterItsDeadline(t *testing.T) {
	k, mine := claimed(t, start.Add(time.Second))
	late := start.Add(2 * time.Second)
	actions := k.Handle(late, Written{Key: "key", Outcome: budget.TookEffect, Version: 4})
	mine.State = NotRun
	require.Equal(t, []Action{Refuse{"r", refusal.DeadlineUnreachable}, WriteClaim{"key", 4, mine}}, actions)
}
