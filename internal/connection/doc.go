// Package connection keeps connections to endpoints between requests and watches those of callers.
//
// A kept connection carries one request at a time and is handed out again only
// while it is open, has no bytes pending and was not idle for too long. A
// connection that could not be opened is the only failure that proves by itself
// that no byte of a request was sent.
package connection
