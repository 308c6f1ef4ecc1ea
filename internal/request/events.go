package request

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// maxEvent is the maximum size of an event in bytes. It is checked only when a line exceeds the read buffer.
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
	for {
		line, err := r.in.ReadSlice('\n')
		e.Raw = append(e.Raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(e.Raw) > maxEvent {
				return e, errors.Newf("event exceeds %d bytes", maxEvent)
			}
			continue
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(e.Raw)) > 0:
			return e, io.ErrUnexpectedEOF
		case err != nil:
			return e, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			if len(bytes.TrimSpace(e.Raw)) == 0 {
				continue // Extra blank lines between events become part of the next event.
			}
			return e, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			e.ID = string(bytes.TrimSpace(value))
		}
	}
}
