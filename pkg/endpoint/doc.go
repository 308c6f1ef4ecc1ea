// Package endpoint decides which endpoint serves a request, when, and whether it is served at all.
//
// Pool is the decider of one router. A submitted request is sent at once when
// an endpoint has a free slot, waits in a queue ordered by class and fair share
// otherwise, and is refused as soon as its first token can no longer come
// before its deadline.
//
// Invariants:
//
//   - Each submitted request is answered by exactly one Refuse, or by one Send
//     for each attempt; at most one attempt of a request is in flight.
//   - An endpoint that is leaving, by whichever source said so first, gets no new Send.
//   - A request that was in flight on an endpoint that died is a suspect: it is
//     tried again only where no other suspect runs, and refused after a second death.
//   - Work that may not be repeated is sent at most once.
//
// The load that other routers put on an endpoint is known from its reports,
// which lag; the router's own part is known exactly.
package endpoint
