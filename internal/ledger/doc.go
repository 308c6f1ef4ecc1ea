// Package ledger executes the decisions of the budget holder of one router.
//
// It passes the results of store and peer calls to budget.Holder as events and
// executes the holder's actions as store and peer calls. One mutex guards the
// holder; it is never held during a call. For the requests of other routers, it
// also reserves tokens as loans.
package ledger
