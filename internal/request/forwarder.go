package request

import (
	"time"

	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/connection"
	"github.com/foxtaillanding/foxtaillanding/internal/ledger"
	"github.com/foxtaillanding/foxtaillanding/internal/origin"
	"github.com/foxtaillanding/foxtaillanding/internal/placement"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
)

// Forwarder forwards requests to endpoints. Its fields are set before the first request.
type Forwarder struct {
	Endpoints  *placement.Endpoints
	Budgets    *ledger.Ledger
	Peers      Peers
	Log        *zap.Logger
	Observer   Observer     // Nil discards the counts.
	Background func(func()) // Runs a function asynchronously.
	Origins    Origins      // Nil if streams may go on at any endpoint.
	Path       Path         // Nil if it is not tracked whether this router reaches the endpoints.

	// StoreLost reports whether the store is known to be unreachable from this router; nil if that is not tracked.
	StoreLost func(now time.Time) bool

	// Late reports whether this process is late itself, so that its timeouts say nothing about others; nil if that is not tracked.
	Late func(now time.Time) bool

	Connections connection.Pool
}

// Observer records metrics of requests.
type Observer interface {
	// Attempted counts an attempt when it ends or its stream starts.
	Attempted(outcome endpoint.Outcome)
	// Reserved counts a reservation of tokens, at this router or at a peer.
	Reserved(place Place, granted bool)
	// Connected counts a connection obtained for an attempt, reused or new.
	Connected(reused bool)
	// StreamStarted records the time from the start of an attempt to the first event of its stream.
	StreamStarted(took time.Duration)
}

// Origins knows at which software version each stream began, at whichever router.
type Origins interface {
	// Sent records that the request of a new stream is sent to an endpoint, at which it begins if an event comes.
	Sent(o origin.Origin)
	// Began records where a stream began.
	Began(now time.Time, o origin.Origin)
	// Completed records that a stream which this router serves has reached its end.
	Completed(stream string)
	// Ended records that this router serves a stream no longer, or that none has begun.
	Ended(stream string)
	// Find returns where a stream that a caller takes up began; it may ask other routers.
	Find(now time.Time, stream, service string) origin.Answer
}

// Place is where tokens were reserved, as a metric label.
type Place string

// The places of a reservation: this router or a peer.
const (
	PlaceLocal Place = "here"
	PlacePeer  Place = "peer"
)

type nopObserver struct{}

func (nopObserver) Attempted(endpoint.Outcome)  {}
func (nopObserver) Reserved(Place, bool)        {}
func (nopObserver) Connected(bool)              {}
func (nopObserver) StreamStarted(time.Duration) {}

// retryFields returns the state of a retry budget as fields of the log.
func retryFields(service string, b endpoint.RetryBudget) []zap.Field {
	return []zap.Field{
		zap.String("Service", service), zap.Float64("RetriesAllowed", b.Allowed), zap.Int("RetriesArrived", b.Arrived), zap.Int("RetriesPending", b.Pending),
	}
}

func (f *Forwarder) late(now time.Time) bool { return f.Late != nil && f.Late(now) }

func (f *Forwarder) observer() Observer {
	if f.Observer == nil {
		return nopObserver{}
	}
	return f.Observer
}

// Forward reserves the tokens of a request, makes attempts at endpoints and returns the answer, or the stream once its first event has arrived.
func (f *Forwarder) Forward(r *Request) *Reply {
	run := &run{f: f, req: r, lastEventID: r.LastEventID}
	return run.withTotals(run.serve())
}

// ForwardTo sends a request to one address in a single attempt, without reserving tokens or selecting an endpoint.
func (f *Forwarder) ForwardTo(r *Request, address string) *Reply {
	run := &run{f: f, req: r, lastEventID: r.LastEventID, direct: true}
	return run.withTotals(run.forwardTo(address))
}
