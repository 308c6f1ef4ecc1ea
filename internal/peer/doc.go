// Package peer is what the routers of a fleet ask of each other, over HTTP with JSON.
//
// Client calls the other routers, Service answers them. Every message may be
// repeated: a loan, a settlement, a raise or a suspicion that comes twice counts
// once. A daemon adds messages of its own beside these.
package peer
