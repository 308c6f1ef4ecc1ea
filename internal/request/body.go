package request

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// answerBody is the body of an answer; it records whether it was read to the end.
//
// In a stream, it reserves memory for events that turn out to be long, since an endpoint in trouble may send bytes that end no
// event on all its streams.
type answerBody struct {
	in  io.Reader
	eof bool

	memory   Memory // For long events; nil if the body is no stream or memory is not bounded.
	unended  int64  // Bytes since the last event was taken.
	reserved int64  // Bytes.
}

const (
	longEventBytes  = 2 * maxEvent           // Memory of an event that grows to its limit.
	eventMemoryWait = 100 * time.Millisecond // Short, because the stream may go on at another endpoint.
)

// boundEvents makes the body reserve memory for long events.
func (b *answerBody) boundEvents(m Memory) { b.memory = m }

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.memory != nil && b.reserved == 0 && b.unended > smallBodyBytes {
		if !b.memory.Reserve(longEventBytes, time.Now().Add(eventMemoryWait)) {
			return 0, errNoMemory
		}
		b.reserved = longEventBytes
	}
	n, err := b.in.Read(p)
	b.unended += int64(n)
	b.eof = b.eof || errors.Is(err, io.EOF)
	return n, err
}

// endEvent releases the memory of an event, since its bytes are written or of no use.
func (b *answerBody) endEvent() {
	if b.reserved > 0 {
		b.memory.Release(b.reserved)
	}
	b.reserved = 0
	b.unended = 0
}
