// Package endpoint implements load balancing, queueing and load shedding for
// the requests of one router.
//
// A Pool sends a submitted request at once if an endpoint has a free slot, and
// otherwise queues it by class and weighted fair share. It refuses a request as
// soon as the first token can no longer arrive before the request's deadline.
//
// A Pool is a deterministic state machine: Handle applies an Event and returns
// the Actions to carry out. It does no I/O and reads no clock.
//
// Invariants:
//
//   - A request gets one Send or one Refuse after it is submitted and after each
//     retry, unless it is withdrawn first. At most one attempt of a request is in
//     flight.
//   - A stream goes on only at an endpoint with the software version that began it.
//   - The routers together send an endpoint that names a limit no more than about
//     that limit; every send counts.
//   - The routers together cause no more arrivals of a request beyond its first,
//     for each service and in any window, than its retry budget allows; see
//     retryLog.
//   - An endpoint that any source reports as leaving gets no new Send.
//   - A request that was in flight on an endpoint that died is a suspect, unless
//     a request with the same fingerprint has finished before. A suspect is
//     retried only on an endpoint that runs no other suspect, and is refused
//     after the second death.
//   - A part of prompts, other than the last one, that was in flight when an
//     endpoint crashed is a suspect, unless a request with it has finished
//     before. While it is one, at most one request with it is in flight, and
//     after the third crash requests with it are refused.
//   - A request that is not repeatable is not sent again once it may have run.
//
// The router's own load on an endpoint is known exactly. The load from other
// routers is estimated from the endpoint's reports, which lag.
package endpoint
