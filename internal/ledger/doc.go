// Package ledger carries out what the budget holder of one router decides.
//
// It turns store answers and peer calls into events of budget.Holder and the
// holder's actions into store and peer calls. The holder is guarded by one
// mutex, which is never held during a call.
package ledger
