// Package reach finds out whether one router reaches the endpoints at all.
//
// Monitor is told what happens to the attempts of the router. An endpoint that
// falls silent or dies and a cut of the router itself look the same in one
// attempt; they differ in what happens at the other endpoints. So Monitor looks
// for failures, or silence, at two or more endpoints, and then has connections
// to some other endpoints opened as probes. Only when all probes fail is the
// path lost. No probes are sent while the attempts succeed.
//
// The path is lost when no connection can be opened. Connections that are open
// may live on meanwhile, and what arrives on them does not restore the path: a
// router that cannot open connections soon has none left.
//
// A router cannot tell a cut of its own from the death of all endpoints. Who
// uses the result must be content with either.
//
// Invariants:
//
//   - The path is not lost while a probe or an attempt of the same round could open a connection.
//   - The path is not restored before a connection was opened.
//   - While the path is there, rounds of probes that found nothing begin at least RoundInterval apart, but for those that
//     judge the break of a connection.
package reach
