package request

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

	"github.com/foxtaillanding/foxtaillanding/internal/connection"
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
	conn  *connection.Conn
	resp  *http.Response
	body  *answerBody
	facts Facts

	mu    sync.Mutex
	ended bool // Guarded by mu; the connection is closed or kept.
}

// answerBody notes whether an answer's body was read to its end.
type answerBody struct {
	io.Reader

	ended bool
}

// Read reads the next bytes.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.ended = b.ended || errors.Is(err, io.EOF)
	return n, err
}

// send writes the request to an endpoint and reads the head of its answer.
//
// An error that is connection.ErrNotSent proves that the request did not run.
func (r *run) send(now time.Time, address string, f Forwarding) (*attempt, error) {
	var usedSince time.Time
	if !r.req.Repeatable {
		usedSince = now.Add(-connection.NonRepeatableMaxIdle)
	}
	conn, err := r.f.Lines.Get(now, address, usedSince)
	if err != nil {
		return nil, err
	}
	r.f.observer().Connected(conn.Reused)
	a := &attempt{conn: conn}
	release := a.endOn(r.req.Gone)
	defer release()
	if err := conn.SetDeadline(r.until(now)); err != nil {
		a.end()
		return nil, errors.Wrap(connection.ErrNotSent, err.Error())
	}
	message := net.Buffers{encodeHead(&r.req.Message, r.req.Codec.Forward(&r.req.Message, f), address), r.req.Body}
	if _, err := message.WriteTo(conn.Conn); err != nil {
		a.end()
		return nil, errors.Wrap(err, "writing a request")
	}
	if err := a.readHead(r.req); err != nil {
		a.end()
		return nil, err
	}
	return a, nil
}

// readHead reads the head of the answer; answers to other requests are skipped.
func (a *attempt) readHead(r *Request) error {
	for range 1 + strayAnswers {
		resp, err := http.ReadResponse(a.conn.Reader, &http.Request{Method: r.Method}) //nolint:bodyclose // The attempt ends or keeps the connection.
		if err != nil {
			return errors.Wrap(err, "reading an answer")
		}
		if resp.StatusCode < http.StatusOK {
			continue // An interim answer.
		}
		facts := r.Codec.Answer(r.ID, resp.StatusCode, resp.Header)
		if facts.ID == r.ID {
			a.take(resp, facts)
			return nil
		}
		if !a.conn.Reused || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			if facts.ID == "" && facts.NotRun {
				a.take(resp, facts)
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

func (a *attempt) take(resp *http.Response, facts Facts) {
	a.resp = resp
	a.body = &answerBody{Reader: resp.Body}
	a.facts = facts
}

// whole reads the rest of the answer's body.
func (a *attempt) whole() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.body, maxAnswer+1))
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

// keep returns the connection for the next request if the answer was read to its end.
func (a *attempt) keep(now time.Time, lines *connection.Pool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	if a.resp.Close || !a.body.ended {
		_ = a.conn.Close()
		return
	}
	lines.Put(now, a.conn, keepAlive(a.resp.Header.Get("Keep-Alive")))
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
func encodeHead(r *Message, headers []Header, address string) []byte {
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
