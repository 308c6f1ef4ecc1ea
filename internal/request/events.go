package request

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEvent is the maximum size of an event in bytes, the blank lines before it included.
const maxEvent = 1 << 20

// SSEReader splits a stream into server-sent events. It implements EventReader.
type SSEReader struct {
	in *bufio.Reader
}

// NewSSEReader returns an SSEReader that reads from body.
func NewSSEReader(body io.Reader) *SSEReader {
	return &SSEReader{in: bufio.NewReaderSize(body, 2<<10)}
}

// Next returns the next complete event, or io.EOF if the stream ended after a complete event.
func (r *SSEReader) Next() (Event, error) {
	e := Event{Comment: true} // Until a line is a field.
	hasText := false          // The event has a line that is not blank.
	partial := false          // The last slice ended within a line.
	for {
		line, err := r.in.ReadSlice('\n')
		e.Raw = append(e.Raw, line...)
		continued := partial
		if !continued && isField(line) {
			e.Comment = false
		}
		partial = errors.Is(err, bufio.ErrBufferFull)
		switch {
		case len(e.Raw) > maxEvent:
			return e, errors.Newf("event exceeds %d bytes", maxEvent)
		case partial:
			hasText = true
			continue
		case errors.Is(err, io.EOF) && (hasText || len(bytes.TrimSpace(line)) > 0):
			return e, io.ErrUnexpectedEOF
		case err != nil:
			return e, err
		}
		if continued {
			continue // The rest of a line longer than the buffer, which is no ID.
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			if !hasText {
				continue // Extra blank lines between events become part of the next event.
			}
			return e, nil
		}
		hasText = true
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			e.ID = eventID(bytes.TrimSpace(value))
		}
	}
}

// isField reports whether a line of a stream, or the beginning of one, is neither blank nor a comment.
func isField(line []byte) bool {
	return len(line) > 0 && line[0] != ':' && line[0] != '\r' && line[0] != '\n'
}

// eventID returns the value of an id field, or an empty string if it is not a number.
func eventID(value []byte) string {
	id := string(value)
	if _, err := strconv.ParseUint(id, 10, 64); err != nil {
		return ""
	}
	return id
}

// checkOrder returns an error if an event cannot follow those that the caller has.
//
// The IDs of a stream increase, whichever endpoints send its parts. An event without an ID in a stream whose events have IDs
// is no part of it; it may be the text of an error.
func (r *run) checkOrder(e Event) error {
	if e.Comment || r.lastEventID == "" {
		return nil
	}
	if e.ID == "" {
		return errors.Wrap(ErrInvalidStream, "event without an ID")
	}
	last, err := strconv.ParseUint(r.lastEventID, 10, 64)
	if err != nil {
		return nil // The caller named this ID; it cannot be compared.
	}
	id, err := strconv.ParseUint(e.ID, 10, 64)
	if err != nil || id <= last {
		return errors.Wrapf(ErrInvalidStream, "event %s after event %s", e.ID, r.lastEventID)
	}
	return nil
}
