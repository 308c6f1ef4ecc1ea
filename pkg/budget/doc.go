// Package budget keeps the spend of each team within its prepaid budget while many routers serve it.
//
// The store holds one Record for each budget. A router draws tokens from the
// record in grants, each a conditional write, and spends only granted tokens.
// A Holder is the state machine of one router incarnation: it reserves the
// worst case of a request before dispatch, settles the measured usage
// afterwards, and draws and returns grants. When neither its own tokens nor a
// further grant covers a request, it forwards the reservation to a router that
// holds enough, recalls unused tokens from its peers or refuses the request.
//
// Invariants:
//
//   - The counters of an Account never decrease, so that after repeated and
//     delayed writes of one holder a read of the record shows which took effect.
//   - The sum over all holders of Granted less Returned, plus Retired, never
//     exceeds the sum of the distinct top-ups. Record.Check verifies it on every write.
//   - The ceiling that a holder applies is never above the higher of those acknowledged by the store and by its witness.
//   - A holder debits a return before it sends the write, and credits a grant
//     only after a read or a reply has confirmed it.
//   - A write of unknown outcome blocks further writes of that budget until a
//     read shows a version newer than the one it was based on.
//
// The caller of Handle answers each Load, Commit, Forward, Recall and Raise with
// exactly one event, even if the other side is unreachable or fails.
//
// A holder spends only below the Ceiling of its account, which was acknowledged
// by the store or by the account's Witness, a peer named in the record. When a
// holder has been absent for Policy.SealAfter, its witness stops acknowledging
// higher ceilings and seals the account: the tokens above the ceiling become free.
//
// Each budget has home routers, which keep grants in advance. Any other router
// serves the budget on demand (Reserve.OnDemand): it draws only what a request
// needs and returns the remainder soon afterwards.
//
// Safety does not depend on clocks: a holder that was paused for any length of
// time still owns the tokens below its ceiling, and these stay held after its
// death until an operator closes the account.
package budget
