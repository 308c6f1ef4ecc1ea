// Package origin remembers which software version of a service began each stream, so that a stream that a caller takes up at
// another router goes on only at that version.
//
// A Registry holds the streams that begin at its router or of which it was told.
// While more than one version may serve the service, a router also tells the
// homes of its streams, two other routers chosen by rendezvous hashing, so that
// they know when it dies. A router at which a caller takes up a stream that it
// does not know asks the homes.
//
// A History is a router's copy of the lasting records of the versions that
// served each service. They prove where a stream began that no router knows, as
// long as they name one version.
//
// What all routers know is lost if they lose power together. While a service
// has several versions, each router therefore also writes a Row to the store
// with the origins of the streams that it serves. WriteSchedule and
// ReadSchedule bound the calls; an Index finds an origin in the rows.
//
// Invariants:
//
//   - What is known of a stream never changes while it is known.
//   - The state is bounded by the streams in flight and by maxKnown.
//   - No stream begins at a version that the record does not admit, unless its homes are told.
//   - A version is removed from a record only when no stream that began at it untold can still be taken up.
//   - A stream of which two rows say different origins is not known.
//
// The package decides; internal/peer sends the messages and internal/gateway
// calls the store.
package origin
