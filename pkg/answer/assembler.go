package answer

import "github.com/cockroachdb/errors"

// MaxHeld is the largest number of out-of-order chunks that an Assembler keeps.
const MaxHeld = 256

// ErrGap reports that too many chunks came ahead of a missing one.
var ErrGap = errors.New("too many chunks wait for a missing one")

// Chunk is one part of a streamed answer.
type Chunk struct {
	Attempt  string // The attempt that the endpoint answers.
	Sequence int    // Counts from 0 within the whole answer, resumed or not.
	Content  string
	Finish   string // The endpoint's reason for ending; empty before the last chunk.
}

// Assembler puts the chunks of one request in order; its zero value expects the first chunk.
type Assembler struct {
	Limit int // Largest number of chunks with content, one output token each; zero is no limit.

	attempt string
	next    int
	held    map[int]Chunk
	whole   bool
	capped  bool
}

// Begin starts an attempt and returns the sequence number of the first chunk that is wanted from it.
//
// Chunks of earlier attempts are dropped from now on.
func (a *Assembler) Begin(attempt string) int {
	a.attempt = attempt
	a.held = nil
	return a.next
}

// Take accepts a chunk and returns the chunks that can now be handed on, in order.
func (a *Assembler) Take(c Chunk) ([]Chunk, error) {
	if a.whole || c.Attempt != a.attempt || c.Sequence < a.next {
		return nil, nil
	}
	if c.Sequence > a.next {
		return nil, a.hold(c)
	}
	return a.release(c), nil
}

func (a *Assembler) hold(c Chunk) error {
	if len(a.held) >= MaxHeld {
		return ErrGap
	}
	if a.held == nil {
		a.held = map[int]Chunk{}
	}
	if _, ok := a.held[c.Sequence]; !ok {
		a.held[c.Sequence] = c
	}
	return nil
}

func (a *Assembler) release(c Chunk) []Chunk {
	var ready []Chunk
	for ok := true; ok && !a.whole; c, ok = a.held[a.next] {
		delete(a.held, a.next)
		c = a.atLimit(c)
		ready = append(ready, c)
		a.next++
		a.whole = c.Finish != ""
	}
	return ready
}

// atLimit ends the answer at the chunk that reaches the output limit.
func (a *Assembler) atLimit(c Chunk) Chunk {
	if a.Limit > 0 && a.next+1 >= a.Limit && c.Finish == "" {
		c.Finish = FinishLength
		a.capped = true
	}
	return c
}

// FinishLength is the reason for ending of an answer that reached its output limit.
const FinishLength = "length"

// Whole reports whether the end mark and every chunk before it were handed on.
func (a *Assembler) Whole() bool { return a.whole }

// Capped reports whether the router ended the answer at its output limit, so that the endpoint is still to be stopped.
func (a *Assembler) Capped() bool { return a.capped }

// Next returns the sequence number of the next chunk, which is also the number handed on so far.
func (a *Assembler) Next() int { return a.next }
