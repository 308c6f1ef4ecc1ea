package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/internal/request"
	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

const (
	maxHops       = 3                      // Peers that are asked to serve one request.
	minHopTime    = 50 * time.Millisecond  // Time left below which no peer is asked: a lost answer would end the proof that the request did not run.
	hopBackoff    = time.Second            // Time in which a peer that failed or refused is not asked again.
	hopProbeAfter = 500 * time.Millisecond // Idle time of a connection to a peer after which TCP keep-alive probes are sent.
)

// handover hands requests that this router cannot serve to its peers. The zero value is ready to use.
//
// The peer does all that a request needs: it admits it, reserves and bills its
// tokens, selects its endpoints and retries. This router passes the request and
// its answer on unchanged, and sends nothing of it to an endpoint.
type handover struct {
	forwarder request.Forwarder // Sends to peers; it has no endpoints and no budgets.

	mu       sync.Mutex
	failedAt map[string]time.Time // Time of the last failure or refusal by peer incarnation; guarded by mu.
	noHelpAt time.Time            // When no peer could serve a request whose endpoints this router did not reach; guarded by mu.
	due      chan struct{}        // Closed while waiting requests are to be handed over; guarded by mu.
	isDue    bool                 // Guarded by mu.

	adoptMu sync.Mutex // Held while a peer's configuration is fetched.
}

// setDue records whether waiting requests are to be handed over. It returns a channel that is closed when they are.
func (h *handover) setDue(due bool) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.due == nil || h.isDue && !due {
		h.due = make(chan struct{})
	}
	if due && !h.isDue {
		close(h.due)
	}
	h.isDue = due
	return h.due
}

// failedRecently reports whether a peer failed or refused a request less than hopBackoff ago.
func (h *handover) failedRecently(now time.Time, peer string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.failedAt[peer]) < hopBackoff
}

func (h *handover) recordFailure(now time.Time, peer string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failedAt == nil {
		h.failedAt = map[string]time.Time{}
	}
	h.failedAt[peer] = now
}

// mayHelp reports whether peers are to be asked to serve a request whose endpoints this router does not reach.
//
// If no peer could serve one a moment ago, the endpoints are to blame, and each peer would only repeat the attempts.
func (h *handover) mayHelp(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.noHelpAt) >= hopBackoff
}

func (h *handover) recordNoHelp(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.noHelpAt = now
}

