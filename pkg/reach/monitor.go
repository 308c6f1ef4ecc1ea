package reach

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Timing of a Monitor.
const (
	ProbeTimeout      = 300 * time.Millisecond // Of the connection that a probe opens.
	SilenceLimit      = 400 * time.Millisecond // Time in which nothing is received from any endpoint, although attempts are in flight, that is a reason to probe.
	MinAttemptAge     = 100 * time.Millisecond // Age from which on an attempt without an answer counts as silent.
	BreakSettleTime   = 50 * time.Millisecond  // From the break of a connection until it is judged, since connections do not all break in the same instant.
	BreakWindow       = 100 * time.Millisecond // Time within which breaks at several endpoints have one cause.
	FailureWindow     = 500 * time.Millisecond // Age up to which a failure counts.
	RoundInterval     = time.Second            // Shortest time between the starts of two rounds of probes that no break of a connection asked for.
	MinRestoreBackoff = 250 * time.Millisecond // Shortest time between two probes while the path is lost.
	MaxRestoreBackoff = 500 * time.Millisecond // Longest time between two probes while the path is lost.
)

const (
	probesPerRound = 3 // Endpoints that are probed at a time.
	minWitnesses   = 2 // Endpoints at which something must have failed, if there are so many.
)

// Monitor finds out for one router whether it reaches the endpoints.
//
// The zero value has no endpoints. A Monitor is not safe for concurrent use.
type Monitor struct {
	Seed uint64 // Seed of the choice of endpoints to probe.

	endpoints  map[string]*endpoint
	names      []string  // Keys of endpoints, sorted.
	receivedAt time.Time // When something was last received from any endpoint.
	openedAt   time.Time // When a connection was last opened.
	busySince  time.Time // Since when attempts have been in flight without a break; zero if none is.
	inFlight   int

	round     round
	rounds    uint64
	roundAt   time.Time // Start of the last round.
	lost      bool
	lostAt    time.Time
	cut       bool      // Several endpoints that were not down before failed when the path was lost.
	nextProbe time.Time // When the next endpoint is probed while the path is lost.
	nextIndex int       // Index in names of the endpoint to probe next.
	random    *rand.Rand
}

// endpoint is what a Monitor knows of one endpoint.
type endpoint struct {
	name      string
	inFlight  int
	waitingAt time.Time // Start of the attempt that has waited longest, or time of what was last received since.
	aliveAt   time.Time // When something was last received from it or a connection to it opened.
	failedAt  time.Time // Last failure.
	kind      FailureKind
	brokeAt   time.Time // Last break of a connection.
	down      bool      // It failed before while others did not, and has not answered since.
}

// round is a set of probes that are sent together; the zero value is none.
type round struct {
	waiting map[string]bool // Endpoints whose probes have no result yet.
	failed  int
	invalid bool // The result of a probe was inconclusive.
}

func (r *round) running() bool { return len(r.waiting) > 0 }

// Handle applies an event at time now and returns the actions to carry out.
func (m *Monitor) Handle(now time.Time, ev Event) []Action {
	m.init()
	switch ev := ev.(type) {
	case Configured:
		m.configure(ev.Endpoints)
		return nil
	case Sent:
		m.send(now, m.endpoints[ev.Endpoint])
		return nil
	case Ended:
		m.end(m.endpoints[ev.Endpoint])
		return nil
	case Received:
		m.receive(now, m.endpoints[ev.Endpoint])
		return nil
	case Connected:
		return m.open(now, ev.Endpoint)
	case ConnectFailed:
		if e := m.endpoints[ev.Endpoint]; e != nil {
			m.fail(now, e, ConnectError)
		}
		return m.considerFailures(now)
	case Broke:
		if e := m.endpoints[ev.Endpoint]; e != nil {
			m.fail(now, e, ConnectionBroken)
			e.brokeAt = now
		}
		return m.considerFailures(now)
	case Judge:
		return m.judgeBreak(now)
	case Probed:
		return m.handleProbed(now, ev)
	case Tick:
		return m.tick(now)
	default:
		return nil
	}
}

// Lost reports whether the path is lost.
func (m *Monitor) Lost() bool { return m.lost }

// Judging reports whether a round of probes is running.
func (m *Monitor) Judging() bool { return m.round.running() }

// Busy reports whether the monitor needs ticks.
func (m *Monitor) Busy() bool { return m.lost || m.inFlight > 0 }

// Cut reports whether connections that break are put down to the path and not to the endpoints.
//
// It is valid when the round of probes has ended that Judge asked for after the break.
func (m *Monitor) Cut() bool { return m.lost && m.cut }

