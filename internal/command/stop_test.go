package command

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/platform/wire"
)

// stopGrace is the grace period of the gateways that these tests stop.
const stopGrace = 4 * time.Second

// slowingServer is an endpoint that takes a time that changes.
type slowingServer struct {
	server *httptest.Server
	takes  atomic.Int64 // Nanoseconds.

	mu      sync.Mutex
	reached map[string]bool // IDs of the requests that it got; guarded by mu.
}

func newSlowingServer(t *testing.T, takes time.Duration) *slowingServer {
	s := &slowingServer{reached: map[string]bool{}}
	s.takes.Store(int64(takes))
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(wire.HeaderRequestID)
		s.mu.Lock()
		s.reached[id] = true
		s.mu.Unlock()
		select {
		case <-time.After(time.Duration(s.takes.Load())):
		case <-r.Context().Done():
			return
		}
		w.Header().Set(wire.HeaderRequestID, id)
		w.Header().Set(wire.HeaderSeal, "seal")
		_, _ = fmt.Fprint(w, "well")
	}))
	t.Cleanup(func() {
		s.server.CloseClientConnections()
		s.server.Close()
	})
	return s
}

func (s *slowingServer) hasReached(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reached[id]
}

// sentRequest is a request of a test as its caller saw it.
type sentRequest struct {
	id       string
	sentAt   time.Time
	answered bool
}

// keepSending sends orders on kept connections, a new one on each as soon as the one before is answered, until stop is closed and the
// gateway is gone.
func (f gatewayFixture) keepSending(callers int, stop <-chan struct{}) []sentRequest {
	var mu sync.Mutex
	var all []sentRequest
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				conn, err := net.DialTimeout("tcp4", f.front, time.Second)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				for _, r := range sendOn(conn, fmt.Sprintf("id-%d-%d", c, n)) {
					mu.Lock()
					all = append(all, r)
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	return all
}

// sendOn sends orders on a connection until it ends.
func sendOn(conn net.Conn, prefix string) []sentRequest {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	var all []sentRequest
	for n := 0; ; n++ {
		r := sentRequest{id: fmt.Sprintf("%s-%d", prefix, n), sentAt: time.Now()}
		if _, err := fmt.Fprintf(conn, "POST /long/x HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", wire.HeaderRequestID, r.id); err != nil {
			return all
		}
		resp, err := http.ReadResponse(in, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		r.answered = err == nil
		all = append(all, r)
		if err != nil || resp.Close {
			return all
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestPlannedStopAnswersEachRequestThatItPassedOn guards against a report of operators (LOST): requests that came late in the grace
// period were passed on and cut at its end without an answer. The endpoint becomes slower than the gateway can know.
//
// Requests that the gateway may have read before it knew of its stop are left out: their own deadlines hold, so that they are cut if
// their endpoint works on beyond the grace period, which the platform allows.
func TestPlannedStopAnswersEachRequestThatItPassedOn(t *testing.T) {
	for _, slowAfter := range []time.Duration{0, time.Second, 2 * time.Second, 3 * time.Second, 3200 * time.Millisecond} {
		t.Run(slowAfter.String(), func(t *testing.T) {
			t.Parallel()
			server := newSlowingServer(t, 30*time.Millisecond)
			f := newGatewayFixture(t, "1")
			f.register(t, "i-long", "long", server.server.Listener.Addr().String())
			text, err := os.ReadFile(f.settings)
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(f.settings, fmt.Appendf(text, "[Drain]\nGraceSeconds = %g\n", stopGrace.Seconds()), 0o600))
			cmd := f.command()
			cmd.Env = append(os.Environ(), "GORACE=atexit_sleep_ms=0") // The race detector delays the end of a process by 1 s, beyond the grace period.
			ended := f.start(t, cmd)
			f.awaitReady(t, ended)
			stop := make(chan struct{})
			results := make(chan []sentRequest, 1)
			go func() { results <- f.keepSending(10, stop) }()
			time.Sleep(2 * time.Second)
			killAt := time.Now().Add(stopGrace)
			require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
			require.Eventually(t, func() bool {
				code, _ := send(http.MethodGet, "http://"+f.ready+wire.ReadyPath, "", "", nil)
				return code != http.StatusOK
			}, stopGrace, time.Millisecond)
			stoppedAt := time.Now()
			time.AfterFunc(slowAfter, func() { server.takes.Store(int64(time.Minute)) })
			select {
			case err := <-ended:
				require.NoError(t, err)
			case <-time.After(time.Until(killAt)):
				require.NoError(t, cmd.Process.Kill())
				require.Fail(t, "the gateway is killed at the end of the grace period")
			}
			close(stop)
			var lost []string
			for _, r := range <-results {
				if !r.answered && server.hasReached(r.id) && r.sentAt.After(stoppedAt) {
					lost = append(lost, fmt.Sprintf("%s, sent %v after the stop request", r.id, r.sentAt.Sub(stoppedAt).Round(time.Millisecond)))
				}
			}
			require.Empty(t, lost, strings.Join(lost, "\n"))
		})
	}
}
