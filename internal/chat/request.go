package chat

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// Path is the path to which model requests are posted.
const Path = "/v1/chat/completions"

// Headers of model requests.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderResumeFrom     = "X-Resume-From" // Sequence number of the first chunk to send.
	HeaderPriority       = "X-Priority"    // 0 is the highest priority.
)

// Request is a model request.
//
// A request with an unknown field is refused, since ignoring the field would change the answer.
type Request struct {
	Model       string    `json:"model"`
	Messages    []Message `json:"messages"`
	MaxTokens   int64     `json:"max_tokens,omitempty"`
	Stream      bool      `json:"stream,omitempty"`
	Temperature *float64  `json:"temperature,omitempty"`
	TopP        *float64  `json:"top_p,omitempty"`
	Seed        *int64    `json:"seed,omitempty"`
	Stop        []string  `json:"stop,omitempty"`
	User        string    `json:"user,omitempty"`
}

// Message is one turn of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Decode decodes a request. It refuses a request that is malformed or whose output limit exceeds maxTokens; a missing
// output limit becomes maxTokens.
func Decode(body []byte, maxTokens int64) (Request, *refusal.Error) {
	var r Request
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&r); err != nil {
		return r, refusal.New(refusal.BadRequest, err.Error())
	}
	if d.More() {
		return r, refusal.New(refusal.BadRequest, "text after the JSON object")
	}
	if r.MaxTokens == 0 {
		r.MaxTokens = maxTokens
	}
	return r, r.check(maxTokens)
}

func (r Request) check(maxTokens int64) *refusal.Error {
	switch {
	case r.Model == "":
		return refusal.New(refusal.BadRequest, "model is missing")
	case len(r.Messages) == 0:
		return refusal.New(refusal.BadRequest, "messages is empty")
	case r.MaxTokens < 0:
		return refusal.New(refusal.BadRequest, "max_tokens is negative")
	case r.MaxTokens > maxTokens:
		return refusal.New(refusal.TooLarge, fmt.Sprintf("max_tokens is above the limit of %d", maxTokens))
	}
	for i, m := range r.Messages {
		if m.Role == "" {
			return refusal.New(refusal.BadRequest, fmt.Sprintf("messages[%d].role is missing", i))
		}
	}
	return nil
}

// messageTokens is an upper bound of the tokens that a message adds to its text.
const messageTokens = 8

// PromptBound returns an upper bound of the tokens of the prompt: one per byte, since no token is shorter, and
// messageTokens per message.
func (r Request) PromptBound() int64 {
	var n int64
	for _, m := range r.Messages {
		n += int64(len(m.Content)+len(m.Role)) + messageTokens
	}
	return n
}

// prefixBytes is the length of the beginning of a prompt that Prefix hashes, which engines are likely to cache as a unit.
const prefixBytes = 1024

// Prefix returns the hash of the model and of the beginning of the prompt.
func (r Request) Prefix() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Model)
	remaining := prefixBytes
	for _, m := range r.Messages {
		text := m.Content[:min(remaining, len(m.Content))]
		_, _ = h.WriteString(m.Role)
		_, _ = h.WriteString(text)
		remaining -= len(text)
	}
	return h.Sum64()
}
