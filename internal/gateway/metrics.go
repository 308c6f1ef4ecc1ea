package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
)

// metrics are the gateway's OpenTelemetry instruments.
type metrics struct {
	registry     *prometheus.Registry
	requests     metric.Int64Counter
	attempts     metric.Int64Counter
	reservations metric.Int64Counter
	connections  metric.Int64Counter
	storeCalls   metric.Int64Counter
	tokens       metric.Int64Counter
	duration     metric.Float64Histogram
	firstEvent   metric.Float64Histogram
}

func newMetrics(g *Gateway) (*metrics, error) {
	m := &metrics{registry: prometheus.NewRegistry()}
	exported, err := exporter.New(exporter.WithRegisterer(m.registry), exporter.WithoutTargetInfo(), exporter.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Wrap(err, "making the metrics exporter")
	}
	meter := sdk.NewMeterProvider(sdk.WithReader(exported)).Meter("foxtaillanding")
	for _, c := range []struct {
		into       *metric.Int64Counter
		name, text string
	}{
		{&m.requests, "requests", "Requests by kind and outcome."},
		{&m.attempts, "attempts", "Attempts at endpoints by outcome."},
		{&m.reservations, "reservations", "Token reservations by place and outcome."},
		{&m.connections, "endpoint_connections", "Connections taken for attempts, new or kept."},
		{&m.storeCalls, "store_calls", "Calls to the store by call and outcome."},
		{&m.tokens, "billed_tokens", "Tokens billed."},
	} {
		if *c.into, err = meter.Int64Counter("foxtaillanding."+c.name, metric.WithDescription(c.text)); err != nil {
			return nil, errors.Wrapf(err, "making the counter %s", c.name)
		}
	}
	for _, h := range []struct {
		into       *metric.Float64Histogram
		name, text string
	}{
		{&m.duration, "request_duration", "Time from a request's arrival to its answer, or to the first event of its stream."},
		{&m.firstEvent, "first_event", "Time from an attempt's start to the first event of its stream."},
	} {
		*h.into, err = meter.Float64Histogram("foxtaillanding."+h.name, metric.WithUnit("s"), metric.WithDescription(h.text),
			metric.WithExplicitBucketBoundaries(0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 3, 5, 10))
		if err != nil {
			return nil, errors.Wrapf(err, "making the histogram %s", h.name)
		}
	}
	return m, g.observeState(meter)
}

// observeState registers the gauges.
func (g *Gateway) observeState(meter metric.Meter) error {
	for _, one := range []struct {
		name, text string
		value      func() int64
	}{
		{"in_flight", "Requests whose answers are not yet written.", g.inFlight.Load},
		{"configuration_version", "Version of the configuration in force.", func() int64 { return int64(g.members.configVersion()) }},
		{"live_routers", "Routers that serve, this one included.", func() int64 { return int64(len(g.members.Peers()) + 1) }},
		{"store_silence_milliseconds", "Time since the store last answered.", func() int64 { return g.store.silence(time.Now()).Milliseconds() }},
	} {
		_, err := meter.Int64ObservableGauge("foxtaillanding."+one.name, metric.WithDescription(one.text), metric.WithInt64Callback(
			func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(one.value())
				return nil
			}))
		if err != nil {
			return errors.Wrapf(err, "making the gauge %s", one.name)
		}
	}
	return nil
}

func (m *metrics) handler() fasthttp.RequestHandler {
	return fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
}

func add(c metric.Int64Counter, n int64, pairs ...attribute.KeyValue) {
	c.Add(context.Background(), n, metric.WithAttributes(pairs...))
}

func (m *metrics) ended(kind, outcome string, took time.Duration) {
	add(m.requests, 1, attribute.String("kind", kind), attribute.String("outcome", outcome))
	m.duration.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("kind", kind)))
}

func (m *metrics) attempt(outcome endpoint.Outcome) {
	add(m.attempts, 1, attribute.String("outcome", outcome.String()))
}

func (m *metrics) reserved(place string, granted bool) {
	add(m.reservations, 1, attribute.String("place", place), attribute.Bool("granted", granted))
}

func (m *metrics) connection(kept bool) { add(m.connections, 1, attribute.Bool("kept", kept)) }

func (m *metrics) billed(b budget.Bill) { add(m.tokens, b.Tokens) }

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
	add(m.storeCalls, 1, attribute.String("call", call), attribute.String("outcome", outcome))
}

// observe logs and counts the answer of a request.
func (r *run) observe(out *reply) {
	outcome := "Answered"
	status := out.Status
	if out.Refused != nil {
		outcome = out.Refused.Kind.String()
		status = out.Refused.Kind.Answer().Status
	}
	took := time.Since(r.arrived)
	r.g.metrics.ended(r.route.Kind.String(), outcome, took)
	r.g.log.Info("request",
		zap.String("Request", r.req.ID), zap.String("Run", r.id), zap.String("Route", r.route.Name), zap.Uint64("Version", r.version),
		zap.String("Outcome", outcome), zap.Int("Status", status), zap.Int("Attempts", r.attempts), zap.Bool("Ran", r.ran),
		zap.String("Lender", r.reserved.lender), zap.Duration("Took", took))
}
