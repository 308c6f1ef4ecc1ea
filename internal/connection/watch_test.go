package connection

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLeftSeesACloseBeforeTheWatchDoes checks the state of a connection whose watch was never scheduled.
func TestLeftSeesACloseBeforeTheWatchDoes(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	caller, err := net.Dial("tcp4", ln.Addr().String())
	require.NoError(t, err)
	conn, err := ln.Accept()
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	watch := &CallerWatch{conn: conn}
	require.False(t, watch.Left())
	_, err = caller.Write([]byte("x"))
	require.NoError(t, err)
	require.Never(t, watch.Left, 50*time.Millisecond, 10*time.Millisecond, "bytes of the next request are no close")
	one := make([]byte, 1)
	_, err = conn.Read(one)
	require.NoError(t, err)
	require.NoError(t, caller.Close())
	require.Eventually(t, watch.Left, time.Second, time.Millisecond)
}
