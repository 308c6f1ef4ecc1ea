package router

import (
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/foxtaillanding/foxtaillanding/internal/chat"
	"github.com/foxtaillanding/foxtaillanding/pkg/answer"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// stage tells how far a request has been forwarded; it only grows, so that forwarding never loops.
type stage string

const (
	stageEntry  stage = ""       // From a caller.
	stageHome   stage = "Home"   // At the home of its Idempotency-Key.
	stageBudget stage = "Budget" // At a router that holds tokens.
)

// work is one model request that a router handles; one worker owns it.
type work struct {
	id       string
	key      string // Account and Idempotency-Key; empty without one.
	bodyHash uint64
	stage    stage
	caller   caller
	request  chat.Request
	arrived  time.Time
	deadline time.Time // Of the first token.

	pieces chan piece
	gone   chan struct{} // Closed when nobody reads the pieces any more.
	leave  sync.Once

	assembler answer.Assembler
	sent      bool        // An attempt may have reached an endpoint.
	usage     chat.Usage  // As the endpoint reported it.
	billed    *chat.Usage // As the router that served it billed it; nil when that is this one.
	firstAt   time.Time
	lastAt    time.Time
	content   []byte // The answer so far, kept for keyed requests.
	finish    string
}

// piece is one part of the way from the worker to the caller; exactly one field is set.
type piece struct {
	chunk   *answer.Chunk
	refused *refusal.Error
	usage   *chat.Usage // The answer is whole.
}

// piecesKept is the number of pieces that wait for a slow caller before the worker waits too.
const piecesKept = 32

func newID() string { return uuid.NewString() }

// emit hands a piece on and reports whether somebody still wants it.
func (w *work) emit(p piece) bool {
	select {
	case <-w.gone:
		return false
	default:
	}
	select {
	case w.pieces <- p:
		return true
	case <-w.gone:
		return false
	}
}

// note keeps what is needed of a chunk that is handed on, and reports whether it is the first.
func (w *work) note(now time.Time, c answer.Chunk) (first bool) {
	first = w.firstAt.IsZero()
	if first {
		w.firstAt = now
	}
	w.lastAt = now
	w.finish = c.Finish
	if w.key != "" {
		w.content = append(w.content, c.Content...)
	}
	return first
}

// abandon tells the worker that the caller has gone.
func (w *work) abandon() { w.leave.Do(func() { close(w.gone) }) }

// worstCase is the upper bound of what the request can cost, in tokens.
func (w *work) worstCase() int64 { return w.request.PromptBound() + w.request.MaxTokens }

// cost is what the request is billed: nothing when nothing was handed on.
func (w *work) cost() int64 {
	if w.assembler.Next() == 0 {
		return 0
	}
	prompt := min(w.usage.PromptTokens, w.request.PromptBound())
	if prompt <= 0 {
		prompt = w.request.PromptBound()
	}
	return prompt + int64(w.assembler.Next())
}

// finalUsage is the usage that the caller is told, which is what it is billed.
func (w *work) finalUsage() chat.Usage {
	if w.billed != nil {
		return *w.billed
	}
	total := w.cost()
	output := int64(w.assembler.Next())
	return chat.Usage{PromptTokens: total - output, CompletionTokens: output, TotalTokens: total}
}
