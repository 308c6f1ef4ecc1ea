// Package proof provides test helpers: a fixed seed for property tests, a heap measurement for benchmarks and virtual time for models.
//
// The flag -rapid.seed=N selects another seed.
package proof
