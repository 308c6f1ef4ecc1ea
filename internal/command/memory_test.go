package command

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/platform/wire"
)

// residentMegabytes returns the largest resident memory that a process has had.
func residentMegabytes(t *testing.T, pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err, "the process has ended")
	_, rest, ok := strings.Cut(string(text), "VmHWM:")
	require.True(t, ok)
	kilobytes := 0
	_, err = fmt.Sscan(rest, &kilobytes)
	require.NoError(t, err)
	return kilobytes >> 10
}

// vmMegabytes is the memory of the smallest VM.
const vmMegabytes = 134

// limitMemory adds the memory of the VM to the settings of a gateway that is not started.
func (f gatewayFixture) limitMemory(t *testing.T) {
	text, err := os.ReadFile(f.settings)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(f.settings, fmt.Appendf(text, "[Memory]\nLimitMegabytes = %d\n", vmMegabytes), 0o600))
}

// TestLongBodiesDoNotExceedTheMemoryOfTheVM guards against review/4 (LOST) with a process. It sends many long bodies slowly to a gateway, each of which the configuration
// allows, while streams of other callers go on. The process used 210 MB and more of the 134 MB of its VM and was killed.
func TestLongBodiesDoNotExceedTheMemoryOfTheVM(t *testing.T) {
	const (
		callers   = 60
		bodyBytes = 4<<20 - 4<<10
		pieces    = 40
		pause     = 50 * time.Millisecond
	)
	f := newGatewayFixture(t, "300")
	f.limitMemory(t)
	cmd := f.command()
	ended := f.start(t, cmd)
	f.awaitReady(t, ended)
	in := f.openStream(t)
	before := residentMegabytes(t, cmd.Process.Pid)
	var sending sync.WaitGroup
	for range callers {
		sending.Go(func() { sendSlowly(f.front, bodyBytes, pieces, pause) })
	}
	for range pieces {
		time.Sleep(pause)
		rest := f.tryStream(t)
		require.NotNil(t, rest, "a stream of another caller was refused")
	}
	_, err := io.ReadAll(in)
	require.NoError(t, err, "a stream of another caller was cut")
	sending.Wait()
	used := residentMegabytes(t, cmd.Process.Pid)
	t.Logf("%d MB before, %d MB at most", before, used)
	require.Less(t, used, raceMemoryFactor*vmMegabytes)
}

// sendSlowly sends a request with a body in pieces, until the gateway closes the connection.
func sendSlowly(address string, size, pieces int, pause time.Duration) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	head := fmt.Sprintf("%s /stream/x HTTP/1.1\r\nHost: h\r\n%s: id-2\r\nContent-Length: %d\r\n\r\n", http.MethodPost, wire.HeaderRequestID, size)
	if _, err := io.WriteString(conn, head); err != nil {
		return
	}
	piece := strings.Repeat("x", size/pieces)
	for range pieces {
		if _, err := io.WriteString(conn, piece); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// TestLongAnswersDoNotExceedTheMemoryOfTheVM requests many long answers at once, which arrive whole one after the other.
func TestLongAnswersDoNotExceedTheMemoryOfTheVM(t *testing.T) {
	const (
		callers     = 60
		answerBytes = 6 << 20
	)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
		w.Header().Set(wire.HeaderSeal, "seal")
		if strings.HasPrefix(r.URL.Path, "/long/length") {
			w.Header().Set("Content-Length", strconv.Itoa(answerBytes))
		}
		_, _ = io.WriteString(w, strings.Repeat("x", answerBytes))
	}))
	defer server.Close()
	f := newGatewayFixture(t, "1")
	f.limitMemory(t)
	f.register(t, "i-long", "long", server.Listener.Addr().String())
	cmd := f.command()
	ended := f.start(t, cmd)
	f.awaitReady(t, ended)
	f.openStream(t)
	before := residentMegabytes(t, cmd.Process.Pid)
	var calls sync.WaitGroup
	var whole atomic.Int64
	for i := range callers {
		path := []string{"/long/length", "/long/chunks"}[i%2]
		calls.Go(func() {
			if f.get(path) == answerBytes {
				whole.Add(1)
			}
		})
	}
	calls.Wait()
	used := residentMegabytes(t, cmd.Process.Pid)
	t.Logf("%d MB before, %d MB at most", before, used)
	require.Less(t, used, raceMemoryFactor*vmMegabytes)
	require.EqualValues(t, callers, whole.Load())
}

// get sends a request and returns the length of a complete answer, or 0.
func (f gatewayFixture) get(path string) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+f.front+path, nil)
	if err != nil {
		return 0
	}
	req.Host = "h"
	req.Header.Set(wire.HeaderRequestID, "id-3")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return 0
	}
	return len(body)
}

// TestEndlessEventsDoNotExceedTheMemoryOfTheVM guards against a report of an operator (LOST): endpoints in trouble send bytes that are
// no event, until the caller closes, to many streams at once. The process kept up to a megabyte for each stream.
func TestEndlessEventsDoNotExceedTheMemoryOfTheVM(t *testing.T) {
	const (
		endpoints  = 5
		callers    = 300
		eventBytes = 1000 << 10 // Just below what an event may have.
	)
	release := make(chan struct{})
	faulty := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
		w.Header().Set(wire.HeaderSeal, "seal")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: "+strings.Repeat("x", eventBytes))
		_ = http.NewResponseController(w).Flush()
		<-release
	}))
	defer faulty.Close()
	defer close(release)
	f := newGatewayFixture(t, "1")
	f.limitMemory(t)
	for i := range endpoints {
		f.register(t, fmt.Sprint("i-", i), "app", faulty.Listener.Addr().String())
	}
	cmd := f.command()
	ended := f.start(t, cmd)
	f.awaitReady(t, ended)
	before := residentMegabytes(t, cmd.Process.Pid)
	var calls sync.WaitGroup
	for i := range callers {
		calls.Go(func() { f.get("/stream/" + strconv.Itoa(i)) })
	}
	time.Sleep(3 * time.Second)
	used := residentMegabytes(t, cmd.Process.Pid)
	t.Logf("%d MB before, %d MB at most", before, used)
	require.Less(t, used, raceMemoryFactor*vmMegabytes)
	require.NoError(t, cmd.Process.Kill())
	calls.Wait()
}
