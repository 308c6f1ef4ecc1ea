package request

import (
	"bufio"
	"bytes"
	"io"

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
	var e Event
	hasText := false // The event has a line that is not blank.
	partial := false // The last slice ended within a line.
	for {
		line, err := r.in.ReadSlice('\n')
		e.Raw = append(e.Raw, line...)
		continued := partial
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
			e.ID = string(bytes.TrimSpace(value))
		}
	}
}
