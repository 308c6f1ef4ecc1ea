package reach

import "time"

// Event is an input of Monitor.Handle.
type Event interface{ isEvent() }

// Configured replaces the set of endpoints.
type Configured struct{ Endpoints []string }

// Sent reports the start of an attempt at an endpoint.
type Sent struct{ Endpoint string }

// Connected reports that a connection to an endpoint was opened for an attempt.
type Connected struct{ Endpoint string }

// Received reports that an answer, or a part of one, came from an endpoint.
type Received struct{ Endpoint string }

// ConnectFailed reports that no connection to an endpoint could be opened for an attempt.
type ConnectFailed struct{ Endpoint string }

// Broke reports that the connection of an attempt at an endpoint broke.
type Broke struct{ Endpoint string }

// Judge asks whether the path or the endpoint is to blame for a break that was reported BreakSettleTime ago.
type Judge struct{}

// Ended reports the end of an attempt at an endpoint, however it ended.
type Ended struct{ Endpoint string }

// Probed reports the result of a probe.
type Probed struct {
	Endpoint string
	Round    uint64 // As in Probe.
	Result   Result
}

// Tick lets time pass.
type Tick struct{}

func (Configured) isEvent()    {}
func (Sent) isEvent()          {}
func (Connected) isEvent()     {}
func (Received) isEvent()      {}
func (ConnectFailed) isEvent() {}
func (Broke) isEvent()         {}
func (Judge) isEvent()         {}
func (Ended) isEvent()         {}
func (Probed) isEvent()        {}
func (Tick) isEvent()          {}

// Result is the result of a probe.
type Result uint8

// The results of a probe.
const (
	Opened       Result = iota // A connection was opened.
	Failed                     // The connection was refused, reset or not answered in time.
	Inconclusive               // The failure may be the router's own, which is late itself.
)

// String returns the name of the result as written in logs.
func (r Result) String() string {
	return [...]string{"Opened", "Failed", "Inconclusive"}[min(r, Inconclusive)]
}

// Action is an output of Monitor.Handle, for the caller to carry out.
type Action interface{ isAction() }

// Probe opens a connection to an endpoint, closes it and reports the result with Probed.
type Probe struct {
	Endpoint string
	Round    uint64 // Number of the round; zero while the path is lost.
}

// Judged reports the end of a round of probes.
type Judged struct{}

// Lost reports that the router reaches no endpoint.
type Lost struct {
	Since    time.Time // Earliest time at which the path may have been lost.
	Evidence []Failure // What the decision rests on.
}

// Restored reports that the router reaches endpoints again.
type Restored struct {
	Endpoint string        // The endpoint to which a connection was opened.
	After    time.Duration // Time since the path was lost.
}

func (Probe) isAction()    {}
func (Judged) isAction()   {}
func (Lost) isAction()     {}
func (Restored) isAction() {}

// Failure is one piece of the evidence that a path is lost.
type Failure struct {
	Endpoint string
	Kind     FailureKind
	Age      time.Duration
}

// FailureKind says what happened at an endpoint.
type FailureKind string

// The kinds of failures.
const (
	NoAnswer         FailureKind = "NoAnswer"         // Nothing received although an attempt is in flight.
	ConnectionBroken FailureKind = "ConnectionBroken" // The connection of an attempt broke.
	ConnectError     FailureKind = "ConnectError"     // No connection could be opened for an attempt.
	ProbeFailed      FailureKind = "ProbeFailed"
)
