// Package fleet tracks which VMs serve and which entry addresses callers should use.
//
// Roster is the decider of one router incarnation. Each period it probes a
// fixed small number of VMs and piggybacks a bounded number of updates, so that
// its cost does not grow with the fleet. A VM that does not answer is suspected
// and, unless it refutes that, counted as dead. The
// platform's lagging list only removes VMs from the entry list.
//
// Membership steers and decides nothing: no promise about budgets, orders or
// settings rests on it.
//
// Invariants:
//
//   - Of two updates about one incarnation the one with more Refutations stands, then the worse state, then the higher Beat.
//   - Only an incarnation raises its own Refutations and Beat.
//   - A draining, suspected, dead or leaving VM is in no new entry list, unless the list would be empty.
package fleet
