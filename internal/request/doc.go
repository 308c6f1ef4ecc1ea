// Package request serves one caller's request: it reserves tokens, makes attempts at endpoints and returns the answer or its stream.
//
// The package is independent of the APIs of callers and endpoints: it handles
// only HTTP/1.1 and, in SSEReader, the framing of server-sent events. A Codec
// defines the headers and the events of an endpoint's API; the daemons translate
// what callers send into a Request, and its Reply back. The packages under pkg
// decide: budget.Holder about token budgets, endpoint.Pool about endpoint
// selection, queueing and refusals. This package carries out their decisions.
//
// Invariants:
//
//   - A request that is not repeatable is sent to an endpoint again only after proof that the previous attempt did not run it.
//   - A refusal that states that the request did not run is returned only if no attempt may have run it.
//   - A successful reply has a complete body, or a stream whose first event has been received completely.
//   - A stream delivers each event once and in order, and reports completion only if the endpoint completed it.
//   - The cost of a request is settled once, at the router that reserved its tokens.
//
// A request is served by one goroutine at a time, which owns its state.
package request
