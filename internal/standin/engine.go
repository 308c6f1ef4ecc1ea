package standin

import (
	"bufio"
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/internal/chat"
	"github.com/foxtaillanding/foxtaillanding/pkg/answer"
)

// EngineFaults are the faults of the engine stand-in.
type EngineFaults struct {
	Down                 bool    // Every connection is closed without a response, and running streams break.
	Status               int     // If not zero, completion requests are answered with this status instead of a stream.
	DieOnMark            string  // A request that contains this text crashes the engine, which breaks all its streams; empty for none.
	DeadMilliseconds     int     // Time for which the engine is down after a crash.
	SlowFactor           float64 // Multiplies the delays of a stream; values below 1 count as 1.
	CutAfterChunks       int     // Streams are broken after this many chunks; zero for never.
	DoubleChunks         bool    // Each chunk is sent twice.
	SwapChunks           bool    // Each pair of adjacent chunks is sent in the wrong order.
	ForeignChunks        bool    // Chunks of another request are mixed in.
	CacheLagMilliseconds int     // Delay after which cache events are reported.
	CacheGapEvery        int     // Cache events whose sequence number is a multiple of this are lost; zero for none.
	IgnoreFencing        bool    // Control commands with an outdated fencing token are accepted.
	NoNumbers            bool    // Chunks carry neither the attempt nor a sequence number, as with an unmodified engine.
	Leaving              bool    // Load reports announce that the engine is leaving.
}

// Engine serves model requests with synthetic answers of numbered words.
type Engine struct {
	Slots           int           // Requests that run concurrently; others wait. Zero selects 8.
	TokensPerSecond float64       // Rate of one stream. Zero selects 200.
	FirstToken      time.Duration // Time to first token.

	faults Var[EngineFaults]
	cache  prefixCache

	control controlState

	mu        sync.Mutex
	running   int           // Guarded by mu; streams that hold a slot.
	waiting   int           // Guarded by mu; streams that wait for a slot.
	served    int           // Guarded by mu; streams started.
	tokens    int64         // Guarded by mu; tokens sent.
	deaths    int           // Guarded by mu; crashes.
	deadUntil time.Time     // Guarded by mu; end of the downtime after the last crash.
	epoch     int           // Guarded by mu; incremented by each crash, which breaks the streams of earlier epochs.
	slots     chan struct{} // Semaphore of running streams; guarded by mu until it is created.
}

// EngineCounts holds the counters of the engine stand-in.
type EngineCounts struct {
	Served int   // Streams started.
	Tokens int64 // Tokens sent.
	Deaths int   // Crashes.
}

// Handle serves one request.
func (e *Engine) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case FaultsPath:
		e.faults.Serve(ctx)
		return
	case "/Counts":
		WriteJSON(ctx, e.Counts())
		return
	}
	if e.unavailable(time.Now()) {
		BreakConnection(ctx)
		return
	}
	switch string(ctx.Path()) {
	case chat.LoadPath:
		WriteJSON(ctx, e.load(ctx.QueryArgs().GetUintOrZero("After")))
	case chat.Path:
		e.complete(ctx)
	case ControlPath:
		e.control.serve(ctx, e.Faults().IgnoreFencing)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

// complete answers a chat completion request with a stream.
func (e *Engine) complete(ctx *fasthttp.RequestCtx) {
	const maxTokens = 1 << 20
	request, refusal := chat.Decode(ctx.PostBody(), maxTokens)
	if refusal != nil {
		ctx.Error(refusal.Error(), fasthttp.StatusBadRequest)
		return
	}
	if e.crash(string(ctx.PostBody())) {
		BreakConnection(ctx)
		return
	}
	if status := e.Faults().Status; status != 0 {
		ctx.Error("no stream", status)
		return
	}
	attempt := string(ctx.Request.Header.Peek(chat.HeaderRequestID))
	resumeFrom, _ := strconv.Atoi(string(ctx.Request.Header.Peek(chat.HeaderResumeFrom)))
	if prefix, err := strconv.ParseUint(string(ctx.Request.Header.Peek(chat.HeaderPrefix)), 10, 64); err == nil {
		e.cache.recordUse(time.Now(), prefix)
	}
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { e.stream(w, request, attempt, resumeFrom) })
}

