// Package telemetry makes OpenTelemetry instruments and serves them as text.
//
// A Registry collects the faults of making instruments, so that a daemon lists
// its instruments and checks once. No label may have an unbounded set of values.
package telemetry
