// Package budget keeps the spend of each team within its prepaid budget while many routers serve it.
//
// The store holds one Record for each budget. A router draws tokens from it in
// grants, each a conditional write, and spends only what it was granted.
// Holder is the decider of one router incarnation: it reserves the worst case
// of a request before dispatch, settles the true figure afterwards, draws and
// returns grants, and says when a request is to be forwarded to a router that
// holds the tokens or refused.
//
// Invariants:
//
//   - The counters of an Account never fall, so repeated and late writes of one
//     holder can be told apart by reading the record again.
//   - The sum over all holders of Granted less Returned, plus Retired, never
//     exceeds the sum of the distinct top-ups. Record.Check verifies it on every write.
//   - A holder debits a return before it sends the write, and credits a grant
//     only after a read or an answer proved it.
//   - A write of unknown outcome blocks further writes of that budget until a
//     read shows a version newer than the one it was based on.
//
// The caller of Handle answers each Load, Commit, Forward and Recall with
// exactly one event, also when the other side cannot be reached or dies.
//
// No clock is trusted: a holder that was paused for any time still owns what it
// was granted, and tokens of a dead holder stay held until an operator frees them.
package budget
