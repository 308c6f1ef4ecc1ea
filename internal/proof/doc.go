// Package proof provides test helpers: a fixed seed for property tests and a heap measurement for benchmarks.
//
// The flag -rapid.seed=N selects another seed.
package proof
