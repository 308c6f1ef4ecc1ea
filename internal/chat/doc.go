// Package chat implements the wire format of model requests: an HTTP API in the style of chat completions, with server-sent events.
//
// Callers, routers and engines use the same format. Chunks carry two extensions:
// the field id repeats the ID that the sender of the request put in the header
// X-Request-Id, and the field sequence counts the chunks of the complete answer
// from 0, so that an answer can be resumed and its chunks put in order.
package chat
