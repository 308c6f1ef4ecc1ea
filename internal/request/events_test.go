package request

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

func TestEventsAreReadCompletely(t *testing.T) {
	const text = "id: 1\ndata: a\n\n\nid: 2\r\ndata: b\r\n\r\ndata: no id\n\n"
	for _, in := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
		r := NewSSEReader(in)
		var ids []string
		var all strings.Builder
		for {
			e, err := r.Next()
			if err == io.EOF {
				break
			}
			require.NoError(t, err)
			ids = append(ids, e.ID)
			all.Write(e.Raw)
		}
		require.Equal(t, []string{"1", "2", ""}, ids)
		require.Equal(t, text, all.String(), "no byte is lost")
	}
}

func TestTruncatedEventIsUnexpectedEOF(t *testing.T) {
	for _, text := range []string{"id: 1\n", "id: 1\ndata: x", "id: 1\ndata: x\n\nid: 2\nda"} {
		r := NewSSEReader(strings.NewReader(text))
		var err error
		for err == nil {
			_, err = r.Next()
		}
		require.ErrorIs(t, err, io.ErrUnexpectedEOF, text)
	}
	_, err := NewSSEReader(iotest.ErrReader(io.ErrClosedPipe)).Next()
	require.ErrorIs(t, err, io.ErrClosedPipe)
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Add("\n\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		r := NewSSEReader(strings.NewReader(text))
		n := 0
		for {
			e, err := r.Next()
			if err != nil {
				break
			}
			n += len(e.Raw)
		}
		require.LessOrEqual(t, n, len(text))
	})
}

// TestLongLinesDoNotSplitEvents guards against an event that ended early because one of its lines filled the read buffer,
// so that the line feed left over looked like the blank line at its end.
func TestLongLinesDoNotSplitEvents(t *testing.T) {
	for length := 2040; length < 2060; length++ {
		text := "data: " + strings.Repeat("x", length) + "\nid: 7\n\n"
		e, err := NewSSEReader(strings.NewReader(text)).Next()
		require.NoError(t, err)
		require.Equal(t, text, string(e.Raw))
		require.Equal(t, "7", e.ID)
	}
}

func TestEventsWithoutEndAreRejected(t *testing.T) {
	for _, text := range []string{"x", "\n", "data: x\n"} {
		in := strings.NewReader(strings.Repeat(text, 2*maxEvent/len(text)))
		_, err := NewSSEReader(in).Next()
		require.ErrorContains(t, err, "exceeds", text)
	}
}
