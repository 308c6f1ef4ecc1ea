// Package settings holds the operators' settings: their tree, its checks, and how a change comes into force.
//
// The tree has the path Fleet and one path Teams/NAME for each team. The store
// keeps each accepted version of a subtree under its own key and one small Head
// record that names the version in force of every path. A change is accepted by
// one conditional write of the Head; the subtree is written before that.
//
// Invariants:
//
//   - A Head's Revision grows by one with each accepted change.
//   - A Follower takes a Head only if its Revision is higher than the one in force, so settings never revert.
//   - A tree comes into force whole, and only after it passed Check.
//   - A change is accepted at most once: its ID is remembered in the Head.
package settings
