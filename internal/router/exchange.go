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

// exchange translates one model request for engines and assembles the answer from their chunks; it implements request.Codec.
type exchange struct {
	request     chat.Request
	id          string
	class       int  // Scheduling class, sent to engines as the priority.
	keepContent bool // The content is stored, for an answer that is not streamed or for replays of the key.

	assembler    answer.Assembler
	attempt      string      // ID of the current attempt, which its chunks carry.
	resumeFrom   int         // Sequence number of the first chunk that the current attempt should send.
	usage        chat.Usage  // Reported by the endpoint.
	homeUsage    *chat.Usage // Usage that the home of the key billed; nil if this router served the request.
	content      bytes.Buffer
	finish       string    // Finish reason; empty before the last chunk.
	firstChunkAt time.Time // Zero until a chunk is delivered.
	lastChunkAt  time.Time
}

// AttemptHeaders starts an attempt and returns its headers.
func (e *exchange) AttemptHeaders(m *request.Message, info request.AttemptInfo) []request.Header {
	e.attempt = m.ID + "-" + strconv.Itoa(info.Attempt)
	e.resumeFrom = e.assembler.Begin(e.attempt)
	return append([]request.Header{
		{Name: chat.HeaderRequestID, Value: e.attempt},
		{Name: chat.HeaderResumeFrom, Value: strconv.Itoa(e.resumeFrom)},
		{Name: chat.HeaderPriority, Value: strconv.Itoa(e.class)},
		{Name: chat.HeaderPrefix, Value: strconv.FormatUint(m.Prefix, 10)},
	}, m.Headers...)
}

// ParseHead interprets the head of an engine's answer. The ID of the attempt is checked in the chunks, not in the head.
func (e *exchange) ParseHead(id string, status int, _ http.Header) request.AnswerHead {
	full := status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable
	return request.AnswerHead{ID: id, Sealed: true, NotRun: full}
}

// Events returns a reader of the chunks of an attempt.
func (e *exchange) Events(body io.Reader) request.EventReader {
	return &chunkReader{exchange: e, body: body, in: chat.NewReader(body)}
}

// chunkReader reads the chunks of one attempt and returns those that continue the answer, in order.
type chunkReader struct {
	exchange *exchange
	body     io.Reader
	in       *chat.Reader
	received int            // Chunks read so far.
	ready    []answer.Chunk // In order, not yet returned by Next.
}

// Next returns the next chunk of the answer as an event for the caller, or io.EOF once the answer is complete.
func (r *chunkReader) Next() (request.Event, error) {
	e := r.exchange
	for len(r.ready) == 0 {
		if e.assembler.Complete() {
			r.drain()
			return request.Event{}, io.EOF
		}
		if err := r.readChunk(); err != nil {
			return request.Event{}, err
		}
	}
	c := r.ready[0]
	r.ready = r.ready[1:]
	return e.newEvent(time.Now(), c)
}

// readChunk reads one chunk and stores in ready the chunks that can be delivered.
func (r *chunkReader) readChunk() error {
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
		if e.resumeFrom > 0 {
			return errors.Wrap(request.ErrInvalidStream, "the endpoint cannot resume an answer")
		}
		part.Attempt = e.attempt
		part.Sequence = r.received
	}
	r.received++
	r.ready, err = e.assembler.Accept(part)
	if err != nil {
		return errors.Wrap(request.ErrInvalidStream, err.Error())
	}
	if c.Usage != nil && len(r.ready) > 0 {
		e.usage = *c.Usage
	}
	return nil
}

// drain reads the rest of the body after a complete answer, so that the connection can be reused.
//
// If the answer was truncated at its output limit, the endpoint may still be
// generating output. The rest is left unread, so that the connection is closed
// and the endpoint stops.
func (r *chunkReader) drain() {
	const maxDrainBytes = 4 << 10
	if !r.exchange.assembler.Truncated() {
		_, _ = io.CopyN(io.Discard, r.body, maxDrainBytes)
	}
}

// newEvent records a chunk as delivered and returns its event, encoded if the caller receives a stream.
func (e *exchange) newEvent(now time.Time, c answer.Chunk) (request.Event, error) {
	if e.firstChunkAt.IsZero() {
		e.firstChunkAt = now
	}
	e.lastChunkAt = now
	e.finish = c.Finish
	if e.keepContent {
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

// cost returns the tokens to bill: the prompt and one token for each delivered chunk, or 0 if no chunk was delivered.
//
// The prompt tokens are those that the endpoint reported, but at most
// PromptBound, or PromptBound if it reported none.
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

// billedUsage returns the usage to report to the caller, which equals its bill.
func (e *exchange) billedUsage() chat.Usage {
	if e.homeUsage != nil {
		return *e.homeUsage
	}
	total := e.cost(request.Usage{})
	output := int64(e.assembler.Next())
	return chat.Usage{PromptTokens: total - output, CompletionTokens: output, TotalTokens: total}
}
