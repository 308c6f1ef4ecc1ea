// Package operators serves the operators' HTTP API of a router: status, service levels, settings and budgets.
//
// It translates calls into reads and conditional writes. Each change carries an
// ID or names a holder and takes effect once, so an operator can repeat a call
// whose answer was lost.
package operators
