package router

import (
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/foxtaillanding/foxtaillanding/internal/chat"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// stageHome is the value of headerStage in a request to the home of its key, which must not forward it again.
const stageHome = "Home"

// modelRequest is one model request while it is served; one worker owns it.
type modelRequest struct {
	exchange

	key      string // Account and Idempotency-Key; empty if the request has no key.
	bodyHash uint64
	atHome   bool // Another router forwarded the request to this one, the home of its key.
	caller   caller
	arrived  time.Time
	startBy  time.Time // Deadline for the first token.

	pieces      chan piece
	callerGone  <-chan struct{} // Closed when the caller closes its connection.
	abandoned   chan struct{}   // Closed when the pieces are no longer read.
	abandonOnce sync.Once

	mayHaveRun bool // An attempt may have reached an endpoint.
}

// piece is one part of an answer on its way from the worker to the caller; exactly one field is set.
type piece struct {
	event   []byte // A chunk encoded as an event; such pieces exist only if the answer is streamed.
	refused *refusal.Error
	usage   *chat.Usage // Usage of the answer, which is complete.
}

// pieceBuffer is the number of pieces buffered for a slow caller before the worker blocks.
const pieceBuffer = 32

func newID() string { return uuid.NewString() }

// emit passes a piece to the goroutine that writes the answer; it returns false if the answer is no longer wanted.
func (m *modelRequest) emit(p piece) bool {
	select {
	case <-m.abandoned:
		return false
	default:
	}
	select {
	case m.pieces <- p:
		return true
	case <-m.abandoned:
		return false
	}
}

// abandon makes further calls of emit return false, since the pieces are no longer read.
func (m *modelRequest) abandon() { m.abandonOnce.Do(func() { close(m.abandoned) }) }

// worstCase returns the maximum cost of the request in tokens.
func (m *modelRequest) worstCase() int64 { return m.request.PromptBound() + m.request.MaxTokens }
