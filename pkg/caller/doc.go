// Package caller calls a router fleet the way that its callers should.
//
// A Client asks the fleet which addresses to use and keeps that answer for its
// lifetime, sends each request with an Idempotency-Key so that a repeat costs
// and does nothing twice, and comes back after Retry-After when a refusal says
// when. A refusal that names no time ends the call.
package caller
