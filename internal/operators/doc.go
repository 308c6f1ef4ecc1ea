// Package operators answers the operators' calls of a router: status, service levels, settings and budgets.
//
// It translates calls into reads and conditional writes. Each change carries an
// ID and is idempotent, so that an operator repeats a call whose answer was lost.
package operators
