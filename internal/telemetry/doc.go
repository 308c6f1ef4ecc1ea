// Package telemetry creates OpenTelemetry instruments and serves them to Prometheus.
//
// A Registry keeps the first error of creating an instrument, so that a daemon
// creates all its instruments and checks for an error once. No label may have
// an unbounded set of values.
package telemetry
