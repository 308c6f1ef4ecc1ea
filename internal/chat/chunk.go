package chat

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/foxtaillanding/foxtaillanding/pkg/answer"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// Chunk is one server-sent event of a streamed answer.
type Chunk struct {
	ID       string          `json:"id"`
	Object   string          `json:"object"`
	Model    string          `json:"model,omitempty"`
	Sequence *int            `json:"sequence,omitempty"` // Nil from engines that do not number their chunks.
	Choices  []Choice        `json:"choices"`
	Usage    *Usage          `json:"usage,omitempty"`
	Error    *refusal.Detail `json:"error,omitempty"` // Replaces the rest of an answer that cannot be completed.
}

// Choice is the content of a chunk, in Delta, or of a complete answer, in Message.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Usage counts the tokens of an answer.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// Completion is a complete answer, sent if the request does not ask for a stream.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// NewChunk returns the wire form of a chunk.
func NewChunk(id, model string, c answer.Chunk) Chunk {
	choice := Choice{Delta: &Message{Role: "assistant", Content: c.Content}}
	if c.Finish != "" {
		choice.FinishReason = &c.Finish
	}
	return Chunk{ID: id, Object: "chat.completion.chunk", Model: model, Sequence: &c.Sequence, Choices: []Choice{choice}}
}

// NewCompletion returns the wire form of a complete answer.
func NewCompletion(id, model, content, finish string, usage Usage) Completion {
	choice := Choice{Message: &Message{Role: "assistant", Content: content}, FinishReason: &finish}
	return Completion{ID: id, Object: "chat.completion", Model: model, Choices: []Choice{choice}, Usage: usage}
}

// Unnumbered is the sequence number that Part returns for a chunk without one.
const Unnumbered = -1

// Part returns the part of the answer that the chunk carries.
func (c Chunk) Part() answer.Chunk {
	part := answer.Chunk{Attempt: c.ID, Sequence: Unnumbered}
	if c.Sequence != nil {
		part.Sequence = *c.Sequence
	}
	if len(c.Choices) == 0 {
		return part
	}
	if delta := c.Choices[0].Delta; delta != nil {
		part.Content = delta.Content
	}
	if finish := c.Choices[0].FinishReason; finish != nil {
		part.Finish = *finish
	}
	return part
}

var (
	dataPrefix = []byte("data:")
	doneData   = []byte("[DONE]")
)

// WriteEvent writes a chunk as one server-sent event.
func WriteEvent(w io.Writer, c Chunk) error {
	data, err := json.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "encoding a chunk")
	}
	event := make([]byte, 0, len(data)+8)
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	_, err = w.Write(event)
	return err
}

// WriteDone writes the end marker of a stream.
func WriteDone(w io.Writer) error {
	_, err := io.WriteString(w, "data: [DONE]\n\n")
	return err
}

// MaxEvent is the maximum length in bytes of a line of a stream.
const MaxEvent = 1 << 20

// Sentinel errors returned by Reader.Next.
var (
	ErrDone      = errors.New("end marker of the stream")
	ErrMalformed = errors.New("malformed stream")
)

// Reader reads the server-sent events of a stream.
type Reader struct {
	scanner *bufio.Scanner
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	const initialBuffer = 4096
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, initialBuffer), MaxEvent)
	return &Reader{scanner: s}
}

// Next returns the next chunk. At the end marker it returns ErrDone, and if the stream ends without one,
// io.ErrUnexpectedEOF.
func (r *Reader) Next() (Chunk, error) {
	for r.scanner.Scan() {
		data, ok := bytes.CutPrefix(bytes.TrimSpace(r.scanner.Bytes()), dataPrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneData) {
			return Chunk{}, ErrDone
		}
		var c Chunk
		if err := json.Unmarshal(data, &c); err != nil {
			return Chunk{}, errors.Wrapf(ErrMalformed, "decoding a chunk: %v", err)
		}
		return c, nil
	}
	if err := r.scanner.Err(); err != nil {
		return Chunk{}, errors.Wrap(err, "reading a stream")
	}
	return Chunk{}, io.ErrUnexpectedEOF
}
