package order

import (
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// State is what a claim says about its order.
type State uint8

// The states of a claim; Claimed means that the order may have been sent.
const (
	Claimed State = iota
	Done
	NotRun
	Unknown
)

// Claim is the store's value for one account and key.
type Claim struct {
	Attempt  string
	BodyHash uint64
	State    State
	Answer   Answer
}

// Answer is what the service answered.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Event is something that a Keeper reacts to.
type Event interface{ isEvent() }

// Placed asks for an order to be run; Key is the store key of its claim.
type Placed struct {
	Request  string
	Key      string
	Attempt  string // Never used before by any router.
	BodyHash uint64
	Deadline time.Time // Latest time at which the order is sent.
}

// Read carries a claim that was read; Version 0 means that there is none.
type Read struct {
	Key     string
	Version uint64
	Claim   Claim
}

// ReadFailed reports that the store did not answer a read.
type ReadFailed struct{ Key string }

// Written reports the outcome of a claim write.
type Written struct {
	Key     string
	Outcome budget.Outcome
	Version uint64
}

// Answered reports that the service answered a sent order.
type Answered struct {
	Request string
	Answer  Answer
}

// Failed reports that a sent order brought no answer; Sent is false only when it cannot have reached the service.
type Failed struct {
	Request string
	Kind    refusal.Kind
	Sent    bool
}

// Tick lets time pass.
type Tick struct{}

func (Placed) isEvent()     {}
func (Read) isEvent()       {}
func (ReadFailed) isEvent() {}
func (Written) isEvent()    {}
func (Answered) isEvent()   {}
func (Failed) isEvent()     {}
func (Tick) isEvent()       {}

// Action is something that a Keeper wants done.
type Action interface{ isAction() }

// ReadClaim reads a claim.
type ReadClaim struct{ Key string }

// WriteClaim writes a claim if its version is still Version.
type WriteClaim struct {
	Key     string
	Version uint64
	Claim   Claim
}

// Send sends the order to a service; it is emitted at most once for an attempt.
type Send struct {
	Request string
	Attempt string
}

// Reply answers the caller with the service's answer.
type Reply struct {
	Request  string
	Answer   Answer
	Replayed bool
}

// Refuse ends a request without an answer.
type Refuse struct {
	Request string
	Kind    refusal.Kind
}

func (ReadClaim) isAction()  {}
func (WriteClaim) isAction() {}
func (Send) isAction()       {}
func (Reply) isAction()      {}
func (Refuse) isAction()     {}
