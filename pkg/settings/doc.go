// Package settings defines the operators' settings: the tree, its validation, and how a change is accepted and applied.
//
// The tree consists of a subtree at the path Fleet and one at Teams/NAME for each
// team. The store keeps each accepted version of a subtree under its own key, and
// one small Head record with the current version of every path. A change is
// accepted by one conditional write of the Head, after its subtree was written.
//
// Invariants:
//
//   - The Revision of a Head increases by one with each accepted change.
//   - A Follower applies a Head only if its Revision is higher than the applied one, so settings never revert.
//   - A tree is applied as a whole, and only after it passed Check.
//   - A change is accepted at most once: the Head keeps the IDs of the last changes, and a repeat of an older one
//     fails because its BaseRevision is outdated.
package settings
