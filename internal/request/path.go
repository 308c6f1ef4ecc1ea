package request

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/foxtaillanding/foxtaillanding/internal/connection"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/reach"
)

// Path is told what attempts show about whether this router reaches the endpoints.
type Path interface {
	// Observe reports an event of an attempt.
	Observe(now time.Time, ev reach.Event)
	// Cut reports whether the break of a connection to an endpoint is put down to the path and not to the endpoint.
	//
	// It may open connections to endpoints to find out, which takes reach.ProbeTimeout at most.
	Cut(now time.Time, endpoint string) bool
}

// observe reports an event of an attempt at an endpoint of the pool.
func (r *run) observe(now time.Time, ev reach.Event) {
	if r.f.Path != nil && !r.direct {
		r.f.Path.Observe(now, ev)
	}
}

// observeStart reports the start of an attempt.
func (r *run) observeStart(now time.Time) {
	r.observed = r.endpoint
	r.cut = false
	r.observe(now, reach.Sent{Endpoint: r.endpoint})
}

// observeConnection reports a connection that was opened for an attempt.
func (r *run) observeConnection(conn *connection.Conn) {
	if !conn.Reused {
		r.observe(time.Now(), reach.Connected{Endpoint: r.endpoint})
	}
}

// observeOpened reports what the opening of an attempt showed.
func (r *run) observeOpened(now time.Time, err error) {
	switch {
	case err == nil:
		r.observe(now, reach.Received{Endpoint: r.endpoint})
	case errors.Is(err, connection.ErrNotSent) && !r.f.late(now):
		r.observe(now, reach.ConnectFailed{Endpoint: r.endpoint})
	}
}

// observeEnd reports the end of an attempt and returns its outcome, which is CutOff if a break is not the endpoint's fault.
func (r *run) observeEnd(outcome endpoint.Outcome) endpoint.Outcome {
	if r.f.Path == nil || r.direct || r.observed == "" {
		return outcome
	}
	now := time.Now()
	if outcome == endpoint.Died && r.f.Path.Cut(now, r.observed) {
		r.cut = true
		outcome = endpoint.CutOff
	}
	r.observe(now, reach.Ended{Endpoint: r.observed})
	r.observed = ""
	return outcome
}

// observeConnect reports the result of connecting to an endpoint before an attempt.
func (f *Forwarder) observeConnect(now time.Time, name string, conn *connection.Conn, err error) {
	switch {
	case f.Path == nil:
	case err == nil && !conn.Reused:
		f.Path.Observe(now, reach.Connected{Endpoint: name})
	case errors.Is(err, connection.ErrNotSent) && !f.late(now):
		f.Path.Observe(now, reach.ConnectFailed{Endpoint: name})
	}
}
