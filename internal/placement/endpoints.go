package placement

import (
	"slices"
	"sync"
	"time"

	"github.com/foxtaillanding/foxtaillanding/internal/decision"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
)

// Endpoints runs the endpoint pool of one router. The zero value has no endpoints.
type Endpoints struct {
	// Decisions delivers the pool's decisions about each request.
	Decisions decision.Waiters[endpoint.Action]

	// BroadcastSuspicion sends a suspicion to the other routers; may be nil.
	BroadcastSuspicion func(endpoint.Suspicion)

	OnLimitChanged func(endpoint.LimitChanged) // Called when the limit of an endpoint is known to have changed; may be nil.

	OnBrittleChanged func(endpoint.BrittleChanged) // Called when it is known to have changed whether an endpoint is brittle; may be nil.

	OnColdChanged func(endpoint.ColdChanged) // Called when an endpoint is taken for cold, or no longer; may be nil.

	OnPaceChanged func(endpoint.PaceChanged) // Called when an endpoint is paced, or no longer; may be nil.

	OnWaiting func() // Called when a request begins to wait for an endpoint; may be nil.

	mu        sync.Mutex
	pool      endpoint.Pool     // Guarded by mu.
	addresses map[string]string // By endpoint name; guarded by mu.
}

// EndpointConfig describes an endpoint, its address and whether it is leaving.
type EndpointConfig struct {
	endpoint.Endpoint

	Address string
	Leaving bool // Whether it gets no new requests.
}

// Init sets the policy of the pool. It is called before the first event.
func (e *Endpoints) Init(policy endpoint.Policy) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pool.Policy = policy
}

// Configure replaces the set of endpoints.
//
// The names in restarted are those of endpoints that restarted. The pool
// discards its state of them, because they are first removed and then added
// again.
func (e *Endpoints) Configure(now time.Time, configs []EndpointConfig, restarted map[string]bool) {
	addresses := make(map[string]string, len(configs))
	all := make([]endpoint.Endpoint, 0, len(configs))
	remaining := make([]endpoint.Endpoint, 0, len(configs))
	var leaving []endpoint.Event
	for _, cfg := range configs {
		addresses[cfg.Name] = cfg.Address
		all = append(all, cfg.Endpoint)
		if !restarted[cfg.Name] {
			remaining = append(remaining, cfg.Endpoint)
		}
		leaving = append(leaving, endpoint.LeavingUpdated{Endpoint: cfg.Name, Leaving: cfg.Leaving})
	}
	var events []endpoint.Event
	if len(remaining) < len(all) {
		events = append(events, endpoint.Configured{Endpoints: remaining})
	}
	events = append(events, endpoint.Configured{Endpoints: all})
	for _, action := range e.applyConfiguration(now, addresses, append(events, leaving...)) {
		e.perform(now, action)
	}
}

// applyConfiguration applies the events of one configuration under one lock, so that no request finds its endpoint removed
// between two of them.
func (e *Endpoints) applyConfiguration(now time.Time, addresses map[string]string, events []endpoint.Event) []endpoint.Action {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addresses = addresses
	var actions []endpoint.Action
	for _, ev := range events {
		actions = append(actions, e.pool.Handle(now, ev)...)
	}
	return actions
}

// Address returns the address of an endpoint and whether the endpoint is configured.
func (e *Endpoints) Address(name string) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	address, ok := e.addresses[name]
	return address, ok
}

// MaySend reports whether an endpoint is still configured and not leaving, so that a request may be sent to it.
func (e *Endpoints) MaySend(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pool.MaySend(name)
}

// Serves reports whether each of these services has an endpoint that is not leaving.
func (e *Endpoints) Serves(services []string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !slices.ContainsFunc(services, func(s string) bool { return !e.pool.Serves(s) })
}

// Handle applies an event to the pool and executes the resulting actions.
func (e *Endpoints) Handle(now time.Time, ev endpoint.Event) {
	for _, action := range decision.Apply(&e.mu, e.pool.Handle, now, ev) {
		e.perform(now, action)
	}
	switch ev.(type) {
	case endpoint.Submitted, endpoint.Retried:
		if e.OnWaiting != nil && e.Waiting() > 0 {
			e.OnWaiting()
		}
	}
}

// RequestMove asks the pool for a place at another endpoint for a request in flight. If it returns nil, the Denial tells why.
func (e *Endpoints) RequestMove(now time.Time, id string) (*endpoint.Reserved, endpoint.Denial) {
	var reserved *endpoint.Reserved
	var denial endpoint.Denial
	for _, action := range decision.Apply(&e.mu, e.pool.Handle, now, endpoint.Event(endpoint.MoveRequested{ID: id})) {
		switch action := action.(type) {
		case endpoint.Reserved:
			reserved = &action
		case endpoint.MoveDenied:
			denial = action.Reason
		default:
			e.perform(now, action)
		}
	}
	return reserved, denial
}

