package gateway

import (
	"runtime"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/internal/request"
	"github.com/foxtaillanding/foxtaillanding/internal/telemetry"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
)

// metrics holds the metric instruments of the gateway; it implements request.Observer.
type metrics struct {
	*telemetry.Registry

	requests      telemetry.Counter
	attempts      telemetry.Counter
	reservations  telemetry.Counter
	connections   telemetry.Counter
	storeCalls    telemetry.Counter
	tokens        telemetry.Counter
	forwarded     telemetry.Counter
	feedReadsLost telemetry.Counter
	duration      telemetry.Histogram
	firstEvent    telemetry.Histogram
}

// latencyBounds holds the upper bounds of the buckets of the latency histograms, in seconds.
var latencyBounds = []float64{0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 3, 5, 10}

func newMetrics(g *Gateway) (*metrics, error) {
	r := telemetry.New()
	m := &metrics{
		Registry:      r,
		requests:      r.Counter("requests", "Requests by kind and outcome."),
		attempts:      r.Counter("attempts", "Attempts at endpoints by outcome."),
		reservations:  r.Counter("reservations", "Token reservations by place and outcome."),
		connections:   r.Counter("endpoint_connections", "Connections taken for attempts, new or kept."),
		storeCalls:    r.Counter("store_calls", "Calls to the store by call and outcome."),
		tokens:        r.Counter("billed_tokens", "Tokens billed."),
		forwarded:     r.Counter("forwarded_requests", "Requests sent to a peer because this router reaches no endpoint, by outcome."),
		feedReadsLost: r.Counter("feed_reads_lost", "Reads of a feed that the store did not answer although it answered other calls, by feed."),
		duration:      r.Histogram("request_duration", "Time from a request's arrival to its answer, or to the first event of its stream.", latencyBounds...),
		firstEvent:    r.Histogram("first_event", "Time from an attempt's start to the first event of its stream.", latencyBounds...),
	}
	r.Gauge("in_flight", "Requests whose answers are not yet written.", g.inFlight.Load)
	r.Gauge("body_bytes", "Bytes that are reserved for or held by the bodies of requests.", g.bodies.used.Load)
	r.Gauge("answer_bytes", "Bytes that are reserved for or held by answers.", g.answers.used.Load)
	r.Gauge("configuration_version", "Version of the configuration in force.", func() int64 { return int64(g.members.configVersion()) })
	r.Gauge("live_routers", "Routers that serve, this one included.", func() int64 { return int64(len(g.members.Peers()) + 1) })
	r.Gauge("usable_endpoints", "Endpoints that may get new requests.", func() int64 { return int64(g.endpoints.Usable(time.Now())) })
	r.Gauge("evacuated_data_centres", "Data centres whose endpoints get no new requests, as operators have asked.", g.evacuations.count)
	r.Gauge("cold_endpoints", "Endpoints that are taken for cold.", g.coldEndpoints)
	r.Gauge("paced_endpoints", "Endpoints that have started or recovered and do not get their full load yet.", g.pacedEndpoints)
	r.Gauge("path_lost", "1 while the router reaches no endpoint.", g.path.lostGauge)
	r.Gauge("path_probes", "Connections opened to find out whether the router reaches the endpoints.", g.path.probes.Load)
	r.Gauge("store_silence_milliseconds", "Time since the store last answered.", func() int64 { return g.store.silence(time.Now()).Milliseconds() })
	r.Gauge("endpoints_age_milliseconds", "Time since the store is known to have had no further changes of the endpoints' entries.", g.endpointsAge)
	r.Gauge("lost_tokens", "Tokens that the records show as held by routers which are not reachable.", g.lostTokens)
	r.Gauge("processor_wait_milliseconds", "95th percentile of the time that goroutines waited for the processor.", func() int64 { return g.overload.lastWait().P95.Milliseconds() })
	r.Gauge("origins_written", "Streams in the row of origins that this router last wrote to the store.", g.originRow.streams.Load)
	r.Gauge("unusable_settings", "Problems of the settings file, because of which older settings or defaults are in force.", g.unusableSettings.Load)
	r.Gauge("goroutines", "Goroutines of the process.", func() int64 { return int64(runtime.NumGoroutine()) })
	if g.cfg.Features.RefuseConnections {
		r.Gauge("listener_closed", "1 while the listener for callers is closed.", g.admission.closedGauge)
		r.Total("listener_closed_seconds", "Time for which the listener for callers was closed.", func() float64 { return g.admission.closedSeconds(time.Now()) })
	}
	return m, r.Err()
}

