package gateway

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/internal/request"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// Headers between two routers of which one serves a request for the other. Callers and endpoints never see them.
const (
	hopHeaderPrefix = "X-Peer-"

	headerForwardedBy = hopHeaderPrefix + "Forwarded-By" // Incarnation of the router that the caller sent the request to.
	headerHop         = hopHeaderPrefix + "Hop"          // ID of the hop, unique in the fleet; repeated in the answer.
	headerRevision    = hopHeaderPrefix + "Revision"     // In a request, the lowest configuration version to serve it under; in an answer, the one in force.
	headerTimeLeft    = hopHeaderPrefix + "Time-Left-Ms"
	headerPriorRuns   = hopHeaderPrefix + "Prior-Runs" // Set if an attempt may have arrived at an endpoint before: the number of those that may have run.
	headerRefused     = hopHeaderPrefix + "Refused"    // Kind of the refusal that the answer is.
	headerElsewhere   = hopHeaderPrefix + "Elsewhere"  // Set on a refusal if the request did not run and another router may serve it.
)

// hop is the passage of a request from the router that got it to the one that serves it.
type hop struct {
	ID       string
	By       string // Incarnation of the router that the caller sent the request to.
	Revision uint64 // Lowest configuration version to serve the request under.
	TimeLeft time.Duration
	Prior    request.Prior
}

// takeHop returns the hop that brought a request, or nil if its headers do not describe one. It removes them.
func takeHop(h *fasthttp.RequestHeader) *hop {
	revision, revisionErr := strconv.ParseUint(string(h.Peek(headerRevision)), 10, 64)
	left, leftErr := strconv.ParseInt(string(h.Peek(headerTimeLeft)), 10, 64)
	out := &hop{
		ID:       string(h.Peek(headerHop)),
		By:       string(h.Peek(headerForwardedBy)),
		Revision: revision,
		TimeLeft: time.Duration(left) * time.Millisecond,
	}
	if runs, err := strconv.Atoi(string(h.Peek(headerPriorRuns))); err == nil {
		out.Prior = request.Prior{Arrived: true, Runs: max(0, runs)}
	}
	for _, name := range []string{headerForwardedBy, headerHop, headerRevision, headerTimeLeft, headerPriorRuns} {
		h.Del(name)
	}
	if revisionErr != nil || leftErr != nil || out.ID == "" || out.By == "" {
		return nil
	}
	return out
}

// mark writes into the answer to a forwarded request what the router that forwarded it needs to know.
func (h *hop) mark(resp *fasthttp.Response, revision uint64) {
	if h == nil {
		return
	}
	resp.Header.Set(headerHop, h.ID)
	resp.Header.Set(headerRevision, strconv.FormatUint(revision, 10))
}

// markRefusal is mark for a refusal; with elsewhere, another router may serve the request.
func (h *hop) markRefusal(resp *fasthttp.Response, revision uint64, kind refusal.Kind, elsewhere bool) {
	if h == nil {
		return
	}
	h.mark(resp, revision)
	resp.Header.Set(headerRefused, kind.String())
	if elsewhere {
		resp.Header.Set(headerElsewhere, "1")
	}
}

// elsewhereKinds holds the kinds of refusals before a request is served after which another router may serve it.
var elsewhereKinds = map[refusal.Kind]bool{
	refusal.Draining:      true,
	refusal.NotConfigured: true,
	refusal.Overloaded:    true, // This router's memory, processor or link.
}

// elsewhere reports whether a request that was not served did not run and another router may serve it.
func (g *Gateway) elsewhere(now time.Time, reply *request.Reply) bool {
	if reply.Ran {
		return false
	}
	switch reply.Refusal.Kind {
	case refusal.NoEndpoint:
		return true // The path may be lost to the endpoints that this router tried.
	case refusal.Overloaded:
		return g.overload.isLate(now)
	}
	return false
}

// hopCodec encodes one request for another router and reads its answer. It implements request.Codec.
type hopCodec struct {
	hop     hop
	dialect Dialect // Splits the answer into events.

	answered  bool // The router answered.
	refused   bool // The answer is a refusal by that router.
	kind      refusal.Kind
	elsewhere bool
	revision  uint64
}

// AttemptHeaders returns the caller's headers and those of the hop.
func (c *hopCodec) AttemptHeaders(m *request.Message, info request.AttemptInfo) []request.Header {
	headers := slices.Concat(m.Headers, []request.Header{
		{Name: headerForwardedBy, Value: c.hop.By},
		{Name: headerHop, Value: c.hop.ID},
		{Name: headerRevision, Value: strconv.FormatUint(c.hop.Revision, 10)},
		{Name: headerTimeLeft, Value: strconv.FormatInt(max(1, info.Timeout.Milliseconds()), 10)},
	})
	if c.hop.Prior.Arrived {
		headers = append(headers, request.Header{Name: headerPriorRuns, Value: strconv.Itoa(c.hop.Prior.Runs)})
	}
	return headers
}

// ParseHead records what the other router says about its answer. An answer without the ID of the hop is to another request.
func (c *hopCodec) ParseHead(id string, status int, h http.Header) request.AnswerHead {
	if h.Get(headerHop) != c.hop.ID {
		return request.AnswerHead{}
	}
	c.answered = true
	c.kind, c.refused = refusal.ParseKind(h.Get(headerRefused))
	c.elsewhere = h.Get(headerElsewhere) != ""
	if revision, err := strconv.ParseUint(h.Get(headerRevision), 10, 64); err == nil {
		c.revision = revision
	}
	passedOn := c.dialect.ParseHead(id, status, h)
	head := request.AnswerHead{ID: id, Sealed: true, NotRun: c.elsewhere, Unary: passedOn.Unary}
	if !c.refused { // A router of an earlier build passes on what an endpoint answers to a request that it may have run.
		head.Denied = passedOn.Denied
	}
	return head
}

// Events returns a reader that splits the body of a stream into events.
func (c *hopCodec) Events(body io.Reader) request.EventReader { return c.dialect.Events(body) }

// callerMessage returns the message of a caller as it came, apart from what applies to one connection only.
func callerMessage(m request.Message, h *fasthttp.RequestHeader) request.Message {
	m.Headers = nil
	for name, value := range h.All() {
		if request.IsHopByHop(string(name)) || isHopHeader(string(name)) {
			continue
		}
		m.Headers = append(m.Headers, request.Header{Name: string(name), Value: string(value)})
	}
	return m
}

// withoutHopHeaders returns the headers of an answer that are for the caller.
func withoutHopHeaders(headers []request.Header) []request.Header {
	out := headers[:0]
	for _, h := range headers {
		if !isHopHeader(h.Name) {
			out = append(out, h)
		}
	}
	return out
}

func isHopHeader(name string) bool {
	return len(name) >= len(hopHeaderPrefix) && strings.EqualFold(name[:len(hopHeaderPrefix)], hopHeaderPrefix)
}
