package answer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/foxtaillanding/foxtaillanding/internal/proof"
)

func TestMain(m *testing.M) { proof.Main(m) }

// TestAnswerIsCompleteAndInOrder delivers chunks out of order, duplicated and mixed with those of other attempts, and cuts up to three attempts short.
func TestAnswerIsCompleteAndInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "chunks")
		answer := make([]Chunk, n)
		for i := range answer {
			answer[i] = Chunk{Sequence: i, Content: fmt.Sprintf("w%d", i)}
		}
		answer[n-1].Finish = "stop"
		var a Assembler
		var got []Chunk
		var stale []Chunk
		for attempt := 0; !a.Complete(); attempt++ {
			id := fmt.Sprintf("attempt-%d", attempt)
			from := a.Begin(id)
			require.Equal(t, len(got), from)
			pool := append([]Chunk{{Attempt: "foreign", Sequence: from, Content: "x", Finish: "stop"}}, stale...)
			for _, c := range answer[from:] {
				c.Attempt = id
				pool = append(pool, c, c)
			}
			delivered := rapid.Permutation(pool).Draw(t, "order")
			if attempt < 3 {
				delivered = delivered[:rapid.IntRange(0, len(delivered)).Draw(t, "cut")]
			}
			for _, c := range delivered {
				ready, err := a.Accept(c)
				require.NoError(t, err)
				got = append(got, ready...)
			}
			stale = delivered
		}
		require.Len(t, got, n)
		for i, c := range got {
			require.Equal(t, answer[i].Content, c.Content)
			require.Equal(t, answer[i].Finish, c.Finish)
		}
	})
}

func TestLimitTruncatesAnswer(t *testing.T) {
	a := Assembler{Limit: 2}
	a.Begin("x")
	first, err := a.Accept(Chunk{Attempt: "x", Sequence: 0})
	require.NoError(t, err)
	require.Empty(t, first[0].Finish)
	last, err := a.Accept(Chunk{Attempt: "x", Sequence: 1})
	require.NoError(t, err)
	require.Equal(t, FinishLength, last[0].Finish)
	require.True(t, a.Complete())
	require.True(t, a.Truncated())
}

func TestOutOfOrderChunksAreBounded(t *testing.T) {
	var a Assembler
	a.Begin("x")
	for i := 1; i <= MaxBuffered; i++ {
		_, err := a.Accept(Chunk{Attempt: "x", Sequence: i})
		require.NoError(t, err)
	}
	_, err := a.Accept(Chunk{Attempt: "x", Sequence: MaxBuffered + 1})
	require.ErrorIs(t, err, ErrGap)
}
