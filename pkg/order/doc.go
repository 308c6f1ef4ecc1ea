// Package order ensures that an order, a service call that must not be repeated, runs at most once.
//
// A Claim in the store grants the right to send one order; it is created only
// if absent. Coordinator is the state machine of one router. It sends an order
// only after a successful write or a read has proved that the stored claim
// carries its own attempt, and it sends no attempt twice.
//
// Invariants:
//
//   - Across all routers, at most one attempt per account and key can have reached the service.
//   - A router answers NotRun only for its own attempt, which has not reached the service and never will.
//   - Every router reports a claim of unknown outcome as Unknown, until the claim is removed.
//
// A claim write that takes effect after its router has given up would block
// the key. The router therefore keeps trying to record NotRun in the claim,
// until a read proves that the claim records it or that the delayed write can no
// longer take effect. If the router dies before that, the claim can stay Claimed
// although the order was never sent. Requests with the key are then refused with
// OrderRunning, which is safe, since it leaves open whether the order ran.
package order