// stream writes the answer; a return before the end marker leaves the stream broken.
func (e *Engine) stream(w *bufio.Writer, r chat.Request, attempt string, resumeFrom int) {
	slots, epoch := e.enqueue()
	slots <- struct{}{}
	e.startStream()
	defer func() {
		<-slots
		e.endStream()
	}()
	faults := e.Faults()
	slowdown := max(1, faults.SlowFactor)
	time.Sleep(time.Duration(float64(e.FirstToken) * slowdown))
	interval := time.Duration(slowdown * float64(time.Second) / positiveOr(e.TokensPerSecond, 200))
	chunks := applyChunkFaults(answerChunks(r, attempt, resumeFrom), faults)
	for i, chunk := range chunks {
		if e.streamBroken(epoch) || (faults.CutAfterChunks > 0 && i >= faults.CutAfterChunks) {
			return
		}
		event := chat.NewChunk(chunk.Attempt, r.Model, chunk)
		if faults.NoNumbers {
			event.ID, event.Sequence = "chatcmpl-1", nil
		}
		if chunk.Finish != "" {
			event.Usage = &chat.Usage{PromptTokens: promptTokens(r), CompletionTokens: int64(chunk.Sequence + 1)}
		}
		if chat.WriteEvent(w, event) != nil || w.Flush() != nil {
			return
		}
		e.countToken()
		if interval > time.Microsecond {
			time.Sleep(interval)
		}
	}
	if e.streamBroken(epoch) {
		return
	}
	_ = chat.WriteDone(w)
}

// promptTokens counts one token per word and one per message.
func promptTokens(r chat.Request) int64 {
	var n int64
	for _, m := range r.Messages {
		n += int64(len(strings.Fields(m.Content))) + 1
	}
	return n
}

// answerChunks returns the chunks of an answer from index resumeFrom on; they depend only on the request.
func answerChunks(r chat.Request, attempt string, resumeFrom int) []answer.Chunk {
	words := strings.Fields(r.Messages[len(r.Messages)-1].Content)
	n := int(min(r.MaxTokens, int64(8+len(words))))
	var chunks []answer.Chunk
	for i := resumeFrom; i < n; i++ {
		chunks = append(chunks, answer.Chunk{Attempt: attempt, Sequence: i, Content: fmt.Sprintf("w%d ", i)})
	}
	if len(chunks) > 0 {
		chunks[len(chunks)-1].Finish = "stop"
	}
	return chunks
}

// applyChunkFaults returns chunks with the foreign, duplicated and swapped chunks that f selects.
func applyChunkFaults(chunks []answer.Chunk, f EngineFaults) []answer.Chunk {
	var out []answer.Chunk
	for i := range chunks {
		if f.ForeignChunks {
			out = append(out, answer.Chunk{Attempt: "foreign", Sequence: chunks[i].Sequence, Content: "foreign "})
		}
		out = append(out, chunks[i])
		if f.DoubleChunks {
			out = append(out, chunks[i])
		}
	}
	if f.SwapChunks {
		for i := 0; i+1 < len(out); i += 2 {
			out[i], out[i+1] = out[i+1], out[i]
		}
	}
	return out
}

// positiveOr returns f, or fallback if f is not positive.
func positiveOr(f, fallback float64) float64 {
	if f <= 0 {
		return fallback
	}
	return f
}

// enqueue counts a waiting stream and returns the semaphore and the epoch that the stream belongs to.
func (e *Engine) enqueue() (chan struct{}, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.slots == nil {
		e.slots = make(chan struct{}, cmp.Or(e.Slots, 8))
	}
	e.waiting++
	return e.slots, e.epoch
}

func (e *Engine) startStream() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting--
	e.running++
	e.served++
}

func (e *Engine) endStream() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func (e *Engine) countToken() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tokens++
}

// crash breaks all streams if the request body contains the mark, and reports whether it does.
func (e *Engine) crash(body string) bool {
	faults := e.Faults()
	if faults.DieOnMark == "" || !strings.Contains(body, faults.DieOnMark) {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.epoch++
	e.deaths++
	e.deadUntil = time.Now().Add(time.Duration(faults.DeadMilliseconds) * time.Millisecond)
	return true
}

// streamBroken reports whether a stream of an epoch must break off.
func (e *Engine) streamBroken(epoch int) bool {
	down := e.Faults().Down
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.epoch != epoch || down
}

// unavailable reports whether the engine accepts no requests.
func (e *Engine) unavailable(now time.Time) bool {
	down := e.Faults().Down
	e.mu.Lock()
	defer e.mu.Unlock()
	return down || now.Before(e.deadUntil)
}

func (e *Engine) load(after int) chat.LoadReport {
	faults := e.Faults()
	lag := time.Duration(faults.CacheLagMilliseconds) * time.Millisecond
	last, events := e.cache.eventsAfter(time.Now(), uint64(after), lag, faults.CacheGapEvery)
	e.mu.Lock()
	defer e.mu.Unlock()
	return chat.LoadReport{Running: e.running, Waiting: e.waiting, Leaving: faults.Leaving, CacheSequence: last, Cache: events}
}

// Faults returns the active faults.
func (e *Engine) Faults() EngineFaults { return e.faults.Get() }

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f EngineFaults) { e.faults.Set(f) }

// Counts returns the current counters.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineCounts{Served: e.served, Tokens: e.tokens, Deaths: e.deaths}
}
