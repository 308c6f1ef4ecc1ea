// Package fleet tracks which VMs serve and which entry addresses callers should use.
//
// Roster is the membership state machine of one router incarnation. In each
// period it probes a small fixed number of VMs and piggybacks a bounded number
// of updates on the messages, so that the cost per VM does not grow with the
// fleet. A VM that does not answer a probe is suspected, and is declared dead
// unless it refutes the suspicion in time. The platform's list of VMs lags, so
// it only excludes VMs from the entry list.
//
// Membership only steers requests and placement: no guarantee about budgets,
// orders or settings depends on it.
//
// Invariants:
//
//   - Of two updates about one incarnation, the one with more Refutations takes precedence, then the worse state, then the higher Heartbeat.
//   - Only an incarnation itself increases its Refutations and Heartbeat.
//   - A new entry list contains no suspected or dead VM, and draining or leaving ones only if it would otherwise be empty.
package fleet
