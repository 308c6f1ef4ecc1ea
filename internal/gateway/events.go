package gateway

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// event is one event of a stream with the blank line that ends it.
type event struct {
	raw []byte
	id  string
}

// maxEvent bounds an event in bytes.
const maxEvent = 1 << 20

// eventReader cuts a stream into whole events.
type eventReader struct {
	in *bufio.Reader
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{in: bufio.NewReaderSize(body, 2<<10)}
}

// next returns the next whole event; io.EOF tells that the stream ended after a whole one.
func (r *eventReader) next() (event, error) {
	var e event
	for {
		line, err := r.in.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(e.raw) > maxEvent {
				return e, errors.Newf("an event exceeds %d bytes", maxEvent)
			}
			continue
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(e.raw)) > 0:
			return e, io.ErrUnexpectedEOF
		case err != nil:
			return e, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			if len(bytes.TrimSpace(e.raw)) == 0 {
				continue // Blank lines between events go with the next one.
			}
			return e, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(value))
		}
	}
}
