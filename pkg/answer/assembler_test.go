package answer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/foxtaillanding/foxtaillanding/internal/proof"
)

func TestMain(m *testing.M) { proof.Main(m) }

// TestWholeAnswerInOrder sends chunks late, doubled, out of order, foreign and cut short over several attempts.
func TestWholeAnswerInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "chunks")
		answer := make([]Chunk, n)
		for i := range answer {
			answer[i] = Chunk{Sequence: i, Content: fmt.Sprintf("w%d", i)}
		}
		answer[n-1].Finish = "stop"
		var a Assembler
		var got []Chunk
		var old []Chunk
		for attempt := 0; !a.Whole(); attempt++ {
			id := fmt.Sprintf("attempt-%d", attempt)
			from := a.Begin(id)
			require.Equal(t, len(got), from)
			bag := append([]Chunk{{Attempt: "foreign", Sequence: from, Content: "x", Finish: "stop"}}, old...)
			for _, c := range answer[from:] {
				c.Attempt = id
				bag = append(bag, c, c)
			}
			sent := rapid.Permutation(bag).Draw(t, "order")
			if attempt < 3 {
				sent = sent[:rapid.IntRange(0, len(sent)).Draw(t, "cut")]
			}
			for _, c := range sent {
				ready, err := a.Take(c)
				require.NoError(t, err)
				got = append(got, ready...)
			}
			old = sent
		}
		require.Len(t, got, n)
		for i, c := range got {
			require.Equal(t, answer[i].Content, c.Content)
			require.Equal(t, answer[i].Finish, c.Finish)
		}
	})
}

func TestLimitEndsTheAnswer(t *testing.T) {
	a := Assembler{Limit: 2}
	a.Begin("x")
	first, err := a.Take(Chunk{Attempt: "x", Sequence: 0})
	require.NoError(t, err)
	require.Empty(t, first[0].Finish)
	last, err := a.Take(Chunk{Attempt: "x", Sequence: 1})
	require.NoError(t, err)
	require.Equal(t, FinishLength, last[0].Finish)
	require.True(t, a.Whole())
	require.True(t, a.Capped())
}

func TestGapIsBounded(t *testing.T) {
	var a Assembler
	a.Begin("x")
	for i := 1; i <= MaxHeld; i++ {
		_, err := a.Take(Chunk{Attempt: "x", Sequence: i})
		require.NoError(t, err)
	}
	_, err := a.Take(Chunk{Attempt: "x", Sequence: MaxHeld + 1})
	require.ErrorIs(t, err, ErrGap)
}
