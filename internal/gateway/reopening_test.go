package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

// listenTest returns a listener on loopback that can be suspended.
func listenTest(t *testing.T) *reopeningListener {
	t.Helper()
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	ln := newReopeningListener(inner)
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// seenAnswer is what a caller sees of an answer.
type seenAnswer struct {
	Status int
	Close  bool // The connection is closed after it.
}

// exchange sends a request on a connection and returns the answer.
func exchange(t *testing.T, caller net.Conn, in *bufio.Reader) seenAnswer {
	t.Helper()
	_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	return readAnswer(t, in)
}

// readAnswer reads one answer with its body.
func readAnswer(t *testing.T, in *bufio.Reader) seenAnswer {
	t.Helper()
	answer, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	_, err = io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	return seenAnswer{answer.StatusCode, answer.Close}
}

// connect opens a connection to a listener.
func connect(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	caller, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	return caller, bufio.NewReader(caller)
}

// TestSuspendedListenerLosesNoRequest guards against a server that ends when its listener closes, and against requests in flight
// and open connections that end with it.
func TestSuspendedListenerLosesNoRequest(t *testing.T) {
	g := newTestGateway(t)
	ln := listenTest(t)
	arrived := make(chan struct{}, 3) // One for each request.
	finish := make(chan struct{})
	go g.serve(frontListener, ln, func(*fasthttp.RequestCtx) {
		arrived <- struct{}{}
		<-finish
	})
	address := ln.Addr().String()
	caller, in := connect(t, address)
	_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	<-arrived
	for range 3 {
		require.NoError(t, ln.suspend())
		require.NoError(t, ln.suspend(), "suspending twice has no effect")
		_, err = net.Dial("tcp4", address)
		require.ErrorIs(t, err, unix.ECONNREFUSED)
		require.NoError(t, ln.resume())
		require.NoError(t, ln.resume(), "resuming twice has no effect")
	}
	require.NoError(t, ln.suspend())
	close(finish)
	require.Equal(t, http.StatusOK, readAnswer(t, in).Status, "the request that was in flight")
	require.Equal(t, http.StatusOK, exchange(t, caller, in).Status, "a request on an open connection")
	require.NoError(t, ln.resume())
	other, otherIn := connect(t, address)
	require.Equal(t, http.StatusOK, exchange(t, other, otherIn).Status, "a request on a new connection")
}

// TestConnectionsThatWaitAreAcceptedBeforeTheListenerCloses guards against resets of callers that have connected, and may have sent
// a request, but were not accepted yet, as happens when the processor is late.
func TestConnectionsThatWaitAreAcceptedBeforeTheListenerCloses(t *testing.T) {
	g := newTestGateway(t)
	ln := listenTest(t)
	const callers = 20
	connections := make([]net.Conn, callers)
	readers := make([]*bufio.Reader, callers)
	for i := range connections { // Nothing accepts them yet.
		connections[i], readers[i] = connect(t, ln.Addr().String())
		_, err := io.WriteString(connections[i], "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
	}
	require.NoError(t, ln.suspend())
	go g.serve(frontListener, ln, func(*fasthttp.RequestCtx) {})
	for i := range connections {
		require.Equal(t, http.StatusOK, readAnswer(t, readers[i]).Status, "caller %d", i)
	}
}

// TestClosedListenerEndsAccept guards against a server that waits for ever on a listener that was closed while suspended.
func TestClosedListenerEndsAccept(t *testing.T) {
	for _, suspended := range []bool{false, true} {
		ln := listenTest(t)
		ended := make(chan error, 1)
		go func() {
			_, err := ln.Accept()
			ended <- err
		}()
		if suspended {
			require.NoError(t, ln.suspend())
		}
		require.NoError(t, ln.Close())
		require.ErrorIs(t, <-ended, net.ErrClosed)
		require.NoError(t, ln.resume())
		_, err := net.Dial("tcp4", ln.Addr().String())
		require.ErrorIs(t, err, unix.ECONNREFUSED, "a closed listener is not opened again")
	}
}
