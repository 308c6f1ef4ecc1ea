package request

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// maxEvent bounds an event in bytes.
const maxEvent = 1 << 20

// Cutter cuts server-sent events out of a stream; it implements EventReader.
type Cutter struct {
	in *bufio.Reader
}

// NewCutter returns a Cutter of a body.
func NewCutter(body io.Reader) *Cutter {
	return &Cutter{in: bufio.NewReaderSize(body, 2<<10)}
}

// Next returns the next whole event; io.EOF tells that the stream ended after a whole one.
func (r *Cutter) Next() (Event, error) {
	var e Event
	for {
		line, err := r.in.ReadSlice('\n')
		e.Raw = append(e.Raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(e.Raw) > maxEvent {
				return e, errors.Newf("an event exceeds %d bytes", maxEvent)
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
				continue // Blank lines between events go with the next one.
			}
			return e, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			e.ID = string(bytes.TrimSpace(value))
		}
	}
}
