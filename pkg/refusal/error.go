package refusal

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Error is a refusal of one request.
type Error struct {
	Kind   Kind
	Detail string        // What failed, such as a path or a name; never contains a key or a body.
	After  time.Duration // Overrides the RetryAfter of the kind's Answer if positive.
}

// New returns a refusal of kind k; detail says what failed.
func New(k Kind, detail string) *Error { return &Error{Kind: k, Detail: detail} }

// Error returns the name of the kind, its message and the detail.
func (e *Error) Error() string {
	message := e.Kind.String() + ": " + e.Kind.Answer().Message
	if e.Detail != "" {
		message += ": " + e.Detail
	}
	return message
}

// RetryAfter returns how long the caller should wait before a retry, or zero if a retry cannot help.
func (e *Error) RetryAfter() time.Duration {
	if e.After > 0 {
		return e.After
	}
	return e.Kind.Answer().RetryAfter
}

// From returns the refusal that err wraps, or an Internal refusal if it wraps none.
func From(err error) *Error {
	var refused *Error
	if errors.As(err, &refused) {
		return refused
	}
	return New(Internal, err.Error())
}

// Body is the JSON form of a refusal.
type Body struct {
	Error Detail
}

// Detail describes a refusal within its Body.
type Detail struct {
	Kind              string
	Ran               string
	Message           string
	RetryAfterSeconds int64 `json:",omitempty"`
}

// Body returns the JSON form of e.
func (e *Error) Body() Body {
	return Body{Error: Detail{
		Kind:              e.Kind.String(),
		Ran:               e.Kind.Answer().Ran.String(),
		Message:           e.Error(),
		RetryAfterSeconds: Seconds(e.RetryAfter()),
	}}
}

// JSON returns the Body of e in JSON.
func (e *Error) JSON() []byte {
	body, err := json.Marshal(e.Body())
	if err != nil {
		return []byte(`{"Error":{"Kind":"Internal","Ran":"Unknown"}}`)
	}
	return body
}

// Parse returns the refusal encoded in body, or an Internal refusal if body is not the JSON form of one.
func Parse(body []byte) *Error {
	var b Body
	if err := json.Unmarshal(body, &b); err != nil {
		return New(Internal, "the refusal is not readable")
	}
	k, ok := ParseKind(b.Error.Kind)
	if !ok {
		return New(Internal, "the refusal has an unknown kind")
	}
	detail := strings.TrimPrefix(b.Error.Message, New(k, "").Error())
	detail = strings.TrimPrefix(detail, ": ")
	return &Error{Kind: k, Detail: detail, After: time.Duration(b.Error.RetryAfterSeconds) * time.Second}
}

// Seconds rounds d up to whole seconds, the unit of the Retry-After header.
func Seconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}