// SeveralBroke reports whether connections to other endpoints broke at nearly the same time as the last one to this endpoint.
func (m *Monitor) SeveralBroke(name string) bool {
	e, ok := m.endpoints[name]
	if !ok || e.brokeAt.IsZero() {
		return false
	}
	for _, other := range m.endpoints {
		if other != e && !other.brokeAt.IsZero() && e.brokeAt.Sub(other.brokeAt).Abs() <= BreakWindow {
			return true
		}
	}
	return false
}

func (m *Monitor) init() {
	if m.endpoints == nil {
		m.endpoints = map[string]*endpoint{}
		m.random = rand.New(rand.NewPCG(m.Seed, m.Seed))
	}
}

func (m *Monitor) configure(names []string) {
	next := map[string]*endpoint{}
	for _, name := range names {
		e, ok := m.endpoints[name]
		if !ok {
			e = &endpoint{name: name}
		}
		next[name] = e
	}
	for name, e := range m.endpoints {
		if next[name] == nil {
			m.inFlight -= e.inFlight
		}
	}
	m.endpoints = next
	m.names = slices.Sorted(maps.Keys(next))
}

func (m *Monitor) send(now time.Time, e *endpoint) {
	if e == nil {
		return
	}
	if e.inFlight == 0 {
		e.waitingAt = now
	}
	if m.inFlight == 0 {
		m.busySince = now
	}
	e.inFlight++
	m.inFlight++
}

func (m *Monitor) end(e *endpoint) {
	if e == nil || e.inFlight == 0 {
		return
	}
	e.inFlight--
	m.inFlight--
}

func (m *Monitor) receive(now time.Time, e *endpoint) {
	if e == nil {
		return
	}
	m.receivedAt = now
	e.waitingAt = now
	e.aliveAt = now
	e.down = false
}

// open records that a connection to an endpoint was opened, which shows that the path is there.
func (m *Monitor) open(now time.Time, name string) []Action {
	if e := m.endpoints[name]; e != nil {
		e.aliveAt = now
		e.down = false
	}
	m.openedAt = now
	var actions []Action
	if m.round.running() {
		m.round = round{}
		actions = append(actions, Judged{})
	}
	if !m.lost {
		return actions
	}
	m.lost = false
	return append(actions, Restored{Endpoint: name, After: now.Sub(m.lostAt)})
}

func (m *Monitor) fail(now time.Time, e *endpoint, kind FailureKind) {
	e.down = m.knownDown(e)
	e.failedAt = now
	e.kind = kind
}

// judgeBreak starts a round of probes to find out whether an endpoint or the path is to blame for the break of a connection.
//
// One round judges all connections that broke at nearly the same time.
func (m *Monitor) judgeBreak(now time.Time) []Action {
	if now.Sub(m.roundAt) < BreakSettleTime/2 {
		return nil
	}
	return m.startRound(now)
}

// knownDown reports whether an endpoint failed before while others did not, and has not answered since.
func (m *Monitor) knownDown(e *endpoint) bool {
	return e.down || e.failedAt.After(e.aliveAt) && m.succeededAt().After(e.failedAt.Add(BreakWindow))
}

// succeededAt returns the time of the last event that shows that the path was there.
func (m *Monitor) succeededAt() time.Time {
	if m.openedAt.After(m.receivedAt) {
		return m.openedAt
	}
	return m.receivedAt
}

// considerFailures starts a round of probes if connections failed at several endpoints and none was opened since.
func (m *Monitor) considerFailures(now time.Time) []Action {
	if m.lost || now.Sub(m.roundAt) < RoundInterval || len(m.recentFailures(now)) < m.witnesses() {
		return nil
	}
	return m.startRound(now)
}

// witnesses returns the number of endpoints at which something must have failed.
func (m *Monitor) witnesses() int { return max(1, min(minWitnesses, len(m.names))) }

// recentFailures returns the failures that are in FailureWindow and after the last connection was opened.
func (m *Monitor) recentFailures(now time.Time) []Failure {
	var failures []Failure
	for _, name := range m.names {
		e := m.endpoints[name]
		if e.failedAt.IsZero() || now.Sub(e.failedAt) > FailureWindow || e.failedAt.Before(m.openedAt) {
			continue
		}
		failures = append(failures, Failure{Endpoint: name, Kind: e.kind, Age: now.Sub(e.failedAt)})
	}
	return failures
}

