package placement

import (
	"sync"
	"time"

	"github.com/foxtaillanding/foxtaillanding/internal/decision"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
)

// Endpoints are the endpoints that one router sends requests to; the zero value knows none.
type Endpoints struct {
	// Decisions takes what was decided about each request.
	Decisions decision.Waiters[endpoint.Action]

	// TellSuspect spreads a suspicion to the other routers; nil tells nobody.
	TellSuspect func(endpoint.Suspicion)

	mu        sync.Mutex
	pool      endpoint.Pool     // Guarded by mu.
	addresses map[string]string // By endpoint; guarded by mu.
}

// Located is an endpoint with the address that it listens on.
type Located struct {
	endpoint.Endpoint

	Address string
	Leaving bool // It gets no new requests.
}

// Open sets the policy before the first event.
func (e *Endpoints) Open(policy endpoint.Policy) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pool.Policy = policy
}

// Configure replaces the set of endpoints; what was learnt of those that restarted is forgotten.
func (e *Endpoints) Configure(now time.Time, list []Located, restarted map[string]bool) {
	addresses := make(map[string]string, len(list))
	all := make([]endpoint.Endpoint, 0, len(list))
	lasting := make([]endpoint.Endpoint, 0, len(list))
	for _, one := range list {
		addresses[one.Name] = one.Address
		all = append(all, one.Endpoint)
		if !restarted[one.Name] {
			lasting = append(lasting, one.Endpoint)
		}
	}
	e.mu.Lock()
	e.addresses = addresses
	e.mu.Unlock()
	if len(lasting) < len(all) {
		e.Handle(now, endpoint.Configured{Endpoints: lasting})
	}
	e.Handle(now, endpoint.Configured{Endpoints: all})
	for _, one := range list {
		e.Handle(now, endpoint.LeavingUpdated{Endpoint: one.Name, Leaving: one.Leaving})
	}
}

// Address returns where an endpoint listens.
func (e *Endpoints) Address(name string) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	address, ok := e.addresses[name]
	return address, ok
}

// Handle applies one event and carries out what follows from it.
func (e *Endpoints) Handle(now time.Time, ev endpoint.Event) {
	for _, action := range decision.Locked(&e.mu, e.pool.Handle, now, ev) {
		e.perform(now, action)
	}
}

func (e *Endpoints) perform(now time.Time, action endpoint.Action) {
	switch action := action.(type) {
	case endpoint.Send:
		if !e.Decisions.Send(action.ID, action) {
			e.Handle(now, endpoint.Ended{ID: action.ID, Outcome: endpoint.Abandoned})
		}
	case endpoint.Refuse:
		e.Decisions.Send(action.ID, action)
	case endpoint.BroadcastSuspect:
		if e.TellSuspect != nil {
			e.TellSuspect(action.Suspect)
		}
	}
}

// Sound returns those of the fingerprints whose requests are known to have finished once.
func (e *Endpoints) Sound(fingerprints []uint64) []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	sound := []uint64{}
	for _, f := range fingerprints {
		if e.pool.IsKnownGood(f) {
			sound = append(sound, f)
		}
	}
	return sound
}

// State is what one router sees of its endpoints.
type State struct {
	Endpoints []endpoint.View
	Suspects  []endpoint.Suspicion
	Waiting   int // Requests that wait for an endpoint.
}

// State returns what the pool sees at a time.
func (e *Endpoints) State(now time.Time) State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return State{Endpoints: e.pool.Views(now), Suspects: e.pool.Suspicions(), Waiting: e.pool.Waiting()}
}
