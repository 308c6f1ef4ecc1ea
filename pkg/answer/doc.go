// Package answer puts an endpoint's streamed answer together.
//
// Every chunk is bound to an attempt and a sequence number. An Assembler hands
// on the chunks of the attempt in force in order and each exactly once; late,
// duplicate and foreign chunks are dropped. An answer is whole only when the
// endpoint's own end mark and every chunk before it were handed on. A broken
// stream resumes after the last chunk that was handed on.
package answer
