// Package answer assembles the streamed answer of an endpoint.
//
// Every chunk carries its attempt and a sequence number. An Assembler emits the
// chunks of the current attempt in order and each exactly once; duplicates and
// the chunks of earlier attempts or other requests are dropped. An answer is
// complete only when its last chunk and every chunk before it were emitted; the
// last chunk is the one that the endpoint marks, or the one that reaches the
// output limit. A broken stream is resumed after the last chunk that was emitted.
package answer
