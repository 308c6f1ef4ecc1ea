package request

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/internal/placement"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
)

// arrivalLog records when requests are read by endpoints.
type arrivalLog struct {
	mu      sync.Mutex
	seen    map[string]bool
	repeats []time.Time // Arrivals beyond the first of each request.
}

func (l *arrivalLog) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen == nil {
		l.seen = map[string]bool{}
	}
	if l.seen[id] {
		l.repeats = append(l.repeats, time.Now())
	}
	l.seen[id] = true
}

// most returns the largest number of repeats within a window.
func (l *arrivalLog) most(window time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	for i, begin := range l.repeats {
		n := 0
		for _, at := range l.repeats[i:] {
			if at.Sub(begin) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// startReader returns an endpoint whose kernel accepts connections and bytes, of which it reads nothing before it is awake.
func startReader(t *testing.T, name string, log *arrivalLog, awake <-chan struct{}) *scriptedEndpoint {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		<-awake
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go readAll(conn, log)
		}
	}()
	return &scriptedEndpoint{config: placement.EndpointConfig{
		Endpoint: endpoint.Endpoint{Name: name, Serves: []string{"s"}, Slots: 64},
		Address:  ln.Addr().String(),
	}}
}

// readAll records and answers the requests of a connection.
func readAll(conn net.Conn, log *arrivalLog) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		log.add(req.Header.Get("Request-Id"))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

// TestRetriesOfASilenceStayWithinTheWindow lets requests come to an endpoint that is paused over several windows. They may
// move to another one, and the silent one reads them all when it goes on.
func TestRetriesOfASilenceStayWithinTheWindow(t *testing.T) {
	const window, reserve, perWindow, windows = time.Second, 4, 8, 3
	f := newStallForwarder(endpoint.Policy{RetryReserve: reserve, RetryRatio: 0.0001, RetryWindow: window, BaseEjectionTime: time.Millisecond, MaxEjectionTime: time.Millisecond})
	var log arrivalLog
	wake, awake := make(chan struct{}), make(chan struct{})
	close(awake)
	silent, sound := startReader(t, "silent", &log, wake), startReader(t, "sound", &log, awake)
	var requests sync.WaitGroup
	for n := range windows {
		configure(f, silent)
		for i := range perWindow {
			r := newStallRequest(fmt.Sprint("run-", n, "-", i), stallTerms)
			r.Headers = []Header{{"Request-Id", r.RunID}}
			r.Codec = plainCodec{}
			requests.Go(func() { f.Forward(r) })
		}
		require.Eventually(t, func() bool { return f.Endpoints.State(time.Now()).Endpoints[0].Running >= perWindow }, 5*time.Second, time.Millisecond)
		configure(f, silent, sound)
		time.Sleep(2 * window)
	}
	close(wake)
	requests.Wait()
	time.Sleep(window) // Nobody waits for what the endpoint reads from closed connections.
	require.Positive(t, log.most(time.Minute))
	require.LessOrEqual(t, log.most(window), reserve)
}
