package request

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/origin"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// StreamID returns the ID of the stream that the request begins or takes up: that of the request that brought its first event.
func (m *Message) StreamID() string { return cmp.Or(m.ResumesID, m.ID) }

// takesUp reports whether the caller takes up a stream that another request began.
func (r *Request) takesUp() bool { return r.Streams && r.LastEventID != "" }

// bindToOrigin lets a stream that the caller takes up go on only at the software version that began it.
//
// A non-nil reply refuses the request: it is not known which version began the stream.
func (r *run) bindToOrigin() *Reply {
	if r.f.Origins == nil || !r.req.takesUp() {
		return nil
	}
	now := time.Now()
	answer := r.f.Origins.Find(now, r.req.StreamID(), r.req.Service)
	r.logTakeUp(&answer, time.Since(now))
	switch {
	case !answer.Known && answer.Incomplete:
		return &Reply{Refusal: &refusal.Error{Kind: refusal.NoEndpoint, Detail: unknownVersion, After: originRetryDelay}}
	case !answer.Known:
		return refusedReply(refusal.NoEndpoint, unknownVersion)
	case answer.Origin.Service != r.req.Service && !slices.Contains(r.req.Services, answer.Origin.Service):
		return refusedReply(refusal.NoEndpoint, "the route no longer uses the service that began the stream")
	}
	r.req.Service = answer.Origin.Service
	r.origin = &answer.Origin
	return nil
}

const unknownVersion = "the version that began the stream is not known"

// originRetryDelay is when another try to take a stream up may find what did not answer this time.
const originRetryDelay = 500 * time.Millisecond

// logTakeUp logs what was found of a stream that the caller takes up.
func (r *run) logTakeUp(answer *origin.Answer, took time.Duration) {
	r.f.Log.Info("stream taken up",
		zap.String("Request", r.req.ID), zap.String("Run", r.req.RunID), zap.String("Resumes", r.req.ResumesID), zap.String("LastEvent", r.req.LastEventID),
		zap.Bool("Known", answer.Known), zap.Bool("SeveralVersions", answer.SeveralVersions), zap.Stringer("Source", answer.Source),
		zap.Duration("Age", answer.Age), zap.Int("HomesAsked", answer.HomesAsked), zap.Int("HomesAnswered", answer.HomesAnswered), zap.Bool("Incomplete", answer.Incomplete),
		zap.String("Service", answer.Origin.Service), zap.String("EndpointVersion", answer.Origin.Version), zap.Duration("Took", took))
}

// beginsStream reports whether the request begins a stream that callers may take up.
func (r *run) beginsStream() bool {
	return r.keepsOrigin() && r.req.Streams && !r.req.takesUp() && r.events == 0
}

// recordSent records where the stream of the run begins if an event comes, so that this is written before.
func (r *run) recordSent() {
	if r.beginsStream() {
		r.f.Origins.Sent(origin.Origin{Stream: r.req.StreamID(), Service: r.req.Service, Version: r.version})
	}
}

// forgetSent records that no stream has begun.
func (r *run) forgetSent() {
	if r.beginsStream() {
		r.f.Origins.Ended(r.req.StreamID())
	}
}

// keepsOrigin reports whether callers may take the stream of the run up, so that its origin is kept.
func (r *run) keepsOrigin() bool { return r.f.Origins != nil && !r.direct && r.req.Resumable }

// recordOrigin records where the stream of the run began, or that it goes on.
func (r *run) recordOrigin(now time.Time) {
	if r.keepsOrigin() {
		r.f.Origins.Began(now, origin.Origin{Stream: r.req.StreamID(), Service: r.req.Service, Version: r.version})
	}
}

// forgetOrigin records that the stream of the run has ended, and whether it is whole.
func (r *run) forgetOrigin(whole bool) {
	if !r.keepsOrigin() {
		return
	}
	if whole {
		r.f.Origins.Completed(r.req.StreamID())
	}
	r.f.Origins.Ended(r.req.StreamID())
}
