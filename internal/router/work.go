package router

import (
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/foxtaillanding/foxtaillanding/internal/chat"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// stageHome marks a request between routers: it is at the home of its key, so that it is sent no further.
const stageHome = "Home"

// work is one model request that a router handles; one worker owns it.
type work struct {
	exchange // With the engines.

	key      string // Account and Idempotency-Key; empty without one.
	bodyHash uint64
	atHome   bool // It came from another router.
	caller   caller
	arrived  time.Time
	startBy  time.Time // Of the first token.

	pieces chan piece
	left   <-chan struct{} // Closed when the caller closed its connection.
	gone   chan struct{}   // Closed when nobody reads the pieces any more.
	leave  sync.Once

	sent bool // An attempt may have reached an endpoint.
}

// piece is one part of the way from the worker to the caller; exactly one field is set.
type piece struct {
	event   []byte // A chunk as a caller that takes the answer as it comes is sent it.
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

// abandon tells the worker that the caller has gone.
func (w *work) abandon() { w.leave.Do(func() { close(w.gone) }) }

// worstCase is the upper bound of what the request can cost, in tokens.
func (w *work) worstCase() int64 { return w.request.PromptBound() + w.request.MaxTokens }
