// Package origin remembers which software version of a service began each stream, so that a stream that a caller takes up at
// another router goes on only at that version.
//
// A router records each stream that begins there. While endpoints of several
// versions serve the service, it also tells the homes of the stream, two other
// routers chosen by rendezvous hashing, so that they know when it dies. A router
// at which a caller takes up a stream that it does not know asks the homes.
// While all endpoints have the same version, nobody needs to be told.
//
// What all routers know is lost if they lose power together. While endpoints of
// several versions serve, each router therefore also writes a Row to the store
// with the origins of the streams that it serves. WriteSchedule and
// ReadSchedule bound the calls; an Index finds an origin in the rows.
//
// Invariants:
//
//   - What is known of a stream never changes while it is known.
//   - The state is bounded by the streams in flight and by maxKnown.
//   - A stream of which two rows say different origins is not known.
//
// The package decides; internal/peer sends the messages and internal/gateway
// calls the store.
package origin
