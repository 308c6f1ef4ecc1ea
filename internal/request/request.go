package request

import (
	"io"
	"net/http"
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// Header is one header line.
type Header struct{ Name, Value string }

// Request is a caller's request: what it asks for and the terms on which it is served.
type Request struct {
	Message
	Terms

	Run         string // Unique in the fleet; the caller's own ID may come twice.
	Fingerprint uint64 // The same for requests that ask for the same.
	Arrived     time.Time
	Deadline    time.Time       // Of the whole answer.
	StartBy     time.Time       // Of the first event; zero takes the deadline.
	Gone        <-chan struct{} // Closed when the caller left; nil when the request goes on without it.
	Codec       Codec
}

// Message is what the caller sent: opaque bytes and what it says about them.
type Message struct {
	ID           string // The caller's name of the request, told to the endpoint.
	Method       string
	Target       string // Path and query as the caller sent them.
	Host         string // Empty takes the endpoint's address.
	Headers      []Header
	Body         []byte
	LastEvent    string // ID of the event after which a stream goes on.
	Model        bool   // The request describes a prompt.
	PromptTokens int64
	OutputTokens int64 // At most.
	Parts        []endpoint.Part
	Prefix       uint64 // Hash of the prompt's beginning, where its parts are not known.
}

// Terms are what the configuration says about a request.
type Terms struct {
	Account        string
	Weight         float64 // Share of the account; zero means 1.
	Class          endpoint.Class
	Urgency        int    // Told to the endpoint; 0 comes first.
	Service        string // The model or service that serves it.
	TokensPerEvent int64  // Output tokens that an event of a stream may hold.

	Repeatable bool          // It may run more than once.
	Streams    bool          // A success is a series of events.
	Resumable  bool          // A stream may go on at another endpoint.
	Attempts   int           // Endpoints on which it may run.
	Objective  time.Duration // Until the answer or its first event is on time.
	Gap        time.Duration // Longest pause between events that is on time.
	Stall      time.Duration // Silence after which an attempt is given up; zero follows from Objective and Gap.

	Budget  string // Empty when no tokens are needed.
	Prepaid int64  // Total of the budget as the configuration gives it; zero where top-ups are recorded elsewhere.

	// Cost returns the tokens that are billed; nil bills the prompt once an attempt may have run, and the events.
	Cost func(Usage) int64
}

// Usage is what was used of a request.
type Usage struct {
	Ran    bool  // An attempt may have run.
	Events int64 // Passed on to the caller.
}

// WorstCase is the most that the request can cost, in tokens.
func (r *Request) WorstCase() int64 { return max(1, r.PromptTokens+r.OutputTokens) }

// cost is what the request is billed, in tokens.
func (r *Request) cost(u Usage) int64 {
	switch {
	case r.Cost != nil:
		return min(r.WorstCase(), r.Cost(u))
	case !u.Ran:
		return 0
	}
	return min(r.WorstCase(), r.PromptTokens+u.Events*r.TokensPerEvent)
}

// startBy is the time until which the first event or the answer has to begin.
func (r *Request) startBy() time.Time {
	if r.StartBy.IsZero() {
		return r.Deadline
	}
	return r.StartBy
}

// Forwarding is what the router adds to a request for one attempt.
type Forwarding struct {
	Endpoint  string // Its ID; another endpoint at the address refuses the request.
	Attempt   int    // Counts from 1.
	Account   string
	Wait      time.Duration // Time that is left.
	LastEvent string
	Urgency   int
	Model     bool
}

// Facts are what an endpoint says about its answer beside status and body.
type Facts struct {
	ID      string // Of the request that it answers.
	Sealed  bool   // The endpoint made the answer itself.
	NotRun  bool   // The endpoint says that it did not run the request.
	Encoded bool   // The body is not the one that the endpoint sealed.
	Load    *Load
}

// Load is an endpoint's own count of its work.
type Load struct{ Running, Waiting, Slots int }

// Codec speaks with endpoints about one request.
type Codec interface {
	// Forward returns the headers of one attempt.
	Forward(m *Message, f Forwarding) []Header
	// Answer reads the head of an endpoint's answer to the request with an ID.
	Answer(id string, status int, h http.Header) Facts
	// Events cuts the body of an answer into events.
	Events(body io.Reader) EventReader
}

// EventReader reads the events of one attempt's answer.
type EventReader interface {
	// Next returns the next whole event; io.EOF tells that the answer ended as complete.
	Next() (Event, error)
}

// Event is one event of a stream.
type Event struct {
	Raw []byte // For the caller.
	ID  string // Empty when the stream cannot go on after it.
}

// Reply is what a caller is answered; exactly one of Refused, Body and Stream counts.
type Reply struct {
	Status  int
	Headers []Header
	Body    []byte
	Stream  *Stream
	Refused *refusal.Error

	Ran      bool // An attempt may have run.
	Attempts int
	Lender   string // The router that set the tokens aside; empty when that was this one.
}

func refused(kind refusal.Kind, detail string) *Reply {
	return &Reply{Refused: refusal.New(kind, detail)}
}
