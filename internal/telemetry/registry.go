package telemetry

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// namespace is the prefix of the names of all instruments.
const namespace = "foxtaillanding."

// Registry creates the instruments of one process.
type Registry struct {
	registry *prometheus.Registry
	meter    metric.Meter
	err      error // First error of creating the exporter or an instrument.
}

// New returns a registry without instruments. An error is returned by Err.
func New() *Registry {
	r := &Registry{registry: prometheus.NewRegistry()}
	reader, err := exporter.New(exporter.WithRegisterer(r.registry), exporter.WithoutTargetInfo(), exporter.WithoutScopeInfo())
	if err != nil {
		r.err = errors.Wrap(err, "creating the metrics exporter")
		return r
	}
	r.meter = sdk.NewMeterProvider(sdk.WithReader(reader)).Meter("foxtaillanding")
	return r
}

// Err returns the first error of creating the registry or an instrument. After an error, no more instruments are created.
func (r *Registry) Err() error { return r.err }

// Handler returns a handler that serves the instruments in the Prometheus exposition format.
func (r *Registry) Handler() fasthttp.RequestHandler {
	return fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{}))
}

// Counter counts events by labels. The zero value discards them.
type Counter struct{ c metric.Int64Counter }

// Counter creates a counter.
func (r *Registry) Counter(name, description string) Counter {
	if r.err != nil {
		return Counter{}
	}
	c, err := r.meter.Int64Counter(namespace+name, metric.WithDescription(description))
	r.recordError(err, name)
	return Counter{c}
}

// Add counts n events.
func (c Counter) Add(n int64, labels ...attribute.KeyValue) {
	if c.c != nil {
		c.c.Add(context.Background(), n, metric.WithAttributes(labels...))
	}
}

// Histogram counts durations in buckets by labels. The zero value discards them.
type Histogram struct{ h metric.Float64Histogram }

// Histogram creates a histogram of durations. The upper bounds of its buckets are in seconds.
func (r *Registry) Histogram(name, description string, upperBounds ...float64) Histogram {
	if r.err != nil {
		return Histogram{}
	}
	h, err := r.meter.Float64Histogram(namespace+name, metric.WithUnit("s"), metric.WithDescription(description), metric.WithExplicitBucketBoundaries(upperBounds...))
	r.recordError(err, name)
	return Histogram{h}
}

// Record counts a duration in seconds.
func (h Histogram) Record(seconds float64, labels ...attribute.KeyValue) {
	if h.h != nil {
		h.h.Record(context.Background(), seconds, metric.WithAttributes(labels...))
	}
}

// Gauge creates a gauge. Its value is read whenever the instruments are served.
func (r *Registry) Gauge(name, description string, value func() int64) {
	if r.err != nil {
		return
	}
	_, err := r.meter.Int64ObservableGauge(namespace+name, metric.WithDescription(description), metric.WithInt64Callback(
		func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(value())
			return nil
		}))
	r.recordError(err, name)
}

// Total creates a counter whose value is read whenever the instruments are served; it must not decrease.
func (r *Registry) Total(name, description string, value func() float64) {
	if r.err != nil {
		return
	}
	_, err := r.meter.Float64ObservableCounter(namespace+name, metric.WithDescription(description), metric.WithFloat64Callback(
		func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(value())
			return nil
		}))
	r.recordError(err, name)
}

// recordError keeps err and the name of its instrument if err is the first error; nil is ignored.
func (r *Registry) recordError(err error, name string) {
	if r.err == nil && err != nil {
		r.err = errors.Wrapf(err, "creating the instrument %s", name)
	}
}
