package order

import (
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// State is the recorded progress of an order.
type State uint8

// The states of a claim. Claimed means that the order may have been sent.
//
// Claims are stored with these numbers, so their order must not change.
const (
	Claimed State = iota
	Done
	NotRun
	Unknown
)

// Claim is the value stored for one account and idempotency key.
type Claim struct {
	Attempt  string
	BodyHash uint64
	State    State
	Answer   Answer
}

// Answer is the response of a service.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Event is an input of a Coordinator.
type Event interface{ isEvent() }

// Placed requests the execution of an order.
type Placed struct {
	Request  string
	Key      string // Store key of the claim.
	Attempt  string // Unique across all routers.
	BodyHash uint64
	Deadline time.Time // The order is not sent after this time.
}

// ClaimRead carries the claim that a read returned; Version 0 means that there is none.
type ClaimRead struct {
	Key     string
	Version uint64
	Claim   Claim
}

// ClaimReadFailed reports that reading a claim failed.
type ClaimReadFailed struct{ Key string }

// ClaimWritten reports the outcome of a claim write.
type ClaimWritten struct {
	Key     string
	Outcome budget.Outcome
	Version uint64
}

// Answered carries the answer of the service to a sent order.
type Answered struct {
	Request string
	Answer  Answer
}

// Failed reports that a sent order got no answer.
//
// Sent is false only if the order cannot have reached the service.
type Failed struct {
	Request string
	Kind    refusal.Kind
	Sent    bool
}

// Tick triggers the retries that are due.
type Tick struct{}

func (Placed) isEvent()          {}
func (ClaimRead) isEvent()       {}
func (ClaimReadFailed) isEvent() {}
func (ClaimWritten) isEvent()    {}
func (Answered) isEvent()        {}
func (Failed) isEvent()          {}
func (Tick) isEvent()            {}

// Action is an output of a Coordinator, to be carried out by its caller.
type Action interface{ isAction() }

// ReadClaim requests a read of a claim from the store.
type ReadClaim struct{ Key string }

// WriteClaim requests a write of a claim, on condition that its stored version is still Version; 0 means absent.
type WriteClaim struct {
	Key     string
	Version uint64
	Claim   Claim
}

// Send requests that an order be sent to its service; it is emitted at most once per attempt.
type Send struct {
	Request string
	Attempt string
}

// Reply ends a request with the answer of the service.
type Reply struct {
	Request  string
	Answer   Answer
	Replayed bool // The answer belongs to an earlier request with the same key.
}

// Refuse ends a request with a refusal.
type Refuse struct {
	Request string
	Kind    refusal.Kind
}

func (ReadClaim) isAction()  {}
func (WriteClaim) isAction() {}
func (Send) isAction()       {}
func (Reply) isAction()      {}
func (Refuse) isAction()     {}
