// Package standin holds small stand-ins for the platform and the endpoints, for tests and the dev command.
//
// Each is an HTTP server with faults that are switched over HTTP by a PUT to
// /Faults. They are fakes at the interfaces of the system and promise nothing
// about the real services beyond their published protocol.
package standin
