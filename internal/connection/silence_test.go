package connection

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// dropIncoming makes the kernel drop all packets for a connection, as if its host were silent, until restore is called.
func dropIncoming(t *testing.T, conn net.Conn) (restore func()) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	dropAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K} // Returns the length to keep: zero.
	program := unix.SockFprog{Len: 1, Filter: &dropAll}
	var attachErr error
	require.NoError(t, raw.Control(func(fd uintptr) {
		attachErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	}))
	require.NoError(t, attachErr)
	return func() {
		_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) })
	}
}

// connect returns both ends of a connection of the pool.
func connect(t *testing.T, pool *Pool) (conn *Conn, peer net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	conn, err = pool.Get(time.Now(), ln.Addr().String(), Terms{})
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	peer, err = ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = peer.Close() })
	return conn, peer
}

// silence is how long a sound peer is silent in these tests. After a silence of this length the next retransmission comes
// 3 s after the first transmission.
const silence = 2200 * time.Millisecond

// TestRequestSurvivesASilentHost sends a request to a host that is silent for a while and then answers.
func TestRequestSurvivesASilentHost(t *testing.T) {
	t.Parallel()
	conn, peer := connect(t, &Pool{})
	restore := dropIncoming(t, peer)
	_, err := io.WriteString(conn, "request")
	require.NoError(t, err)
	time.AfterFunc(silence, restore)
	go func() {
		_, _ = io.ReadFull(peer, make([]byte, len("request")))
		_, _ = io.WriteString(peer, "answer")
	}()
	answer := make([]byte, len("answer"))
	_, err = io.ReadFull(conn, answer)
	require.NoError(t, err)
	require.Equal(t, "answer", string(answer))
}

// TestLongRequestSurvivesASilentProcess sends a request that is longer than what its peer's kernel takes, while the peer's
// process reads nothing for a while.
func TestLongRequestSurvivesASilentProcess(t *testing.T) {
	t.Parallel()
	conn, peer := connect(t, &Pool{})
	request := make([]byte, 16<<20)
	time.AfterFunc(silence, func() {
		_, _ = io.CopyN(io.Discard, peer, int64(len(request)))
		_, _ = io.WriteString(peer, "answer")
	})
	require.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	_, err := conn.Write(request)
	require.NoError(t, err)
	answer := make([]byte, len("answer"))
	_, err = io.ReadFull(conn, answer)
	require.NoError(t, err)
}

// TestProbedConnectionSurvivesASilentHost waits for an answer on a connection with probes, as a watch of the store does,
// from a host that does not answer probes for a while.
func TestProbedConnectionSurvivesASilentHost(t *testing.T) {
	t.Parallel()
	conn, peer := connect(t, &Pool{ProbeAfter: time.Second})
	_, err := io.WriteString(conn, "request")
	require.NoError(t, err)
	_, err = io.ReadFull(peer, make([]byte, len("request")))
	require.NoError(t, err)
	restore := dropIncoming(t, peer)
	time.AfterFunc(silence, func() {
		restore()
		_, _ = io.WriteString(peer, "answer")
	})
	answer := make([]byte, len("answer"))
	_, err = io.ReadFull(conn, answer)
	require.NoError(t, err)
}

// TestProbedConnectionSurvivesALostProbe waits for an answer from a host that misses one probe.
func TestProbedConnectionSurvivesALostProbe(t *testing.T) {
	t.Parallel()
	conn, peer := connect(t, &Pool{ProbeAfter: time.Second})
	restore := dropIncoming(t, peer)
	time.AfterFunc(1500*time.Millisecond, restore) // The probe after one second is lost, the next one is answered.
	requireOpenAfter(t, conn, 5*time.Second)
}

// TestProbesKeepAnIdleConnection waits on a connection on which nothing comes but answers to its probes.
func TestProbesKeepAnIdleConnection(t *testing.T) {
	t.Parallel()
	conn, _ := connect(t, &Pool{ProbeAfter: time.Second})
	requireOpenAfter(t, conn, 5*time.Second)
}

// requireOpenAfter checks that a connection without incoming bytes is still open after some time.
func requireOpenAfter(t *testing.T, conn *Conn, wait time.Duration) {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(wait)))
	_, err := conn.Reader.ReadByte()
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// TestProbesAreSetAsMeant guards against a dialer that ignores the configuration of the probes.
func TestProbesAreSetAsMeant(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		probeAfter          time.Duration
		enabled, idle, give int
	}{
		{0, 0, 0, 5000},
		{time.Second, 1, 1, 3000},
	} {
		conn, _ := connect(t, &Pool{ProbeAfter: c.probeAfter})
		require.Equal(t, c.enabled, option(t, conn, unix.SOL_SOCKET, unix.SO_KEEPALIVE))
		if c.enabled == 1 {
			require.Equal(t, c.idle, option(t, conn, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE))
			require.Equal(t, c.idle, option(t, conn, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL))
		}
		require.Equal(t, c.give, option(t, conn, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT))
	}
}

// option returns the value of a socket option.
func option(t *testing.T, conn *Conn, level, name int) int {
	t.Helper()
	raw, err := conn.Conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	value := 0
	require.NoError(t, raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), level, name) }))
	require.NoError(t, err)
	return value
}

// TestProbesEndAConnectionToADeadHost guards against waits for a host that is gone, which would last until the request's
// deadline.
func TestProbesEndAConnectionToADeadHost(t *testing.T) {
	t.Parallel()
	conn, peer := connect(t, &Pool{ProbeAfter: time.Second})
	dropIncoming(t, peer)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
	_, err := conn.Reader.ReadByte()
	require.ErrorIs(t, err, unix.ETIMEDOUT)
}
