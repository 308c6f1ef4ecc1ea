package keyvalue_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
)

// awayStore fails every read while it is away.
type awayStore struct {
	keyvalue.Store

	away bool
}

func (s *awayStore) Get(_ context.Context, key string) (keyvalue.Entry, error) {
	if s.away {
		return keyvalue.Entry{Key: key}, keyvalue.ErrUnavailable
	}
	return keyvalue.Entry{Key: key, Version: 1}, nil
}

func TestCallsGoThroughAtOnceWhenTheStoreIsHeardAgain(t *testing.T) {
	store := &awayStore{away: true}
	g := keyvalue.NewGuarded(store, 1000, 1000)
	for range 10 {
		_, err := g.Get(context.Background(), "a")
		require.Error(t, err)
	}
	store.away = false
	_, err := g.Get(context.Background(), "a")
	require.ErrorIs(t, err, keyvalue.ErrUnavailable, "the breaker is open")
	g.Recovered()
	entry, err := g.Get(context.Background(), "a")
	require.NoError(t, err)
	require.EqualValues(t, 1, entry.Version)
}
