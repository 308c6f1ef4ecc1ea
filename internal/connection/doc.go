// Package connection pools connections to endpoints and detects when a caller disconnects.
//
// A pooled connection carries one request at a time. It is reused only while it
// is open, has no unread bytes and has not been idle for too long. Failing to
// open a connection is the only error that proves by itself that no byte of the
// request was sent.
package connection
