package gateway

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLongListsOfAddressesAreSampled(t *testing.T) {
	var list []string
	for i := range 200 {
		list = append(list, fmt.Sprint(i))
	}
	seen := map[string]bool{}
	for range 50 {
		got := sample(append([]string(nil), list...))
		require.Len(t, got, maxAddresses)
		for _, a := range got {
			seen[a] = true
		}
	}
	require.Len(t, seen, 200, "every address is selected at some point")
	require.Equal(t, list[:3], sample(list[:3]))
}
