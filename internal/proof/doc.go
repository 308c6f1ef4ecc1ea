// Package proof holds what the randomized tests of this module share: one fixed default seed.
//
// A run with another seed is asked for with the flag -rapid.seed=N.
package proof
