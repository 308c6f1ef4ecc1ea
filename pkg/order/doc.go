// Package order runs work that may not be repeated at most once.
//
// A Claim in the store, created only if absent, stands for the right to send
// one order. Keeper is the decider of one router. It sends an order only after
// an answer or a read proved that the claim carries its own attempt, and sends
// no attempt twice.
//
// Invariants:
//
//   - At most one attempt for each account and key is ever sent, over all routers.
//   - NotRun is answered only by the router whose attempt was not sent and that will never send it.
//   - A claim whose outcome is not known is told as Unknown, by every router, until it is forgotten.
//
// A claim write that lands after its router gave up would block the key, so
// the router keeps trying to mark the claim as NotRun until a read proves that
// the claim is marked or that the late write can no longer land. A router that
// dies before that leaves the key Unknown, which is safe and is not told as NotRun.
package order
