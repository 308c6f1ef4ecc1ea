package endpoint

import (
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// Class orders work; a lower class is served first.
type Class uint8

// The classes of work.
const (
	Interactive Class = iota
	Standard
	Batch
	classCount
)

// ParseClass returns the class with the given name and whether there is one.
func ParseClass(name string) (Class, bool) {
	for c, n := range classNames {
		if n == name {
			return Class(c), true
		}
	}
	return Standard, false
}

var classNames = [classCount]string{"Interactive", "Standard", "Batch"}

// String returns the name of the class as settings spell it.
func (c Class) String() string { return classNames[min(c, Batch)] }

// Endpoint describes one back end as the settings give it.
type Endpoint struct {
	Name            string
	Serves          []string // Models or services.
	Slots           int      // Requests that it runs at once.
	TokensPerSecond float64  // Expected speed of one stream until it is measured.
	PromptPerSecond float64  // Expected prompt tokens a second until measured.
}

// Request is one unit of work.
type Request struct {
	ID           string
	Serves       string // The model or service that it asks for.
	Account      string
	Weight       float64 // Share of the account; zero means 1.
	Class        Class
	PromptTokens int64
	OutputTokens int64
	Prefix       uint64    // Hash of the prompt's beginning; zero when unknown.
	Parts        []Part    // The prompt in order when its parts are known; the last one is the request's own.
	Deadline     time.Time // Latest time of the first token.
	Fingerprint  uint64    // Hash of account and body.
	Repeatable   bool
	Attempts     int // Endpoints on which it may run at most; zero takes the policy's.
}

// Part is a piece of a prompt that other requests may share.
type Part struct {
	ID     uint64
	Tokens int64
}

// Outcome tells how an attempt ended.
type Outcome uint8

// The ways in which an attempt ends; the zero value assumes that the endpoint died.
const (
	Died       Outcome = iota // The connection broke.
	Finished                  // The answer is whole.
	Rejected                  // The endpoint did not take the request; it did not run.
	Incomplete                // The endpoint is alive but its answer is not whole.
	Abandoned                 // The router or the caller ended it.
	Silent                    // The endpoint did not answer in time.
)

var outcomeNames = [...]string{"Died", "Finished", "Rejected", "Incomplete", "Abandoned", "Silent"}

// String returns the name of the outcome as logs spell it.
func (o Outcome) String() string { return outcomeNames[min(o, Silent)] }

// Load is an endpoint's own report.
type Load struct {
	Running int
	Waiting int
	Leaving bool
}

// Event is something that a Pool reacts to.
type Event interface{ isEvent() }

// Configured replaces the set of endpoints.
type Configured struct{ Endpoints []Endpoint }

// Submitted offers a request.
type Submitted struct{ Request Request }

// Retried offers a request again after an attempt ended without a whole answer.
type Retried struct{ ID string }

// FirstToken reports that an attempt's answer began.
type FirstToken struct{ ID string }

// Ended reports that an attempt ended.
type Ended struct {
	ID      string
	Outcome Outcome
	Tokens  int64
}

// Withdrawn ends a request that waits or that will not be tried again.
type Withdrawn struct{ ID string }

// RoutersCounted gives the number of routers that send to the same endpoints, this one included.
type RoutersCounted struct{ Routers int }

// Reported carries an endpoint's load.
type Reported struct {
	Endpoint string
	Load     Load
}

// LeavingSeen reports that the settings or the VM list show an endpoint as leaving or as staying.
type LeavingSeen struct {
	Endpoint string
	Leaving  bool
}

// CacheSeen reports that an endpoint holds a prompt prefix, or dropped it.
type CacheSeen struct {
	Endpoint string
	Prefix   uint64
	Dropped  bool
}

// SuspectHeard carries a peer's knowledge about a suspect.
type SuspectHeard struct{ Suspect Suspicion }

// RetriesChanged replaces the bounds of the repeats, as Policy gives them.
type RetriesChanged struct {
	RetryRatio   float64
	FleetReserve float64
}

// Acquitted carries a peer's knowledge that a suspect finished there.
type Acquitted struct{ Fingerprint uint64 }

// Tick lets time pass.
type Tick struct{}

func (Configured) isEvent()     {}
func (Submitted) isEvent()      {}
func (Retried) isEvent()        {}
func (FirstToken) isEvent()     {}
func (Ended) isEvent()          {}
func (Withdrawn) isEvent()      {}
func (RoutersCounted) isEvent() {}
func (Reported) isEvent()       {}
func (LeavingSeen) isEvent()    {}
func (CacheSeen) isEvent()      {}
func (SuspectHeard) isEvent()   {}
func (Acquitted) isEvent()      {}
func (RetriesChanged) isEvent() {}
func (Tick) isEvent()           {}

// Action is something that a Pool wants done.
type Action interface{ isAction() }

// Send starts one attempt of a request.
type Send struct {
	ID       string
	Endpoint string
	Attempt  int // Counts from 1 within the request.
}

// Refuse ends a request.
type Refuse struct {
	ID    string
	Kind  refusal.Kind
	After time.Duration // When positive, how long the caller should wait.
}

// TellSuspect spreads a suspicion to the other routers.
type TellSuspect struct{ Suspect Suspicion }

func (Send) isAction()        {}
func (Refuse) isAction()      {}
func (TellSuspect) isAction() {}
