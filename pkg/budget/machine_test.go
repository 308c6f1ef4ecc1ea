package budget

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
)

const (
	testBudget    = "polish"
	testSealAfter = 2 * time.Second
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// fleetMachine simulates holders, a store and a lossy network; the invariants are checked against its fields used and outcomes.
type fleetMachine struct {
	store       fakeStore
	holders     map[string]*Holder
	names       []string
	dataCentre  map[string]string        // By holder.
	paused      map[string]bool          // Holders that handle nothing until they are resumed.
	clockOffset map[string]time.Duration // Clock error by holder.
	now         time.Time
	inTransit   []envelope
	lateRaises  []envelope        // Raises that were reported as failed and that may still reach their witness.
	lateWrites  []Commit          // Writes whose outcome was reported as unknown and that may still take effect.
	running     map[string]int64  // Reserved tokens by "holder request" of dispatched requests that are not settled.
	reserved    map[string]int64  // Tokens to reserve by request.
	used        int64             // Tokens used by endpoints, less refunds; a running request counts with its reservation.
	billed      []int64           // Bills that were not refunded.
	outcomes    map[string]int    // Number of final outcomes by request.
	origins     map[string]origin // Origins by ID of a forwarded request, recall or raise.
	answered    map[string]bool   // IDs in origins whose answer was sent.
	trace       []step
	receivedBy  map[string]string // Holder by request that a caller sent.
	nextID      int
	fate        int   // Fate of the envelope that is being delivered.
	maxTotal    int64 // Highest prepaid total that was sent to a holder.
}

// newFleetMachine returns the fleet of the recorded traces.
func newFleetMachine() *fleetMachine { return newFleetMachineOf("north", "south", "north") }

// newFleetMachineOf returns a fleet with one holder in each of the given data centres, which may be named repeatedly.
func newFleetMachineOf(dataCentres ...string) *fleetMachine {
	m := &fleetMachine{
		holders: map[string]*Holder{}, dataCentre: map[string]string{}, paused: map[string]bool{},
		clockOffset: map[string]time.Duration{}, now: start,
		running: map[string]int64{}, reserved: map[string]int64{}, outcomes: map[string]int{},
		origins: map[string]origin{}, answered: map[string]bool{}, receivedBy: map[string]string{},
	}
	m.store.record.Budget = testBudget
	for _, dataCentre := range dataCentres {
		m.addHolder(dataCentre)
	}
	m.trace = []step{{Op: "Fleet", DataCentres: dataCentres}}
	return m
}

func (m *fleetMachine) id(prefix string) string {
	m.nextID++
	return fmt.Sprintf("%s-%d", prefix, m.nextID)
}

func (m *fleetMachine) addHolder(dataCentre string) {
	name := m.id("vm")
	m.dataCentre[name] = dataCentre
	m.holders[name] = &Holder{Name: name, Policy: Policy{MaxForwards: 2, SealAfter: testSealAfter, Step: time.Second, RetireAfter: 30 * time.Second}}
	m.names = append(m.names, name)
	for _, other := range m.names {
		m.setPeers(other, "")
	}
}

// kill replaces a holder by a new incarnation; the connections of its peers break.
func (m *fleetMachine) kill(i int) {
	victim := m.names[i]
	delete(m.holders, victim)
	delete(m.paused, victim)
	m.names = append(m.names[:i], m.names[i+1:]...)
	for _, id := range slices.Sorted(maps.Keys(m.origins)) {
		o := m.origins[id]
		if o.peer != victim || m.answered[id] {
			continue
		}
		lost := o.peerDied()
		if accepted, ok := lost.(ForwardAccepted); ok {
			m.outcomes[accepted.Request]++
		}
		m.inTransit = append(m.inTransit, envelope{holder: o.holder, event: lost})
	}
	m.addHolder(m.dataCentre[victim])
}

// loseDataCentre kills all holders of the data centre that a holder is in, before any of them returns.
func (m *fleetMachine) loseDataCentre(holder string) {
	var lost []string
	for _, name := range m.names {
		if m.dataCentre[name] == m.dataCentre[holder] {
			lost = append(lost, name)
		}
	}
	for _, name := range lost {
		delete(m.holders, name)
	}
	for _, name := range lost {
		m.kill(slices.Index(m.names, name))
	}
}

// sealPaused pauses a holder for so long that its witness seals its account, and lets the others go on.
func (m *fleetMachine) sealPaused(holder string) {
	m.paused[holder] = true
	m.suspect(holder)
	m.run(sealDeliveries)
}

// sealDeliveries is the number of deliveries within which a witness has sealed an account if no fault occurs.
const sealDeliveries = 12

// run delivers up to n envelopes in order and without faults, except to paused holders.
func (m *fleetMachine) run(n int) {
	for ; n > 0; n-- {
		i := slices.IndexFunc(m.inTransit, func(e envelope) bool { return !m.paused[e.holder] })
		if i < 0 {
			return
		}
		m.deliver(i, 0)
	}
}

// handle passes an event to a holder; a paused one receives it after it was resumed.
func (m *fleetMachine) handle(holder string, ev Event) {
	h, ok := m.holders[holder]
	if !ok {
		return
	}
	if m.paused[holder] {
		if _, ok := ev.(Tick); !ok {
			m.inTransit = append(m.inTransit, envelope{holder: holder, event: ev})
		}
		return
	}
	for _, action := range h.Handle(m.now.Add(m.clockOffset[holder]), ev) {
		m.collect(holder, action)
	}
}

// setPeers sends a holder its list of reachable peers, which leaves out the excluded one although it is live.
func (m *fleetMachine) setPeers(holder, excluded string) {
	var peers PeersChanged
	var members []fleet.Member
	for _, other := range m.names {
		if other != holder && other != excluded {
			peers.Peers = append(peers.Peers, other)
			members = append(members, m.member(other))
		}
	}
	witnesses := fleet.Witnesses(m.member(holder), members)
	for _, other := range peers.Peers {
		if slices.Contains(witnesses, m.member(other).Name()) {
			peers.Witnesses = append(peers.Witnesses, other)
		}
	}
	m.handle(holder, peers)
}

// member returns a holder's router as the other routers see it.
func (m *fleetMachine) member(holder string) fleet.Member {
	return fleet.Member{VM: holder, DataCentre: m.dataCentre[holder]}
}

// suspect hides a holder from its witness for so long that the witness seals its account.
func (m *fleetMachine) suspect(holder string) {
	a := m.holders[holder].accounts[testBudget]
	if a == nil || m.holders[a.own.Witness] == nil {
		return
	}
	m.suspectBy(a.own.Witness, holder)
}

// suspectBy hides a holder from another one for so long that this one seals its account if it was ever asked to witness it.
func (m *fleetMachine) suspectBy(witness, holder string) {
	m.setPeers(witness, holder)
	m.now = m.now.Add(testSealAfter)
	m.handle(witness, Tick{})
}

func (m *fleetMachine) request(holder string, tokens int64, onDemand bool) {
	id := m.id("request")
	m.receivedBy[id] = holder
	m.reserved[id] = tokens
	m.handle(holder, Reserve{Request: id, Budget: testBudget, Tokens: tokens, Deadline: m.now.Add(time.Hour), OnDemand: onDemand})
}

func (m *fleetMachine) settle(key string, tokens int64) {
	var holder, request string
	_, _ = fmt.Sscan(key, &holder, &request)
	m.used -= m.running[key] - tokens
	m.billed = append(m.billed, tokens)
	delete(m.running, key)
	m.handle(holder, Settle{request, tokens})
	m.handle(holder, Settle{request, tokens})
}

func (m *fleetMachine) refund(holder string, i int) {
	m.handle(holder, Refund{testBudget, m.billed[i]})
	m.used -= m.billed[i]
	m.billed = append(m.billed[:i], m.billed[i+1:]...)
}

func (m *fleetMachine) topUp(t require.TestingT, id string, tokens int64) {
	next, err := m.store.record.TopUp(id, tokens)
	require.NoError(t, err)
	m.store.put(m.store.version, next)
}

func (m *fleetMachine) check(t *rapid.T) { m.verify(t) }

func (m *fleetMachine) verify(t require.TestingT) {
	require.NoError(t, m.store.record.Check())
	require.LessOrEqual(t, m.used, m.store.record.Prepaid(), "tokens used by endpoints exceed the prepaid tokens")
	if m.maxTotal > 0 {
		require.LessOrEqual(t, m.used, m.maxTotal, "tokens used by endpoints exceed the prepaid total")
	}
	for name, h := range m.holders {
		if a := h.accounts[testBudget]; a != nil && !a.closed && !a.fenced {
			stored, ok := m.store.record.Holders[name]
			owned := a.ceiling() - a.own.Returned
			if !ok && a.write != nil && a.write.closing {
				// The closing write has moved the reported usage from the account to Retired.
				owned -= a.write.before.Spent - a.write.before.Refunded
			}
			require.LessOrEqual(t, owned, stored.Granted-stored.Returned, "holder %s considers more tokens its own than the store grants it", name)
		}
	}
	for request, n := range m.outcomes {
		require.LessOrEqual(t, n, 1, "request %s has more than one outcome", request)
	}
}

// heal drops late writes, resumes all holders, makes all peers reachable and runs the holders without faults for 400 seconds.
func (m *fleetMachine) heal(t require.TestingT) {
	m.lateWrites = nil
	m.lateRaises = nil
	clear(m.paused)
	for _, name := range m.names {
		m.setPeers(name, "")
	}
	for range 400 {
		for n := 0; len(m.inTransit) > 0; n++ {
			require.Less(t, n, 100000, "the holders keep sending although no faults remain")
			m.deliver(0, 0)
		}
		if key := sampleKey(m.running); key != "" {
			m.settle(key, m.running[key]/2)
		}
		m.now = m.now.Add(time.Second)
		for _, name := range m.names {
			m.handle(name, Tick{})
		}
	}
}

func sampleKey(running map[string]int64) string {
	first := ""
	for key := range running {
		if first == "" || key < first {
			first = key
		}
	}
	return first
}
