package endpoint

import (
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// Class is the priority class of a request. Lower values are served first.
type Class uint8

// The priority classes, highest priority first.
const (
	Interactive Class = iota
	Standard
	Batch
	classCount
)

// ParseClass returns the class with the given name and whether it exists.
// For an unknown name, the class is Standard.
func ParseClass(name string) (Class, bool) {
	for c, n := range classNames {
		if n == name {
			return Class(c), true
		}
	}
	return Standard, false
}

var classNames = [classCount]string{"Interactive", "Standard", "Batch"}

// String returns the name of the class as written in the settings.
func (c Class) String() string { return classNames[min(c, Batch)] }

// Endpoint describes one back end as configured.
type Endpoint struct {
	Name                  string
	Serves                []string // Names of its models or services.
	Version               string   // Version of its software; empty if unknown.
	Unrecorded            bool     // No stream may begin at its version yet.
	Paced                 bool     // It is paced after it has started or recovered, also without a ColdRate.
	Slots                 int      // Number of requests that it runs concurrently.
	TokensPerSecond       float64  // Output tokens per second of one stream, used until measured.
	PromptTokensPerSecond float64  // Prompt tokens per second, used until measured.

	ColdRate float64       // Requests per second that it tolerates from all routers together while it is cold; zero if it never is.
	ColdFor  time.Duration // Time for which it is cold after it has started.
	ColdLeft time.Duration // Time for which it stays cold from now on, as it said itself; zero if it did not.
}

// Request describes one request to a model or service.
type Request struct {
	ID           string
	Service      string // Name of the requested model or service.
	Account      string
	Weight       float64 // Fair-share weight of the account; zero means 1.
	Class        Class
	PromptTokens int64
	OutputTokens int64
	Prefix       uint64    // Hash of the prompt's prefix; zero if unknown.
	Parts        []Part    // The parts of the prompt in order, if known. The last one is unique to the request.
	Deadline     time.Time // Latest time for the first token.
	AnswerBy     time.Time // Latest time for the next token of a stream that has begun; zero means Deadline.
	Fingerprint  uint64    // Hash of the account and the content; identical requests share it.
	Repeatable   bool      // Whether the request may run more than once.
	VersionBound bool      // Only endpoints with the software version Version may serve it, since one of them began its stream.
	Version      string    // Not used unless VersionBound is set.
	BeginsStream bool      // The answer is a stream that may be resumed, so that it must not begin at an unrecorded version.
	MaxAttempts  int       // Maximum number of attempts, not counting rejected ones; zero means the policy's.
	Arrived      bool      // An attempt of another router for the same caller may have arrived at an endpoint.
	Runs         int       // Attempts of other routers that may have run.
}

// Part is a piece of a prompt that other requests may share.
type Part struct {
	ID     uint64
	Tokens int64
}

// Outcome is the result of an attempt.
type Outcome uint8

// The outcomes of an attempt. The zero value stands for the death of the endpoint.
const (
	Died       Outcome = iota // The connection broke.
	Finished                  // The response is complete.
	Rejected                  // The endpoint did not accept the request, which did not run.
	Incomplete                // The endpoint is alive but its response is incomplete.
	Abandoned                 // The router or the caller cancelled the attempt.
	Silent                    // The endpoint did not respond before the timeout.
	CutOff                    // The connection broke because the router lost its path to the endpoints.
)

var outcomeNames = [...]string{"Died", "Finished", "Rejected", "Incomplete", "Abandoned", "Silent", "CutOff"}

// String returns the name of the outcome as written in logs and metrics.
func (o Outcome) String() string { return outcomeNames[min(o, CutOff)] }

// Load is an endpoint's report of its own load.
type Load struct {
	Running  int
	Waiting  int
	Leaving  bool
	Slowdown float64 // Factor by which work takes longer than usual at the moment; zero if not reported.
}

// Event is an input to Pool.Handle.
type Event interface{ isEvent() }

// Configured replaces the set of endpoints.
type Configured struct{ Endpoints []Endpoint }

// Submitted adds a request.
type Submitted struct{ Request Request }

// Retried requests another attempt after one ended without a complete response.
type Retried struct{ ID string }

// FirstToken reports that the response to an attempt has started.
type FirstToken struct{ ID string }

// Ended reports that an attempt ended.
type Ended struct {
	ID      string
	Outcome Outcome
	Tokens  int64 // Output tokens of a finished attempt.
}

// Withdrawn removes a request that is waiting, in flight or not going to be retried.
type Withdrawn struct{ ID string }

// RoutersCounted updates the number of routers that send to the same endpoints, including this one.
type RoutersCounted struct{ Routers int }

// RoutersExpected updates the number of routers that may be running, including this one, whether it has contact with them or not.
type RoutersExpected struct{ Routers int }

// RoutersListed names the routers that may send to the same endpoints, including this one, in a fixed order.
type RoutersListed struct {
	Self    string
	Routers []string
}

// RoutersRegistered names all routers that ever registered, dead or not, including this one, in a fixed order.
type RoutersRegistered struct {
	Self    string
	Routers []string
}

// LoadReported carries a load report from an endpoint.
type LoadReported struct {
	Endpoint string
	Load     Load
}

// LeavingUpdated sets whether an endpoint is leaving according to the settings or the VM list.
type LeavingUpdated struct {
	Endpoint string
	Leaving  bool
}

// LeavingAnnounced reports that an endpoint has said in an answer that it is leaving, which it does not take back.
type LeavingAnnounced struct{ Endpoint string }

// RestRequested reports that an endpoint has turned a request away and wants none from this router for some time.
type RestRequested struct {
	Endpoint string
	For      time.Duration
}

// LimitReported reports how many requests an endpoint takes from all routers together.
type LimitReported struct {
	Endpoint string
	Rate     float64   // Requests per second; zero if the endpoint names no limit.
	At       time.Time // Time of the answer that said so, which another router may have received.
}

// BrittleReported reports how many requests an endpoint may turn away before it falls over.
type BrittleReported struct {
	Endpoint   string
	Tolerated  int       // Rejections within a second, of all routers together; zero if the endpoint is not brittle.
	At         time.Time // Time of the answer that said so, which another router may have received.
	RejectedAt time.Time // Latest rejection that is known of; zero if there is none.
	Load       Load      // Latest load that is known.
	LoadAt     time.Time // Time of Load; zero if none is known.
}

// CapacityRejected reports that an endpoint has rejected a request of this router because it had no room.
type CapacityRejected struct{ Endpoint string }

// CacheUpdated reports that an endpoint cached a prompt prefix or dropped it.
type CacheUpdated struct {
	Endpoint string
	Prefix   uint64
	Dropped  bool
}

// Crashed reports that the process of an endpoint ended while it ran a request with these parts in its prompt.
type Crashed struct {
	Endpoint string
	Parts    []Part
}

// ConnectionRefused reports that no process accepts connections at the address of an endpoint.
type ConnectionRefused struct{ Endpoint string }

// SuspectReported carries a suspicion from another router.
type SuspectReported struct{ Suspect Suspicion }

// RetryBudgetChanged replaces the retry limits of the same names in Policy.
type RetryBudgetChanged struct {
	RetryRatio        float64
	FleetRetryReserve float64
}

// SuspectCleared reports that a suspect has finished at another router, which ends the suspicion.
type SuspectCleared struct {
	Fingerprint uint64 // Hash of the request, or ID of the part.
	Part        bool
}

// PathLost reports that this router reaches no endpoint, so that failures say nothing about single endpoints.
type PathLost struct{ Since time.Time }

// PathRestored reports that this router reaches endpoints again.
type PathRestored struct{}

// Tick runs the periodic work: expiry of suspicions, refill of the retry budget,
// dispatch and load shedding.
type Tick struct{}

func (Configured) isEvent()         {}
func (Submitted) isEvent()          {}
func (Retried) isEvent()            {}
func (FirstToken) isEvent()         {}
func (Ended) isEvent()              {}
func (Withdrawn) isEvent()          {}
func (RoutersCounted) isEvent()     {}
func (RoutersExpected) isEvent()    {}
func (RoutersListed) isEvent()      {}
func (RoutersRegistered) isEvent()  {}
func (LoadReported) isEvent()       {}
func (LeavingUpdated) isEvent()     {}
func (LeavingAnnounced) isEvent()   {}
func (RestRequested) isEvent()      {}
func (LimitReported) isEvent()      {}
func (BrittleReported) isEvent()    {}
func (CapacityRejected) isEvent()   {}
func (CacheUpdated) isEvent()       {}
func (ConnectionRefused) isEvent()  {}
func (Crashed) isEvent()            {}
func (SuspectReported) isEvent()    {}
func (SuspectCleared) isEvent()     {}
func (RetryBudgetChanged) isEvent() {}
func (PathLost) isEvent()           {}
func (PathRestored) isEvent()       {}
func (Tick) isEvent()               {}

// Action is an output of Pool.Handle, for the caller to carry out.
type Action interface{ isAction() }

// Send starts an attempt of a request on an endpoint.
type Send struct {
	ID       string
	Endpoint string
	Version  string // Software version of the endpoint.
	Attempt  int    // Number of the attempt within the request, from 1.
}

// Refuse ends a request with a refusal.
type Refuse struct {
	ID         string
	Kind       refusal.Kind
	RetryAfter time.Duration // If positive, how long the caller should wait before it retries.
}

// BroadcastSuspect sends a suspicion to the other routers.
type BroadcastSuspect struct{ Suspect Suspicion }

// LimitChanged tells that the limit of an endpoint is known to have changed.
type LimitChanged struct {
	Endpoint string
	Before   float64 // Requests per second; zero if there was no limit.
	Now      float64 // Likewise.
	Share    float64 // Requests per second that this router may send now; zero if there is no limit or others share it.
}

// BrittleChanged tells that it is known to have changed whether an endpoint is brittle, or how many rejections it bears.
type BrittleChanged struct {
	Endpoint string
	Before   int           // Rejections within a second that the endpoint bore; zero if it was not brittle.
	Now      int           // Likewise.
	Share    int           // Rejections that this router may risk now.
	Age      time.Duration // Time for which the endpoint has been known as brittle.
	Presumed bool          // Whether only other endpoints of its service have said so.
}

func (Send) isAction()             {}
func (Refuse) isAction()           {}
func (BroadcastSuspect) isAction() {}
func (LimitChanged) isAction()     {}
func (BrittleChanged) isAction()   {}
