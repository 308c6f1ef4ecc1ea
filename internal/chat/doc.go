// Package chat holds the wire format of model requests: the chat-completions style HTTP API with server-sent events.
//
// Callers, routers and engines speak the same format. Chunks carry two
// extensions: the field id repeats the attempt that the sender named in the
// header X-Request-Id, and the field sequence counts the chunks of the whole
// answer from 0, so that an answer can be resumed and put in order.
package chat