// expire forgets old failures and closes idle connections.
func (h *handover) expire(now time.Time) {
	h.forwarder.Connections.Expire(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	for peer, at := range h.failedAt {
		if now.Sub(at) >= hopBackoff {
			delete(h.failedAt, peer)
		}
	}
}

// watchPath finds out whether waiting requests are to be handed over, and returns a channel that is closed if so.
func (g *Gateway) watchPath(now time.Time) <-chan struct{} {
	return g.handover.setDue(g.pathLost(now) && len(g.handoverTargets(now)) > 0)
}

// handoverReason says why a request is handed over, as a field of the log.
type handoverReason string

const (
	pathLostBefore handoverReason = "PathLostBefore" // When the request came, this router reached no endpoint.
	pathLostSince  handoverReason = "PathLostSince"  // The path was lost while the request waited, or by its attempts.

	endpointsUnreachable handoverReason = "EndpointsUnreachable" // This router reaches some endpoints, but none that could serve the request.
)

// serveAdmitted answers a request that was admitted: with an endpoint, or through a peer if this router reaches no endpoint
// for it.
//
// A request that a peer handed over is never handed over again.
func (g *Gateway) serveAdmitted(now time.Time, c *callerRequest, h *fasthttp.RequestHeader) *request.Reply {
	lost := g.pathLost(now)
	if c.hop != nil {
		if lost {
			return &request.Reply{Refusal: &refusal.Error{Kind: refusal.NoEndpoint, Detail: "no path", After: otherRouterRetryAfter}}
		}
		return g.forwarder.Forward(&c.req)
	}
	if lost {
		if reply := g.handOver(c, h, pathLostBefore, request.Prior{}); reply != nil {
			return reply
		}
		return g.forwarder.Forward(&c.req) // The loss may be a mistake, and no other router can serve the request.
	}
	c.req.PathLost = func() <-chan struct{} { return g.watchPath(time.Now()) }
	reply := g.forwarder.Forward(&c.req)
	reason := g.handoverReason(time.Now(), reply)
	if reason == "" {
		return reply
	}
	// The request is withdrawn, and the tokens reserved for it are released.
	if other := g.handOver(c, h, reason, request.Prior{Arrived: reply.Arrived}); other != nil {
		return other
	}
	if reason == endpointsUnreachable {
		g.handover.recordNoHelp(time.Now())
	}
	return reply
}

// handoverReason returns why a peer may be able to serve a request that this router did not, or an empty string.
func (g *Gateway) handoverReason(now time.Time, reply *request.Reply) handoverReason {
	switch {
	case reply.Refusal == nil, reply.Refusal.Kind != refusal.NoEndpoint, reply.Ran:
		return ""
	case g.pathLost(now):
		return pathLostSince
	case reply.Unconnected && g.handover.mayHelp(now):
		return endpointsUnreachable
	}
	return ""
}

// handOver lets a peer serve a request of which no attempt may have run. It returns nil if no peer took it.
//
// A peer that breaks off may have sent the request to an endpoint, which the next one counts as an attempt.
func (g *Gateway) handOver(c *callerRequest, h *fasthttp.RequestHeader, reason handoverReason, prior request.Prior) *request.Reply {
	message := callerMessage(c.req.Message, h)
	var broken *request.Reply // The answer of a peer at which the request may have run.
	for i, p := range g.handoverTargets(time.Now()) {
		now := time.Now()
		if c.req.Deadline.Sub(now) < minHopTime {
			break
		}
		a := &handoverAttempt{c: c, peer: p, number: i + 1, reason: reason, prior: prior, began: now}
		reply := g.sendToPeer(a, message)
		g.recordHandover(a, reply)
		switch a.result {
		case hopRefused, hopNotSent:
		case hopBroken:
			broken = reply
			prior.Arrived = true
			prior.Runs++
			if !c.req.Repeatable {
				return reply
			}
		default:
			c.peer, c.peerRefusal = p.Name(), a.refusalKind()
			return a.truthful(reply, broken)
		}
	}
	if broken == nil {
		g.metrics.handedOver(hopNoPeer)
	}
	return broken
}

// handoverTargets returns the peers to ask to serve a request, in order.
func (g *Gateway) handoverTargets(now time.Time) []fleet.Member {
	terms := fleet.ForwardTerms{
		DataCentre: g.cfg.Settings.DataCentre,
		Excluded:   func(m fleet.Member) bool { return g.handover.failedRecently(now, m.Name()) },
	}
	return fleet.ForwardTargets(g.members.Peers(), terms, maxHops, rand.Float64)
}

// hopResult is the result of asking one peer to serve a request.
type hopResult string

const (
	hopAnswered   hopResult = "Answered"
	hopFinal      hopResult = "FinalRefusal" // The peer refused the request, and other routers would too.
	hopRefused    hopResult = "Refused"      // The peer did not run the request, and another router may.
	hopNotSent    hopResult = "NotSent"      // No byte reached the peer.
	hopBroken     hopResult = "Broken"       // The request may have run, and there is no whole answer.
	hopCallerGone hopResult = "CallerGone"
	hopNoPeer     hopResult = "NoPeer" // No peer was left to ask.
)

// handoverAttempt is the attempt to have one peer serve a request.
type handoverAttempt struct {
	c      *callerRequest
	peer   fleet.Member
	number int // Counts from 1.
	reason handoverReason
	prior  request.Prior
	began  time.Time
	codec  *hopCodec
	result hopResult
}

// sendToPeer sends a request to a peer and sets the result of the attempt.
func (g *Gateway) sendToPeer(a *handoverAttempt, message request.Message) *request.Reply {
	a.codec = &hopCodec{
		dialect: g.dialect,
		hop:     hop{ID: g.newRunID(), By: g.members.Self().Name(), Revision: a.c.version, Prior: a.prior},
	}
	r := &request.Request{
		Message:    message,
		Terms:      request.Terms{Streams: a.c.req.Streams},
		RunID:      a.c.req.RunID,
		Arrived:    a.c.req.Arrived,
		Deadline:   a.c.req.Deadline,
		CallerGone: a.c.req.CallerGone,
		CallerLeft: a.c.req.CallerLeft,
		Memory:     a.c.req.Memory,
		Codec:      a.codec,
	}
	reply := g.handover.forwarder.ForwardTo(r, a.peer.Address)
	a.result = a.resultOf(reply)
	if a.result == hopNotSent || a.result == hopBroken || a.result == hopRefused && a.codec.kind != refusal.Overloaded {
		g.handover.recordFailure(time.Now(), a.peer.Name())
	}
	switch a.result {
	case hopBroken:
		reply.Refusal = a.brokenRefusal(time.Now())
	case hopFinal:
		reply.Ran = a.codec.kind.Answer().Ran != refusal.NotRun
	}
	if reply.Refusal == nil {
		reply.Headers = withoutHopHeaders(reply.Headers)
		g.adoptConfiguration(a.peer, a.codec.revision)
	}
	return reply
}

// brokenRefusal returns the refusal of a request that may have run at a peer and has no whole answer.
func (a *handoverAttempt) brokenRefusal(now time.Time) *refusal.Error {
	if now.Before(a.c.req.Deadline) {
		return refusal.New(refusal.AnswerBroken, a.c.route.Name)
	}
	return refusal.New(refusal.DeadlineExceeded, a.c.route.Name)
}

// resultOf classifies the reply to an attempt.
func (a *handoverAttempt) resultOf(reply *request.Reply) hopResult {
	switch {
	case reply.Refusal == nil && a.codec.refused:
		return hopFinal
	case reply.Refusal == nil:
		return hopAnswered
	case reply.Refusal.Kind == refusal.CallerGone:
		return hopCallerGone
	case reply.Ran:
		return hopBroken
	case a.codec.elsewhere:
		return hopRefused
	}
	return hopNotSent
}

// truthful returns the reply of a peer, or the broken one of an earlier peer if that of the later one would state that
// the request did not run.
func (a *handoverAttempt) truthful(reply, broken *request.Reply) *request.Reply {
	if broken != nil && a.result == hopFinal && a.codec.kind.Answer().Ran == refusal.NotRun {
		return broken
	}
	return reply
}

// refusalKind returns the kind of the peer's refusal, or an empty string if it did not refuse the request.
func (a *handoverAttempt) refusalKind() string {
	if !a.codec.refused {
		return ""
	}
	return a.codec.kind.String()
}

// recordHandover logs and counts an attempt to have a peer serve a request.
func (g *Gateway) recordHandover(a *handoverAttempt, reply *request.Reply) {
	g.metrics.handedOver(a.result)
	g.log.Info("request forwarded",
		zap.String("Request", a.c.req.ID), zap.String("Run", a.c.req.RunID), zap.String("Hop", a.codec.hop.ID), zap.String("Peer", a.peer.Name()),
		zap.String("Reason", string(a.reason)), zap.Int("Attempt", a.number), zap.Int("PriorRuns", a.prior.Runs), zap.Uint64("Version", a.c.version), zap.Uint64("PeerVersion", a.codec.revision),
		zap.String("Outcome", string(a.result)), zap.String("Kind", a.refusalKind()), zap.Int("Status", reply.Status), zap.Duration("Took", time.Since(a.began)))
}

// adoptConfiguration puts the configuration of a peer in force before an answer given under it is passed on, so that the
// caller never sees an older one at this router afterwards.
func (g *Gateway) adoptConfiguration(p fleet.Member, version uint64) {
	if version <= g.members.configVersion() {
		return
	}
	g.handover.adoptMu.Lock()
	defer g.handover.adoptMu.Unlock()
	if version <= g.members.configVersion() {
		return
	}
	value, err := g.peers.Get(p.Address, configurationPath)
	if err != nil {
		g.log.Warn("configuration not fetched", zap.String("Peer", p.Name()), zap.Uint64("Version", version), logfile.Error(err))
		return
	}
	g.applyConfiguration(time.Now(), value, p.Name())
}
