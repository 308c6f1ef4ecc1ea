package gateway

import (
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

// metrics are the gateway's instruments; it implements request.Observer.
type metrics struct {
	*telemetry.Registry

	requests     telemetry.Counter
	attempts     telemetry.Counter
	reservations telemetry.Counter
	connections  telemetry.Counter
	storeCalls   telemetry.Counter
	tokens       telemetry.Counter
	duration     telemetry.Histogram
	firstEvent   telemetry.Histogram
}

// latencyBounds are the upper bounds of the latency histograms' buckets in seconds.
var latencyBounds = []float64{0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 3, 5, 10}

func newMetrics(g *Gateway) (*metrics, error) {
	r := telemetry.New()
	m := &metrics{
		Registry:     r,
		requests:     r.Counter("requests", "Requests by kind and outcome."),
		attempts:     r.Counter("attempts", "Attempts at endpoints by outcome."),
		reservations: r.Counter("reservations", "Token reservations by place and outcome."),
		connections:  r.Counter("endpoint_connections", "Connections taken for attempts, new or kept."),
		storeCalls:   r.Counter("store_calls", "Calls to the store by call and outcome."),
		tokens:       r.Counter("billed_tokens", "Tokens billed."),
		duration:     r.Histogram("request_duration", "Time from a request's arrival to its answer, or to the first event of its stream.", latencyBounds...),
		firstEvent:   r.Histogram("first_event", "Time from an attempt's start to the first event of its stream.", latencyBounds...),
	}
	r.Gauge("in_flight", "Requests whose answers are not yet written.", g.inFlight.Load)
	r.Gauge("configuration_version", "Version of the configuration in force.", func() int64 { return int64(g.members.configVersion()) })
	r.Gauge("live_routers", "Routers that serve, this one included.", func() int64 { return int64(len(g.members.Peers()) + 1) })
	r.Gauge("store_silence_milliseconds", "Time since the store last answered.", func() int64 { return g.store.silence(time.Now()).Milliseconds() })
	return m, r.Err()
}

func (m *metrics) ended(kind, outcome string, took time.Duration) {
	m.requests.Add(1, attribute.String("kind", kind), attribute.String("outcome", outcome))
	m.duration.Record(took.Seconds(), attribute.String("kind", kind))
}

// Attempted counts an attempt.
func (m *metrics) Attempted(outcome endpoint.Outcome) {
	m.attempts.Add(1, attribute.String("outcome", outcome.String()))
}

// Reserved counts a reservation of tokens.
func (m *metrics) Reserved(place request.Place, granted bool) {
	m.reservations.Add(1, attribute.String("place", string(place)), attribute.Bool("granted", granted))
}

// Connected counts a connection taken for an attempt.
func (m *metrics) Connected(kept bool) { m.connections.Add(1, attribute.Bool("kept", kept)) }

// StreamStarted records the time to the first event of a stream.
func (m *metrics) StreamStarted(took time.Duration) { m.firstEvent.Record(took.Seconds()) }

func (m *metrics) billed(b budget.Bill) { m.tokens.Add(b.Tokens) }

func (m *metrics) storeCall(call string, err error) {
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

// observe logs and counts the answer of a request.
func (c *call) observe(out *request.Reply) {
	outcome := "Answered"
	status := out.Status
	if out.Refusal != nil {
		outcome = out.Refusal.Kind.String()
		status = out.Refusal.Kind.Answer().Status
	}
	took := time.Since(c.req.Arrived)
	c.g.metrics.ended(c.route.Kind.String(), outcome, took)
	c.g.log.Info("request",
		zap.String("Request", c.req.ID), zap.String("Run", c.req.RunID), zap.String("Route", c.route.Name), zap.Uint64("Version", c.version),
		zap.String("Outcome", outcome), zap.Int("Status", status), zap.Int("Attempts", out.Attempts), zap.Bool("Ran", out.Ran),
		zap.String("Lender", out.Lender), zap.Duration("Took", took))
}
