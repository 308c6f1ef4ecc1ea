// Package budget keeps the spend of each team within its prepaid budget while many routers serve it.
//
// The store holds one Record for each budget. A router draws tokens from it in
// grants, each a conditional write, and spends only what it was granted.
// Holder is the decider of one router incarnation: it reserves the worst case
// of a request before dispatch, settles the true figure afterwards, draws and
// returns grants, and says when the tokens of a request are to be reserved at
// another router that holds them, or the request refused.
//
// Invariants:
//
//   - The counters of an Account never fall, so repeated and late writes of one
//     holder can be told apart by reading the record again.
//   - The sum over all holders of Granted less Returned, plus Retired, never
//     exceeds the sum of the distinct top-ups. Record.Check verifies it on every write.
//   - The ceiling that a holder acts on is never above the higher of the store's and its witness's.
//   - A holder debits a return before it sends the write, and credits a grant
//     only after a read or an answer proved it.
//   - A write of unknown outcome blocks further writes of that budget until a
//     read shows a version newer than the one it was based on.
//
// The caller of Handle answers each Load, Commit, Forward and Recall with
// exactly one event, also when the other side cannot be reached or dies.
//
// A holder spends only below the Ceiling of its account, which the store or the
// account's Witness, a peer that the record names, acknowledged. The witness of a
// holder that has been absent for long acknowledges nothing more and seals the
// account: what lies above the ceiling becomes free.
//
// In a fleet not every router keeps a grant: a request that passes at a router
// that is no home of its budget (Reserve.Passing) draws only what it needs, and
// what is left of that goes back soon.
//
// No clock is trusted: a holder that was paused for any time still owns what lies
// below its ceiling, and that part stays held after a death until an operator
// closes the account.
package budget
