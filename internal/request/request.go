package request

import (
	"io"
	"net/http"
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// Header is one HTTP header field.
type Header struct{ Name, Value string }

// Request is a caller's request with the terms on which it is served.
type Request struct {
	Message
	Terms

	RunID       string // Unique in the fleet, unlike Message.ID, which a caller may reuse.
	Fingerprint uint64 // Hash of the request; identical requests share it.
	Arrived     time.Time
	Deadline    time.Time       // For the complete answer.
	StartBy     time.Time       // Deadline for the first event or the answer to begin; zero means Deadline.
	CallerGone  <-chan struct{} // Closed when the caller disconnects; nil if the request continues without its caller.
	CallerLeft  func() bool     // Looks at the caller's connection now, whereas CallerGone may be closed late; nil if it cannot.
	Codec       Codec
	Prior       Prior

	// PathLost returns a channel that is closed when this router is found to reach no endpoint and another router can
	// serve the request. It is then refused with NoEndpoint unless an attempt may have run. Nil if none can.
	PathLost func() <-chan struct{}

	// Memory bounds the answers that are read whole; nil if they are not bounded.
	Memory Memory
}

// Memory counts the bytes of the answers to a request.
type Memory interface {
	// Reserve takes n bytes and reports whether it got them; until the deadline it waits for them.
	Reserve(n int64, deadline time.Time) bool
	// Release gives n bytes back that no answer holds any longer.
	Release(n int64)
}

// Prior is what other routers have done for a request before it came here.
type Prior struct {
	Arrived bool // An attempt may have arrived at an endpoint.
	Runs    int  // Attempts that may have run.
}

// Message is what the caller sent: an opaque body and its metadata.
type Message struct {
	ID           string // Request ID chosen by the caller, forwarded to the endpoint.
	Method       string
	Target       string // Path and query as the caller sent them.
	Host         string // Host header for the endpoint; empty means the endpoint's address.
	Headers      []Header
	Body         []byte
	LastEventID  string // ID of the event after which a stream resumes; empty starts at the beginning.
	ResumesID    string // ID of the request that brought the first event of the stream that the caller resumes; empty if unknown.
	HasPrompt    bool   // The request is for a model and describes a prompt.
	PromptTokens int64
	OutputTokens int64 // Upper bound of the output.
	Parts        []endpoint.Part
	Prefix       uint64 // Hash of the beginning of the prompt, used if Parts is unknown.
}

// Terms are the limits and policies that the configuration sets for a request.
type Terms struct {
	Account        string
	Weight         float64 // Relative share of the account; zero means 1.
	Class          endpoint.Class
	Urgency        int      // Scheduling priority forwarded to the endpoint; 0 is the most urgent.
	Service        string   // Name of the model or service that serves the request.
	Services       []string // All that may serve it, for a stream that another one of them began; may be empty.
	TokensPerEvent int64    // Upper bound of the output tokens in one stream event.

	Repeatable   bool          // The request may run more than once.
	Streams      bool          // A successful answer is an event stream.
	Resumable    bool          // A broken stream may be resumed at another endpoint.
	MaxAttempts  int           // Upper bound of the attempts, not counting rejected ones.
	Objective    time.Duration // Latency objective for the answer or its first event.
	Gap          time.Duration // Objective for the longest pause between events.
	StallTimeout time.Duration // Silence after which an attempt is aborted; zero derives it from Objective and Gap.

	Budget  string // Name of the token budget; empty if the request needs no tokens.
	Prepaid int64  // Total tokens of the budget according to the configuration; zero if top-ups are recorded elsewhere.

	// Cost returns the tokens to bill. If it is nil, the prompt is billed once an
	// attempt may have run, plus TokensPerEvent for each event.
	Cost func(Usage) int64
}

// Usage is what a request consumed.
type Usage struct {
	Ran    bool  // An attempt may have run.
	Events int64 // Events delivered to the caller.
}

// WorstCase returns the maximum cost of the request in tokens.
func (r *Request) WorstCase() int64 { return max(1, r.PromptTokens+r.OutputTokens) }

// cost returns the tokens to bill for the request.
func (r *Request) cost(u Usage) int64 {
	switch {
	case r.Cost != nil:
		return min(r.WorstCase(), r.Cost(u))
	case !u.Ran:
		return 0
	}
	return min(r.WorstCase(), r.PromptTokens+u.Events*r.TokensPerEvent)
}

// startBy returns the deadline for the first event or the answer to begin.
func (r *Request) startBy() time.Time {
	if r.StartBy.IsZero() {
		return r.Deadline
	}
	return r.StartBy
}

// AttemptInfo is what the router adds to a request for one attempt.
type AttemptInfo struct {
	Endpoint    string // Name of the intended endpoint; a different endpoint at the same address rejects the request.
	Attempt     int    // Counts from 1.
	Account     string
	Timeout     time.Duration // Time left until the deadline.
	LastEventID string
	Urgency     int
	HasPrompt   bool
}

// AnswerHead is what the head of an endpoint's answer states apart from the status.
type AnswerHead struct {
	ID      string        // ID of the request that is answered.
	Sealed  bool          // The endpoint itself produced the answer.
	NotRun  bool          // The endpoint states that it did not run the request.
	Denied  bool          // The status tells callers that the request did not run, but the endpoint does not state it.
	Encoded bool          // The body has a content encoding, so it is not the one that the endpoint sealed.
	Unary   bool          // The body is not a series of events.
	Load    *Load         // Nil if the endpoint reported none.
	Leaving bool          // The endpoint is leaving.
	Rest    time.Duration // Time for which the endpoint wants no requests from this router; zero if it does not say so.
	Limit   float64       // Requests per second that the endpoint takes from all routers together; zero if it names no limit.
	Brittle int           // Requests that the endpoint may turn away within a second before it falls over; zero if it does not say so.

	NoRoom bool // The endpoint had no room for the request.

	Cold time.Duration // Time for which the endpoint stays cold; zero if it does not say so.

	Misdirected bool // Another endpoint than the intended one answered; the head says nothing about the intended one.
}

// Load is the load that an endpoint reports about itself.
type Load struct {
	Running, Waiting, Slots int

	Slowdown float64 // Factor by which work takes longer than usual at the moment; zero if not reported.
}

// Codec translates one request and its answer between this package and an endpoint.
type Codec interface {
	// AttemptHeaders returns the headers to send with one attempt.
	AttemptHeaders(m *Message, info AttemptInfo) []Header
	// ParseHead interprets the status and headers of the answer to the request with the given ID.
	ParseHead(id string, status int, h http.Header) AnswerHead
	// Events returns a reader that splits the body of an answer into events.
	Events(body io.Reader) EventReader
}

// EventReader reads the events of one attempt's answer.
type EventReader interface {
	// Next returns the next complete event, or io.EOF once the answer is complete.
	Next() (Event, error)
}

// Event is one event of a stream.
type Event struct {
	Raw     []byte // Bytes for the caller; nil if it receives none.
	ID      string // A decimal number; empty if the stream cannot be resumed after this event.
	Comment bool   // It has nothing but comments, which callers ignore.
}

// Reply is the answer for a caller. Exactly one of Refusal, Body and Stream applies.
type Reply struct {
	Status  int
	Headers []Header
	Body    []byte
	Stream  *Stream
	Refusal *refusal.Error

	Ran      bool // An attempt may have run.
	Attempts int
	Endpoint string // Endpoint of the last attempt; empty if there was none.
	Version  string // Software version of Endpoint.
	Lender   string // Incarnation of the router that reserved the tokens; empty if this router did.

	Unconnected bool // No connection could be opened for an attempt.
	Arrived     bool // An attempt may have arrived at an endpoint.
}

func refusedReply(kind refusal.Kind, detail string) *Reply {
	return &Reply{Refusal: refusal.New(kind, detail)}
}
