package answer

import "github.com/cockroachdb/errors"

// MaxBuffered is the largest number of out-of-order chunks that an Assembler buffers.
const MaxBuffered = 256

// ErrGap reports that more than MaxBuffered chunks arrived ahead of a missing one.
var ErrGap = errors.New("too many chunks wait for a missing one")

// Chunk is one part of a streamed answer.
type Chunk struct {
	Attempt  string // Attempt that the chunk belongs to.
	Sequence int    // Position in the answer, counted from 0 across all attempts.
	Content  string
	Finish   string // Finish reason of the endpoint; empty except in the last chunk.
}

// Assembler puts the chunks of one request in order.
//
// The zero value expects the first chunk. An Assembler is not safe for concurrent use.
type Assembler struct {
	Limit int // Maximum number of chunks in the answer, of one output token each; zero means no limit.

	attempt   string        // Current attempt.
	next      int           // Sequence number of the next chunk to emit.
	buffered  map[int]Chunk // Out-of-order chunks by sequence number.
	complete  bool
	truncated bool
}

// Begin starts an attempt and returns the sequence number of the first chunk that it should send.
//
// From then on, chunks of earlier attempts are dropped.
func (a *Assembler) Begin(attempt string) int {
	a.attempt = attempt
	a.buffered = nil
	return a.next
}

// Accept processes a received chunk and returns the chunks that it makes available, in order.
func (a *Assembler) Accept(c Chunk) ([]Chunk, error) {
	if a.complete || c.Attempt != a.attempt || c.Sequence < a.next {
		return nil, nil
	}
	if c.Sequence > a.next {
		return nil, a.buffer(c)
	}
	return a.release(c), nil
}

func (a *Assembler) buffer(c Chunk) error {
	if len(a.buffered) >= MaxBuffered {
		return ErrGap
	}
	if a.buffered == nil {
		a.buffered = map[int]Chunk{}
	}
	if _, ok := a.buffered[c.Sequence]; !ok {
		a.buffered[c.Sequence] = c
	}
	return nil
}

func (a *Assembler) release(c Chunk) []Chunk {
	var ready []Chunk
	for ok := true; ok && !a.complete; c, ok = a.buffered[a.next] {
		delete(a.buffered, a.next)
		c = a.applyLimit(c)
		ready = append(ready, c)
		a.next++
		a.complete = c.Finish != ""
	}
	return ready
}

// applyLimit marks the chunk that reaches the output limit as the last one.
func (a *Assembler) applyLimit(c Chunk) Chunk {
	if a.Limit > 0 && a.next+1 >= a.Limit && c.Finish == "" {
		c.Finish = FinishLength
		a.truncated = true
	}
	return c
}

// FinishLength is the finish reason of an answer that reached its output limit.
const FinishLength = "length"

// Complete reports whether the last chunk and every chunk before it were emitted.
func (a *Assembler) Complete() bool { return a.complete }

// Truncated reports whether the Assembler ended the answer at its output limit.
//
// The endpoint may still be generating output and has to be stopped.
func (a *Assembler) Truncated() bool { return a.truncated }

// Next returns the sequence number of the next chunk, which equals the number of chunks emitted so far.
func (a *Assembler) Next() int { return a.next }
