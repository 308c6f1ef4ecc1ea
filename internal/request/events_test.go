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
