package request

import (
	"time"

	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/connection"
	"github.com/foxtaillanding/foxtaillanding/internal/ledger"
	"github.com/foxtaillanding/foxtaillanding/internal/placement"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
)

// Forwarder carries requests to endpoints; its fields are set before the first one.
type Forwarder struct {
	Endpoints  *placement.Endpoints
	Budgets    *ledger.Ledger
	Lenders    Lenders
	Log        *zap.Logger
	Observer   Observer     // Nil counts nothing.
	Background func(func()) // Runs a call that nobody waits for.
	// StoreLost tells whether the store is known to be out of this router's reach; nil when nobody knows.
	StoreLost func(now time.Time) bool

	Lines connection.Pool
}

// Observer counts what happens to requests.
type Observer interface {
	// Attempted counts an attempt that ended, or whose stream began.
	Attempted(outcome endpoint.Outcome)
	// Reserved counts a reservation of tokens, here or at a peer.
	Reserved(place Place, granted bool)
	// Connected counts a connection taken for an attempt, kept or new.
	Connected(kept bool)
	// Started takes the time from an attempt's start to the first event of its stream.
	Started(took time.Duration)
}

// Place tells where tokens were reserved.
type Place string

// The places of a reservation.
const (
	Here   Place = "here"
	AtPeer Place = "peer"
)

type unobserved struct{}

func (unobserved) Attempted(endpoint.Outcome) {}
func (unobserved) Reserved(Place, bool)       {}
func (unobserved) Connected(bool)             {}
func (unobserved) Started(time.Duration)      {}

func (f *Forwarder) observer() Observer {
	if f.Observer == nil {
		return unobserved{}
	}
	return f.Observer
}

// Carry reserves the tokens of a request, sends it to endpoints and returns its answer, or its stream with the first event.
func (f *Forwarder) Carry(r *Request) *Reply {
	run := &run{f: f, req: r, lastEvent: r.LastEvent}
	return run.told(run.serve())
}

// Deliver sends a request once to one address, without tokens and without a choice of an endpoint.
func (f *Forwarder) Deliver(r *Request, address string) *Reply {
	run := &run{f: f, req: r, lastEvent: r.LastEvent, direct: true}
	return run.told(run.deliver(address))
}
