// Package feed lets a few routers of each data centre read the changes of a set of store keys and pass them on to the others.
//
// A Log is one router's copy of the keys: their current entries and the latest
// changes. A router that reads the store directly, a reader, fills its Log from
// the store; every other one, a follower, fills it from the Update of a reader.
// A Follower decides which reader to ask and when to read the store instead.
//
// Invariants:
//
//   - The revision of a Log never decreases, and no entry is replaced by one of a lower revision.
//   - An Update holds every change after the revision that the follower named, or a snapshot.
//   - A follower does not use an Update if the store last answered its source more than MaxAge ago, or if the answer to the watch
//     of its source is more than MaxOverdue late.
package feed
