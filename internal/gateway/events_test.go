package gateway

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

func TestEventsAreCutWhole(t *testing.T) {
	const text = "id: 1\ndata: a\n\n\nid: 2\r\ndata: b\r\n\r\ndata: no id\n\n"
	for _, in := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
		r := newEventReader(in)
		var ids []string
		var all strings.Builder
		for {
			e, err := r.next()
			if err == io.EOF {
				break
			}
			require.NoError(t, err)
			ids = append(ids, e.id)
			all.Write(e.raw)
		}
		require.Equal(t, []string{"1", "2", ""}, ids)
		require.Equal(t, text, all.String(), "no byte is lost")
	}
}

func TestABrokenEventIsNoEnd(t *testing.T) {
	for _, text := range []string{"id: 1\n", "id: 1\ndata: x", "id: 1\ndata: x\n\nid: 2\nda"} {
		r := newEventReader(strings.NewReader(text))
		var err error
		for err == nil {
			_, err = r.next()
		}
		require.ErrorIs(t, err, io.ErrUnexpectedEOF, text)
	}
	_, err := newEventReader(iotest.ErrReader(io.ErrClosedPipe)).next()
	require.ErrorIs(t, err, io.ErrClosedPipe)
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Add("\n\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		r := newEventReader(strings.NewReader(text))
		n := 0
		for {
			e, err := r.next()
			if err != nil {
				break
			}
			n += len(e.raw)
		}
		require.LessOrEqual(t, n, len(text))
	})
}

func TestSettingsNameTheFault(t *testing.T) {
	const good = "VM = \"v\"\n[Listen]\nFront = \"1.2.3.4:1\"\nPeer = \"1.2.3.4:2\"\n[Store]\nAddress = \"1.2.3.4:3\"\n"
	_, err := ReadSettings("f", []byte(good))
	require.NoError(t, err)
	for text, place := range map[string]string{
		strings.Replace(good, "VM", "Vm2", 1):          "Vm2",
		strings.Replace(good, "1.2.3.4:2", "here", 1):  "Listen.Peer",
		strings.Replace(good, "[Store]", "[Store", 1):  "f:5",
		strings.Replace(good, "\"v\"", "\"\"", 1):      "VM",
		good + "[Retry]\nRatio = -1.0\n":               "Retry",
		good + "[Memory]\nLimitMegabytes = \"much\"\n": "LimitMegabytes",
	} {
		_, err := ReadSettings("f", []byte(text))
		require.ErrorContains(t, err, place, text)
	}
}
