package gateway

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of answers.
const (
	maxAnswer    = 8 << 20 // Bytes of a body that is read as a whole.
	strayAnswers = 2       // Answers to other requests that are skipped on a connection.
)

var (
	errStray   = errors.New("the answer belongs to another request")
	errSpoilt  = errors.New("the answer is not the endpoint's own")
	errStopped = errors.New("the attempt was ended")
)

// attempt is one exchange with one endpoint.
type attempt struct {
	conn  *connection
	resp  *http.Response
	facts Facts

	mu    sync.Mutex
	ended bool // Guarded by mu; the connection is closed or kept.
}

// send writes a request to an endpoint and reads the head of its answer.
//
// An error that is errNotSent proves that the request did not run.
func (g *Gateway) send(now time.Time, r *Request, f Forwarding, once bool, until time.Time, cancelled <-chan struct{}) (*attempt, error) {
	address, ok := g.endpoints.address(f.Endpoint)
	if !ok {
		return nil, errors.Wrapf(errNotSent, "endpoint %s has no address", f.Endpoint)
	}
	var usedAfter time.Time
	if once {
		usedAfter = now.Add(-freshFor)
	}
	conn, err := g.lines.take(now, address, usedAfter)
	if err != nil {
		return nil, err
	}
	g.metrics.connection(conn.kept)
	a := &attempt{conn: conn}
	release := a.endOn(cancelled)
	defer release()
	if err := conn.SetDeadline(until); err != nil {
		a.end()
		return nil, errors.Wrap(errNotSent, err.Error())
	}
	message := net.Buffers{encodeHead(r, g.dialect.Forward(r, f), address), r.Body}
	if _, err := message.WriteTo(conn.Conn); err != nil {
		a.end()
		return nil, errors.Wrap(err, "writing a request")
	}
	if err := a.readHead(g.dialect, r); err != nil {
		a.end()
		return nil, err
	}
	return a, nil
}

// readHead reads the head of the answer; answers to other requests are skipped.
func (a *attempt) readHead(d Dialect, r *Request) error {
	for range 1 + strayAnswers {
		resp, err := http.ReadResponse(a.conn.in, &http.Request{Method: r.Method}) //nolint:bodyclose // The attempt ends or keeps the connection.
		if err != nil {
			return errors.Wrap(err, "reading an answer")
		}
		if resp.StatusCode < http.StatusOK {
			continue // An interim answer.
		}
		facts := d.Answer(resp.StatusCode, resp.Header)
		if facts.ID == r.ID {
			a.resp = resp
			a.facts = facts
			return nil
		}
		if !a.conn.kept || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			if facts.ID == "" && facts.NotRun {
				a.resp = resp
				a.facts = facts
				return nil
			}
			return errStray
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return errors.Wrap(err, "skipping an answer to another request")
		}
	}
	return errStray
}

// whole reads the rest of the answer's body.
func (a *attempt) whole() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.resp.Body, maxAnswer+1))
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "reading an answer's body")
	case len(body) > maxAnswer:
		return nil, errors.Newf("the answer exceeds %d bytes", maxAnswer)
	case a.facts.Encoded:
		return nil, errSpoilt
	}
	return body, nil
}

// endOn closes the connection when cancelled is closed before release is called.
func (a *attempt) endOn(cancelled <-chan struct{}) (release func()) {
	if cancelled == nil {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		select {
		case <-cancelled:
			a.end()
		case <-done:
		}
	}()
	return sync.OnceFunc(func() { close(done) })
}

// end closes the connection, which stops the endpoint's work.
func (a *attempt) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	_ = a.conn.Close()
}

// keep returns the connection after a whole answer for the next request.
func (a *attempt) keep(now time.Time, lines *connections) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	if a.resp.Close {
		_ = a.conn.Close()
		return
	}
	lines.put(now, a.conn, keepAlive(a.resp.Header.Get("Keep-Alive")))
}

// keepAlive returns the idle time that a Keep-Alive header names, or zero.
func keepAlive(value string) time.Duration {
	for field := range strings.SplitSeq(value, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(number); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// encodeHead returns the bytes of a request before its body.
func encodeHead(r *Request, headers []Header, address string) []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\n")
	host := r.Host
	if host == "" {
		host = address
	}
	b.WriteString("Host: " + host + "\r\n")
	for _, h := range headers {
		b.WriteString(h.Name + ": " + h.Value + "\r\n")
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// connectionHeaders concern one connection and are never passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Host", "Content-Length", "Expect",
}

// ConnectionHeader reports whether a header concerns one connection only.
func ConnectionHeader(name string) bool {
	for _, own := range connectionHeaders {
		if strings.EqualFold(name, own) {
			return true
		}
	}
	return false
}
