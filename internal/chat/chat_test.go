package chat

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/pkg/answer"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

func TestDecodeReportsReason(t *testing.T) {
	for _, c := range []struct {
		body string
		kind refusal.Kind
		text string
	}{
		{`{`, refusal.BadRequest, "EOF"},
		{`{"model":3}`, refusal.BadRequest, "model"},
		{`{"messages":[{"role":"user"}]}`, refusal.BadRequest, "model is missing"},
		{`{"model":"m","messages":[]}`, refusal.BadRequest, "messages is empty"},
		{`{"model":"m","messages":[{"content":"x"}]}`, refusal.BadRequest, "messages[0].role"},
		{`{"model":"m","messages":[{"role":"user"}],"n":4}`, refusal.BadRequest, `"n"`},
		{`{"model":"m","messages":[{"role":"user"}],"max_tokens":-1}`, refusal.BadRequest, "negative"},
		{`{"model":"m","messages":[{"role":"user"}],"max_tokens":101}`, refusal.TooLarge, "100"},
		{`{"model":"m","messages":[{"role":"user"}]} {}`, refusal.BadRequest, "after"},
	} {
		_, err := Decode([]byte(c.body), 100)
		require.NotNil(t, err, c.body)
		require.Equal(t, c.kind, err.Kind, c.body)
		require.Contains(t, err.Error(), c.text)
	}
	r, err := Decode([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}]}`), 100)
	require.Nil(t, err)
	require.EqualValues(t, 100, r.MaxTokens)
}

func TestStreamRoundTrip(t *testing.T) {
	var b bytes.Buffer
	sent := answer.Chunk{Attempt: "a", Sequence: 3, Content: "кағаз", Finish: "stop"}
	require.NoError(t, WriteEvent(&b, NewChunk("a", "m", sent)))
	require.NoError(t, WriteDone(&b))
	r := NewReader(&b)
	c, err := r.Next()
	require.NoError(t, err)
	require.Equal(t, sent, c.Part())
	_, err = r.Next()
	require.ErrorIs(t, err, ErrDone)
	_, err = NewReader(strings.NewReader("data: {}\n")).Next()
	require.NoError(t, err)
	_, err = NewReader(strings.NewReader("")).Next()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":5}`))
	f.Add([]byte(`{"model":"m","messages":null,"stop":["a"]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := Decode(body, 100)
		if err == nil {
			require.LessOrEqual(t, r.MaxTokens, int64(100))
			require.Positive(t, r.PromptBound())
		}
		_ = r.Prefix()
	})
}

func FuzzReader(f *testing.F) {
	f.Add([]byte("data: {\"id\":\"a\",\"choices\":[{\"delta\":null}]}\n\ndata: [DONE]\n"))
	f.Add([]byte("event: x\ndata: 3\n"))
	f.Fuzz(func(_ *testing.T, stream []byte) {
		r := NewReader(bytes.NewReader(stream))
		for {
			c, err := r.Next()
			if err != nil {
				return
			}
			_ = c.Part()
		}
	})
}