// lostTokens returns the tokens of all budgets in use that stand with routers which are not reachable.
func (g *Gateway) lostTokens() int64 {
	var sum int64
	for _, v := range g.budgets.Views() {
		sum += v.Lost
	}
	return sum
}

func (m *metrics) requestFinished(kind, outcome string, took time.Duration) {
	m.requests.Add(1, attribute.String("kind", kind), attribute.String("outcome", outcome))
	m.duration.Record(took.Seconds(), attribute.String("kind", kind))
}

// Attempted counts an attempt by its outcome.
func (m *metrics) Attempted(outcome endpoint.Outcome) {
	m.attempts.Add(1, attribute.String("outcome", outcome.String()))
}

// Reserved counts a reservation of tokens.
func (m *metrics) Reserved(place request.Place, granted bool) {
	m.reservations.Add(1, attribute.String("place", string(place)), attribute.Bool("granted", granted))
}

// Connected counts a connection obtained for an attempt, reused or new.
func (m *metrics) Connected(reused bool) { m.connections.Add(1, attribute.Bool("kept", reused)) }

// StreamStarted records the time from the start of an attempt to the first event of its stream.
func (m *metrics) StreamStarted(took time.Duration) { m.firstEvent.Record(took.Seconds()) }

// handedOver counts the result of asking a peer to serve a request.
func (m *metrics) handedOver(result hopResult) {
	m.forwarded.Add(1, attribute.String("outcome", string(result)))
}

func (m *metrics) addBilledTokens(b budget.Bill) { m.tokens.Add(b.Tokens) }

func (m *metrics) countStoreCall(call string, err error) {
	outcome := "Answered"
	switch {
	case err == nil:
	case errors.Is(err, keyvalue.ErrLimited):
		outcome = "Limited"
	case errors.Is(err, keyvalue.ErrHistoryGone):
		outcome = "HistoryGone"
	default:
		outcome = "Failed"
	}
	m.storeCalls.Add(1, attribute.String("call", call), attribute.String("outcome", outcome))
}

// recordReply logs the reply to a request and records it in the metrics.
func (c *callerRequest) recordReply(reply *request.Reply) {
	outcome := "Answered"
	status := reply.Status
	switch {
	case reply.Refusal != nil:
		outcome = reply.Refusal.Kind.String()
		status = reply.Refusal.Kind.Answer().Status
	case c.peerRefusal != "":
		outcome = c.peerRefusal
	}
	forwardedBy := ""
	if c.hop != nil {
		forwardedBy = c.hop.By
	}
	took := time.Since(c.req.Arrived)
	c.g.metrics.requestFinished(c.route.Kind.String(), outcome, took)
	c.g.log.Info("request",
		zap.String("Request", c.req.ID), zap.String("Run", c.req.RunID), zap.String("Route", c.route.Name), zap.Uint64("Version", c.version),
		zap.String("Outcome", outcome), zap.Int("Status", status), zap.Int("Attempts", reply.Attempts), zap.Bool("Ran", reply.Ran),
		zap.String("Endpoint", reply.Endpoint), zap.String("EndpointVersion", reply.Version), zap.String("Resumes", c.req.ResumesID),
		zap.String("Lender", reply.Lender), zap.String("Peer", c.peer), zap.String("ForwardedBy", forwardedBy), zap.Duration("Took", took),
		zap.Int64("EntriesAgeMilliseconds", c.g.endpointsAge()))
}
