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

// namespace begins the name of every instrument.
const namespace = "foxtaillanding."

// Registry makes the instruments of one process.
type Registry struct {
	registry *prometheus.Registry
	meter    metric.Meter
	err      error
}

// New returns an empty registry.
func New() *Registry {
	r := &Registry{registry: prometheus.NewRegistry()}
	exported, err := exporter.New(exporter.WithRegisterer(r.registry), exporter.WithoutTargetInfo(), exporter.WithoutScopeInfo())
	if err != nil {
		r.err = errors.Wrap(err, "making the metrics exporter")
		return r
	}
	r.meter = sdk.NewMeterProvider(sdk.WithReader(exported)).Meter("foxtaillanding")
	return r
}

// Err returns the first fault of making an instrument.
func (r *Registry) Err() error { return r.err }

// Handler serves the instruments as text.
func (r *Registry) Handler() fasthttp.RequestHandler {
	return fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{}))
}

// Counter counts events by labels.
type Counter struct{ c metric.Int64Counter }

// Counter makes a counter.
func (r *Registry) Counter(name, text string) Counter {
	if r.err != nil {
		return Counter{}
	}
	c, err := r.meter.Int64Counter(namespace+name, metric.WithDescription(text))
	r.note(err, name)
	return Counter{c}
}

// Add counts n events.
func (c Counter) Add(n int64, labels ...attribute.KeyValue) {
	if c.c != nil {
		c.c.Add(context.Background(), n, metric.WithAttributes(labels...))
	}
}

// Histogram counts durations in buckets.
type Histogram struct{ h metric.Float64Histogram }

// Histogram makes a histogram of seconds with the given upper bounds of its buckets.
func (r *Registry) Histogram(name, text string, bounds ...float64) Histogram {
	if r.err != nil {
		return Histogram{}
	}
	h, err := r.meter.Float64Histogram(namespace+name, metric.WithUnit("s"), metric.WithDescription(text), metric.WithExplicitBucketBoundaries(bounds...))
	r.note(err, name)
	return Histogram{h}
}

// Record takes a duration in seconds.
func (h Histogram) Record(seconds float64, labels ...attribute.KeyValue) {
	if h.h != nil {
		h.h.Record(context.Background(), seconds, metric.WithAttributes(labels...))
	}
}

// Gauge makes a gauge that reads a value whenever the instruments are served.
func (r *Registry) Gauge(name, text string, value func() int64) {
	if r.err != nil {
		return
	}
	_, err := r.meter.Int64ObservableGauge(namespace+name, metric.WithDescription(text), metric.WithInt64Callback(
		func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(value())
			return nil
		}))
	r.note(err, name)
}

func (r *Registry) note(err error, name string) {
	if r.err == nil && err != nil {
		r.err = errors.Wrapf(err, "making the instrument %s", name)
	}
}
