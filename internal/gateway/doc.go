// Package gateway serves opaque requests: it finds the route of each, reserves its tokens, chooses an endpoint and hands the answer on.
//
// A request is bytes and typed facts. A Dialect translates both sides, so that
// the package knows no header's name and no body's format. Decisions are made
// by the deciders under pkg: budgets by budget.Holder, endpoints, waiting and
// refusing by endpoint.Pool, members by fleet.Roster. The package carries them
// out.
//
// Invariants:
//
//   - A request that may not be repeated is sent to an endpoint again only after a proof that it did not run.
//   - A refusal that promises that a request did not run is given only if no attempt may have run.
//   - A caller gets the head of a success only with a whole body, or with the first whole event of a stream.
//   - A stream passes each event once and in order, and ends as complete only when the endpoint ended it so.
//   - The configuration in force never goes back to a lower version.
//
// Each request is served by the goroutine of its connection. Store and peer
// calls run on a pool of workers.
package gateway
