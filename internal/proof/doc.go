// Package proof holds what the tests and benchmarks of this module share: one fixed default seed and a measure of memory.
//
// A run with another seed is asked for with the flag -rapid.seed=N.
package proof
