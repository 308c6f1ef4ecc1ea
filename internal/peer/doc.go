// Package peer implements the calls between the routers of a fleet, over HTTP with JSON.
//
// Client calls the other routers and Service answers their calls. Every message
// is idempotent: a loan, settlement, raise or suspicion that arrives twice has
// the effect of one. A daemon may add messages of its own.
package peer