// Move ends the attempt in flight of a request and begins the next one at its reserved place. It reports false if the place can
// no longer be used, so that the request has no attempt in flight.
func (e *Endpoints) Move(now time.Time, id string, outcome endpoint.Outcome) bool {
	moved := true
	for _, action := range decision.Apply(&e.mu, e.pool.Handle, now, endpoint.Event(endpoint.Moved{ID: id, Outcome: outcome})) {
		if _, denied := action.(endpoint.MoveDenied); denied {
			moved = false
			continue
		}
		e.perform(now, action)
	}
	return moved
}

// RetryBudget returns the state of the retry budget for a model or service.
func (e *Endpoints) RetryBudget(now time.Time, service string) endpoint.RetryBudget {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pool.RetryBudget(now, service)
}

// Waiting returns the number of requests that wait for an endpoint.
func (e *Endpoints) Waiting() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pool.Waiting()
}

// perform executes one action. If nobody waits for a Send, the attempt is ended as abandoned.
func (e *Endpoints) perform(now time.Time, action endpoint.Action) {
	switch action := action.(type) {
	case endpoint.Send:
		if !e.Decisions.Send(action.ID, action) {
			e.Handle(now, endpoint.Ended{ID: action.ID, Outcome: endpoint.Abandoned})
		}
	case endpoint.Refuse:
		e.Decisions.Send(action.ID, action)
	case endpoint.BroadcastSuspect:
		if e.BroadcastSuspicion != nil {
			e.BroadcastSuspicion(action.Suspect)
		}
	case endpoint.LimitChanged:
		if e.OnLimitChanged != nil {
			e.OnLimitChanged(action)
		}
	case endpoint.BrittleChanged:
		if e.OnBrittleChanged != nil {
			e.OnBrittleChanged(action)
		}
	case endpoint.ColdChanged:
		if e.OnColdChanged != nil {
			e.OnColdChanged(action)
		}
	case endpoint.PaceChanged:
		if e.OnPaceChanged != nil {
			e.OnPaceChanged(action)
		}
	}
}

// KnownSafe reports whether the request with a fingerprint, or a request with a part, is known to have finished.
//
// It is then assumed not to be the reason when an endpoint dies.
func (e *Endpoints) KnownSafe(fingerprint uint64, part bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if part {
		return e.pool.IsKnownGoodPart(fingerprint)
	}
	return e.pool.IsKnownGood(fingerprint)
}

// HasUnknownParts reports whether a prompt has a part, shared with others, with which no request is known to have finished.
func (e *Endpoints) HasUnknownParts(prompt []endpoint.Part) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pool.HasUnknownParts(prompt)
}

// BlockedParts returns the suspicions of the parts of prompts whose requests are refused.
func (e *Endpoints) BlockedParts(now time.Time) []endpoint.Suspicion {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pool.BlockedParts(now)
}

// BlockedRequests returns the suspicions of the requests that are refused.
func (e *Endpoints) BlockedRequests(now time.Time) []endpoint.Suspicion {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pool.BlockedRequests(now)
}

// HasSeveralVersions reports whether endpoints of several software versions serve a model or service.
//
// Those that are gone count as long as they are configured, which is longer than streams last.
func (e *Endpoints) HasSeveralVersions(service string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pool.HasSeveralVersions(service)
}

// LimitReports returns the limits of endpoints to tell other routers.
func (e *Endpoints) LimitReports(now time.Time) []endpoint.LimitReported {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pool.LimitReports(now)
}

// BrittleReports returns the brittle endpoints to tell other routers.
func (e *Endpoints) BrittleReports(now time.Time) []endpoint.BrittleReported {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pool.BrittleReports(now)
}

// State is a snapshot of the endpoint pool of one router.
type State struct {
	Endpoints []endpoint.View
	Suspects  []endpoint.Suspicion
	Waiting   int // Number of requests that wait for an endpoint.
}

// State returns the state of the pool at the time now.
func (e *Endpoints) State(now time.Time) State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return State{Endpoints: e.pool.Views(now), Suspects: e.pool.Suspicions(), Waiting: e.pool.Waiting()}
}

// Usable returns the number of endpoints that may get new requests.
func (e *Endpoints) Usable(now time.Time) int {
	n := 0
	for _, v := range e.State(now).Endpoints {
		if !v.Leaving {
			n++
		}
	}
	return n
}
