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
	Down                 bool   // Every connection is closed without an answer.
	Status               int    // When not zero, every request is answered with this status in place of a stream.
	DieOnMark            string // A request that contains this text breaks all streams of the engine.
	DeadMilliseconds     int    // Time for which the engine is down after a death.
	SlowFactor           float64
	CutAfterChunks       int // Streams are broken after this many chunks.
	DoubleChunks         bool
	SwapChunks           bool // Each pair of neighbouring chunks is sent in the wrong order.
	ForeignChunks        bool // Chunks of another request are mixed in.
	CacheLagMilliseconds int  // Cache events are reported this late.
	CacheGapEvery        int  // Each event whose number this divides is lost.
	IgnoreFencing        bool // Control orders with an old fencing number are obeyed.
	NoNumbers            bool // Chunks carry neither the attempt nor a sequence number, as with a plain engine.
	Leaving              bool
}

// Engine serves model requests with made-up answers whose words are numbered.
type Engine struct {
	Slots           int           // Requests run at once; others wait. Zero takes 8.
	TokensPerSecond float64       // Of one stream. Zero takes 200.
	FirstToken      time.Duration // Time to the first token.

	faults Switch[EngineFaults]
	cache  prefixCache

	control control

	mu        sync.Mutex
	running   int           // Guarded by mu.
	waiting   int           // Guarded by mu.
	served    int           // Guarded by mu; streams begun.
	tokens    int64         // Guarded by mu; tokens sent.
	deaths    int           // Guarded by mu.
	deadUntil time.Time     // Guarded by mu.
	epoch     int           // Guarded by mu; raised by each death, which breaks all streams.
	slots     chan struct{} // Guarded by mu until it is made.
}

// EngineCounts counts what the engine stand-in did.
type EngineCounts struct {
	Served int
	Tokens int64
	Deaths int
}

// Handle serves one call.
func (e *Engine) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case FaultsPath:
		e.faults.Serve(ctx)
		return
	case "/Counts":
		WriteJSON(ctx, e.Counts())
		return
	}
	if e.dead(time.Now()) {
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

func (e *Engine) complete(ctx *fasthttp.RequestCtx) {
	const maxTokens = 1 << 20
	request, refused := chat.Decode(ctx.PostBody(), maxTokens)
	if refused != nil {
		ctx.Error(refused.Error(), fasthttp.StatusBadRequest)
		return
	}
	if e.dies(string(ctx.PostBody())) {
		BreakConnection(ctx)
		return
	}
	if status := e.Faults().Status; status != 0 {
		ctx.Error("no stream", status)
		return
	}
	attempt := string(ctx.Request.Header.Peek(chat.HeaderRequestID))
	from, _ := strconv.Atoi(string(ctx.Request.Header.Peek(chat.HeaderResumeFrom)))
	if prefix, err := strconv.ParseUint(string(ctx.Request.Header.Peek(chat.HeaderPrefix)), 10, 64); err == nil {
		e.cache.use(time.Now(), prefix)
	}
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { e.stream(w, request, attempt, from) })
}

// stream writes the answer; returning without the end mark breaks it.
func (e *Engine) stream(w *bufio.Writer, r chat.Request, attempt string, from int) {
	slots, epoch := e.enter()
	slots <- struct{}{}
	e.begin()
	defer func() {
		<-slots
		e.end()
	}()
	faults := e.Faults()
	slow := max(1, faults.SlowFactor)
	time.Sleep(time.Duration(float64(e.FirstToken) * slow))
	gap := time.Duration(slow * float64(time.Second) / orFloat(e.TokensPerSecond, 200))
	parts := arrange(answerParts(r, attempt, from), faults)
	for i, part := range parts {
		if e.broken(epoch) || (faults.CutAfterChunks > 0 && i >= faults.CutAfterChunks) {
			return
		}
		event := chat.NewChunk(part.Attempt, r.Model, part)
		if faults.NoNumbers {
			event.ID, event.Sequence = "chatcmpl-1", nil
		}
		if part.Finish != "" {
			event.Usage = &chat.Usage{PromptTokens: promptTokens(r), CompletionTokens: int64(part.Sequence + 1)}
		}
		if chat.WriteEvent(w, event) != nil || w.Flush() != nil {
			return
		}
		e.count()
		if gap > time.Microsecond {
			time.Sleep(gap)
		}
	}
	if e.broken(epoch) {
		return
	}
	_ = chat.WriteDone(w)
}

func promptTokens(r chat.Request) int64 {
	var n int64
	for _, m := range r.Messages {
		n += int64(len(strings.Fields(m.Content))) + 1
	}
	return n
}

// answerParts makes the chunks of an answer from the given one on; the same request always gets the same answer.
func answerParts(r chat.Request, attempt string, from int) []answer.Chunk {
	words := strings.Fields(r.Messages[len(r.Messages)-1].Content)
	n := int(min(r.MaxTokens, int64(8+len(words))))
	var parts []answer.Chunk
	for i := from; i < n; i++ {
		parts = append(parts, answer.Chunk{Attempt: attempt, Sequence: i, Content: fmt.Sprintf("w%d ", i)})
	}
	if len(parts) > 0 {
		parts[len(parts)-1].Finish = "stop"
	}
	return parts
}

func arrange(parts []answer.Chunk, f EngineFaults) []answer.Chunk {
	var out []answer.Chunk
	for i := range parts {
		if f.ForeignChunks {
			out = append(out, answer.Chunk{Attempt: "foreign", Sequence: parts[i].Sequence, Content: "foreign "})
		}
		out = append(out, parts[i])
		if f.DoubleChunks {
			out = append(out, parts[i])
		}
	}
	if f.SwapChunks {
		for i := 0; i+1 < len(out); i += 2 {
			out[i], out[i+1] = out[i+1], out[i]
		}
	}
	return out
}

func orFloat(f, otherwise float64) float64 {
	if f <= 0 {
		return otherwise
	}
	return f
}

func (e *Engine) enter() (chan struct{}, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.slots == nil {
		e.slots = make(chan struct{}, cmp.Or(e.Slots, 8))
	}
	e.waiting++
	return e.slots, e.epoch
}

func (e *Engine) begin() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting--
	e.running++
	e.served++
}

func (e *Engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func (e *Engine) count() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tokens++
}

// dies breaks all streams when the request carries the mark.
func (e *Engine) dies(body string) bool {
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

func (e *Engine) broken(epoch int) bool {
	down := e.Faults().Down
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.epoch != epoch || down
}

func (e *Engine) dead(now time.Time) bool {
	down := e.Faults().Down
	e.mu.Lock()
	defer e.mu.Unlock()
	return down || now.Before(e.deadUntil)
}

func (e *Engine) load(after int) chat.LoadReport {
	faults := e.Faults()
	lag := time.Duration(faults.CacheLagMilliseconds) * time.Millisecond
	last, events := e.cache.after(time.Now(), uint64(after), lag, faults.CacheGapEvery)
	e.mu.Lock()
	defer e.mu.Unlock()
	return chat.LoadReport{Running: e.running, Waiting: e.waiting, Leaving: faults.Leaving, CacheSequence: last, Cache: events}
}

// Faults returns the faults in force.
func (e *Engine) Faults() EngineFaults { return e.faults.Get() }

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f EngineFaults) { e.faults.Set(f) }

// Counts returns what the engine did so far.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineCounts{Served: e.served, Tokens: e.tokens, Deaths: e.deaths}
}
