package keyvalue_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
)

// unreliableStore fails every read while it is down.
type unreliableStore struct {
	keyvalue.Store

	down bool
}

func (s *unreliableStore) Get(_ context.Context, key string) (keyvalue.Entry, error) {
	if s.down {
		return keyvalue.Entry{Key: key}, keyvalue.ErrUnavailable
	}
	return keyvalue.Entry{Key: key, Version: 1}, nil
}

func TestResetBreakerAdmitsCallsImmediately(t *testing.T) {
	store := &unreliableStore{down: true}
	g := keyvalue.NewGuardedStore(store, 1000, 1000)
	for range 10 {
		_, err := g.Get(context.Background(), "a")
		require.Error(t, err)
	}
	store.down = false
	_, err := g.Get(context.Background(), "a")
	require.ErrorIs(t, err, keyvalue.ErrUnavailable, "the breaker must still be open")
	g.ResetBreaker()
	entry, err := g.Get(context.Background(), "a")
	require.NoError(t, err)
	require.EqualValues(t, 1, entry.Version)
}
