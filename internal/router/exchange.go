package router

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/internal/chat"
	"github.com/foxtaillanding/foxtaillanding/internal/request"
	"github.com/foxtaillanding/foxtaillanding/pkg/answer"
)

// exchange speaks with engines about one model request and puts their chunks together to one answer; it implements request.Codec.
type exchange struct {
	request chat.Request
	id      string
	class   int
	keeps   bool // The content is kept, for a whole answer or for a key's next request.

	assembler answer.Assembler
	attempt   string      // The ID that the chunks of the attempt in force carry.
	from      int         // The first chunk that is wanted of it.
	usage     chat.Usage  // As the endpoint reported it.
	told      *chat.Usage // As the router that served it billed it; nil when that is this one.
	content   bytes.Buffer
	finish    string
	firstAt   time.Time // Of the first chunk.
	lastAt    time.Time
}

// AttemptHeaders begins an attempt and returns its headers.
func (e *exchange) AttemptHeaders(m *request.Message, f request.AttemptInfo) []request.Header {
	e.attempt = m.ID + "-" + strconv.Itoa(f.Attempt)
	e.from = e.assembler.Begin(e.attempt)
	return append([]request.Header{
		{Name: chat.HeaderRequestID, Value: e.attempt},
		{Name: chat.HeaderResumeFrom, Value: strconv.Itoa(e.from)},
		{Name: chat.HeaderPriority, Value: strconv.Itoa(e.class)},
		{Name: chat.HeaderPrefix, Value: strconv.FormatUint(m.Prefix, 10)},
	}, m.Headers...)
}

// ParseHead reads the head of an engine's answer; the chunks tell which request they belong to.
func (e *exchange) ParseHead(id string, status int, _ http.Header) request.AnswerHead {
	full := status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable
	return request.AnswerHead{ID: id, Sealed: true, NotRun: full}
}

// Events reads the chunks of an attempt.
func (e *exchange) Events(body io.Reader) request.EventReader {
	return &chunkReader{exchange: e, body: body, in: chat.NewReader(body)}
}

// chunkReader hands on the chunks of one attempt that come next in the answer.
type chunkReader struct {
	exchange *exchange
	body     io.Reader
	in       *chat.Reader
	read     int // Chunks that came.
	ready    []answer.Chunk
}

// Next returns the next chunk of the answer as an event for the caller; io.EOF tells that the answer is whole.
func (r *chunkReader) Next() (request.Event, error) {
	e := r.exchange
	for len(r.ready) == 0 {
		if e.assembler.Complete() {
			r.drain()
			return request.Event{}, io.EOF
		}
		if err := r.take(); err != nil {
			return request.Event{}, err
		}
	}
	c := r.ready[0]
	r.ready = r.ready[1:]
	return e.pass(time.Now(), c)
}

// take reads one chunk.
func (r *chunkReader) take() error {
	c, err := r.in.Next()
	switch {
	case errors.Is(err, chat.ErrDone), errors.Is(err, chat.ErrMalformed):
		return errors.Wrap(request.ErrInvalidStream, err.Error())
	case err != nil:
		return err
	}
	e := r.exchange
	part := c.Part()
	if part.Sequence == chat.Unnumbered {
		if e.from > 0 {
			return errors.Wrap(request.ErrInvalidStream, "the endpoint cannot resume an answer")
		}
		part.Attempt = e.attempt
		part.Sequence = r.read
	}
	r.read++
	r.ready, err = e.assembler.Accept(part)
	if err != nil {
		return errors.Wrap(request.ErrInvalidStream, err.Error())
	}
	if c.Usage != nil && len(r.ready) > 0 {
		e.usage = *c.Usage
	}
	return nil
}

// drain reads what follows the end of an answer, so that the connection can be used again.
//
// An answer that was ended at its limit may go on, so that its endpoint is to be stopped.
func (r *chunkReader) drain() {
	const most = 4 << 10 // Bytes.
	if !r.exchange.assembler.Truncated() {
		_, _ = io.CopyN(io.Discard, r.body, most)
	}
}

// pass notes a chunk that is handed on and encodes it for a caller that takes the answer as it comes.
func (e *exchange) pass(now time.Time, c answer.Chunk) (request.Event, error) {
	if e.firstAt.IsZero() {
		e.firstAt = now
	}
	e.lastAt = now
	e.finish = c.Finish
	if e.keeps {
		e.content.WriteString(c.Content)
	}
	event := request.Event{ID: strconv.Itoa(c.Sequence)}
	if !e.request.Stream {
		return event, nil
	}
	var raw bytes.Buffer
	err := chat.WriteEvent(&raw, chat.NewChunk(e.id, e.request.Model, c))
	event.Raw = raw.Bytes()
	return event, err
}

// cost is what the request is billed: nothing when nothing was handed on.
func (e *exchange) cost(request.Usage) int64 {
	output := int64(e.assembler.Next())
	if output == 0 {
		return 0
	}
	bound := e.request.PromptBound()
	prompt := min(e.usage.PromptTokens, bound)
	if prompt <= 0 {
		prompt = bound
	}
	return prompt + output
}

// billed is the usage that the caller is told, which is what it is billed.
func (e *exchange) billed() chat.Usage {
	if e.told != nil {
		return *e.told
	}
	total := e.cost(request.Usage{})
	output := int64(e.assembler.Next())
	return chat.Usage{PromptTokens: total - output, CompletionTokens: output, TotalTokens: total}
}