// silent returns the endpoints that answer nothing, if none has for SilenceLimit.
func (m *Monitor) silent(now time.Time) []Failure {
	if m.inFlight == 0 || now.Sub(m.receivedAt) < SilenceLimit || now.Sub(m.busySince) < SilenceLimit {
		return nil
	}
	var failures []Failure
	for _, name := range m.names {
		if e := m.endpoints[name]; e.inFlight > 0 && now.Sub(e.waitingAt) >= MinAttemptAge {
			failures = append(failures, Failure{Endpoint: name, Kind: NoAnswer, Age: now.Sub(e.waitingAt)})
		}
	}
	return failures
}

func (m *Monitor) tick(now time.Time) []Action {
	if m.lost {
		return m.probeNext(now)
	}
	if now.Sub(m.roundAt) >= RoundInterval && len(m.silent(now)) >= m.witnesses() {
		return m.startRound(now)
	}
	return m.considerFailures(now)
}

// startRound probes some endpoints at once, unless the path is lost or a round is running.
func (m *Monitor) startRound(now time.Time) []Action {
	if m.lost || m.round.running() || len(m.names) == 0 {
		return nil
	}
	m.rounds++
	m.round = round{waiting: map[string]bool{}}
	m.roundAt = now
	var actions []Action
	for _, name := range m.candidates(now)[:min(probesPerRound, len(m.names))] {
		m.round.waiting[name] = true
		actions = append(actions, Probe{name, m.rounds})
	}
	return actions
}

// candidates returns all endpoints, those first that are most likely to answer if the path is there.
func (m *Monitor) candidates(now time.Time) []string {
	names := slices.Clone(m.names)
	m.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(m.doubt(now, a), m.doubt(now, b)), m.endpoints[b].aliveAt.Compare(m.endpoints[a].aliveAt))
	})
	return names
}

// doubt returns how much speaks against probing an endpoint.
func (m *Monitor) doubt(now time.Time, name string) int {
	switch e := m.endpoints[name]; {
	case m.knownDown(e):
		return 2
	case !e.failedAt.IsZero() && now.Sub(e.failedAt) <= FailureWindow:
		return 1
	default:
		return 0
	}
}

func (m *Monitor) handleProbed(now time.Time, ev Probed) []Action {
	if ev.Result == Opened {
		return m.open(now, ev.Endpoint)
	}
	if ev.Round != m.rounds || !m.round.waiting[ev.Endpoint] {
		return nil
	}
	delete(m.round.waiting, ev.Endpoint)
	if ev.Result == Inconclusive {
		m.round.invalid = true
	} else {
		m.round.failed++
		m.failProbe(now, ev.Endpoint)
	}
	if m.round.running() {
		return nil
	}
	if m.round.invalid {
		return []Action{Judged{}}
	}
	return m.lose(now)
}

// failProbe records the failure of a probe, which does not replace what an attempt showed.
func (m *Monitor) failProbe(now time.Time, name string) {
	e := m.endpoints[name]
	if e == nil {
		return
	}
	kind := ProbeFailed
	if now.Sub(e.failedAt) <= FailureWindow {
		kind = e.kind
	}
	m.fail(now, e, kind)
}

// lose declares the path lost, if there is no other explanation.
func (m *Monitor) lose(now time.Time) []Action {
	evidence := m.recentFailures(now)
	for _, f := range m.silent(now) {
		if !slices.ContainsFunc(evidence, func(e Failure) bool { return e.Endpoint == f.Endpoint }) {
			evidence = append(evidence, f)
		}
	}
	if len(evidence) < m.witnesses() {
		return []Action{Judged{}}
	}
	m.lost = true
	m.lostAt = now
	m.cut = m.severalSound(evidence)
	m.nextProbe = now.Add(m.backoff())
	var oldest time.Duration
	for _, f := range evidence {
		oldest = max(oldest, f.Age)
	}
	return []Action{Judged{}, Lost{Since: now.Add(-oldest - FailureWindow), Evidence: evidence}}
}

// severalSound reports whether several endpoints that were not down before are among those that failed.
func (m *Monitor) severalSound(evidence []Failure) bool {
	n := 0
	for _, f := range evidence {
		if !m.endpoints[f.Endpoint].down {
			n++
		}
	}
	return n >= minWitnesses
}

// probeNext probes one endpoint after the other while the path is lost.
func (m *Monitor) probeNext(now time.Time) []Action {
	if now.Before(m.nextProbe) || len(m.names) == 0 {
		return nil
	}
	m.nextProbe = now.Add(m.backoff())
	m.nextIndex = (m.nextIndex + 1) % len(m.names)
	return []Action{Probe{Endpoint: m.names[m.nextIndex]}}
}

func (m *Monitor) backoff() time.Duration {
	return MinRestoreBackoff + time.Duration(m.random.Int64N(int64(MaxRestoreBackoff-MinRestoreBackoff)))
}
