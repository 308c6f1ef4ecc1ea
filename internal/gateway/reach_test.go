package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestALostStoreEndsTheWatchesThatWait(t *testing.T) {
	var r reach
	waiting := r.context()
	require.False(t, r.lost(began))
	r.lose()
	require.Error(t, waiting.Err())
	require.NoError(t, r.context().Err(), "the next watch is not ended before it begins")
	require.True(t, r.lost(began))
	back := r.returned()
	r.regain(began)
	<-back
	require.Nil(t, r.returned())
}

// TestHomesDrawFirstAfterAnOutage keeps 78 routers from writing the records of all budgets at once when the store is back.
func TestHomesDrawFirstAfterAnOutage(t *testing.T) {
	var r reach
	r.lose()
	r.regain(began)
	require.True(t, r.lost(began.Add(othersReturn/2)))
	require.False(t, r.lost(began.Add(othersReturn)))
	r.regain(began.Add(time.Minute))
	require.False(t, r.lost(began.Add(time.Minute)), "an answer while the store is reachable is no return")
}
