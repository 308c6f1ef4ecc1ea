package connection

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// TestConnectionIsNewToItsRequest returns connections to the pool that have carried requests, and obtains one for requests
// with the same and with other IDs.
func TestConnectionIsNewToItsRequest(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	var pool Pool
	now := time.Now()
	get := func(id string) *Conn {
		conn, err := pool.Get(now, ln.Addr().String(), Terms{NewTo: id})
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		conn.Carry(id)
		return conn
	}
	first := get("a")
	pool.Put(now, first, 0)
	second := get("a")
	require.NotSame(t, first, second)
	pool.Put(now, second, 0)
	require.Same(t, second, get("b"), "the one used last")
	require.Same(t, first, get("b"), "second carries b now")
	pool.Put(now, first, 0)
	require.NotSame(t, first, get("b"))
	require.Same(t, first, get("c"))
}

// TestConnectionIsReplacedWhenItHasCarriedManyRequests limits the IDs that a connection remembers.
func TestConnectionIsReplacedWhenItHasCarriedManyRequests(t *testing.T) {
	var pool Pool
	conn, _ := connect(t, &pool)
	now := time.Now()
	for n := range maxCarried {
		pool.Put(now, conn, 0)
		id := fmt.Sprint(n)
		again, err := pool.Get(now, conn.Address(), Terms{NewTo: id})
		require.NoError(t, err)
		require.Same(t, conn, again)
		conn.Carry(id)
	}
	pool.Put(now, conn, 0)
	require.Empty(t, pool.idle[conn.Address()])
}

// TestDialEndsWithTheRequest guards against requests that a stopping router left without an answer: it opened a connection for
// longer than the request had, beyond the end of the process.
func TestDialEndsWithTheRequest(t *testing.T) {
	address := fullListener(t)
	var pool Pool
	now := time.Now()
	_, err := pool.Get(now, address, Terms{OpenBy: now.Add(200 * time.Millisecond)})
	require.True(t, errors.Is(err, ErrNotSent), "%v", err)
	require.Less(t, time.Since(now), 500*time.Millisecond)
	now = time.Now()
	_, err = pool.Get(now, address, Terms{OpenBy: now.Add(-time.Second)})
	require.True(t, errors.Is(err, ErrNotSent), "%v", err)
	require.Less(t, time.Since(now), 500*time.Millisecond)
}

// fullListener returns the address of a listener that accepts no more connections: opening one hangs.
func fullListener(t *testing.T) string {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, unix.Listen(fd, 0))
	bound, err := unix.Getsockname(fd)
	require.NoError(t, err)
	address := fmt.Sprint("127.0.0.1:", bound.(*unix.SockaddrInet4).Port)
	for {
		conn, err := net.DialTimeout("tcp4", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
}
