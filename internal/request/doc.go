// Package request carries a caller's request to its answer: tokens, endpoint, attempts, answer or stream.
//
// A request is bytes and typed facts. A Codec speaks with the endpoint, so that
// the package knows no header's name and no body's format; the daemons
// translate what callers say into a Request and its Reply back. Decisions are
// made by the deciders under pkg: budgets by budget.Holder, endpoints, waiting
// and refusing by endpoint.Pool. The package carries them out.
//
// Invariants:
//
//   - A request that may not be repeated is sent to an endpoint again only after a proof that it did not run.
//   - A refusal that promises that a request did not run is given only if no attempt may have run.
//   - A success has a whole body, or is a stream of which the first whole event has come.
//   - A stream passes each event once and in order, and ends as complete only when the endpoint ended it so.
//   - What a request costs is settled once, where its tokens were set aside.
//
// A request is served by one goroutine at a time, which owns its state.
package request
