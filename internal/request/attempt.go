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
	"github.com/foxtaillanding/foxtaillanding/internal/head"
)

// Limits of answers.
const (
	maxBodyBytes    = 8 << 20  // Upper bound of a body that is read into memory.
	smallBodyBytes  = 16 << 10 // Bodies up to this length are not counted.
	maxStaleAnswers = 2        // Answers to earlier requests that are skipped on a reused connection.
	maxStaleBytes   = 1 << 20  // Upper bound of the body of a skipped answer.
)

var (
	errOtherRequest  = errors.New("the answer is for a different request")
	errBodyEncoded   = errors.New("the answer body is content-encoded and not the one that the endpoint sealed")
	errCallerLeft    = errors.New("the caller has disconnected")
	errStreamAborted = errors.New("stream aborted")
	errNoMemory      = errors.New("no memory for a long answer or event")
)

// attempt is one request sent to one endpoint, with the answer to it.
type attempt struct {
	conn *connection.Conn
	resp *http.Response
	body *answerBody
	head AnswerHead

	mu   sync.Mutex
	done bool // Guarded by mu; the connection was closed or returned to the pool.
}

// send writes the request to the endpoint at an address and reads the head of the answer. A nil conn is obtained first.
//
// An error that wraps connection.ErrNotSent or is errCallerLeft proves that the request did not run.
func (r *run) send(now time.Time, address string, conn *connection.Conn, info AttemptInfo) (*attempt, error) {
	if r.callerLeft() {
		if conn != nil {
			_ = conn.Close()
		}
		return nil, errCallerLeft
	}
	if conn == nil {
		var err error
		if conn, err = r.f.Connections.Get(now, address, connection.Terms{UsedSince: r.usedSince(now), NewTo: r.req.ID, OpenBy: r.req.Deadline}); err != nil {
			return nil, err
		}
		r.observeConnection(conn)
	}
	r.f.observer().Connected(conn.Reused)
	a := &attempt{conn: conn}
	r.stall = r.newStallWatch(a, info.Endpoint)
	if !conn.Reused && r.callerLeft() { // Opening a connection takes time.
		a.abort()
		return nil, errCallerLeft
	}
	if info.Endpoint != "" && !r.f.Endpoints.MaySend(info.Endpoint) { // It may have announced its leave meanwhile.
		a.abort()
		return nil, errors.Mark(errors.Newf("endpoint %s leaves", info.Endpoint), connection.ErrNotSent)
	}
	release := a.abortOn(r.req.CallerGone)
	defer release()
	if err := conn.SetDeadline(r.attemptDeadline(now)); err != nil {
		a.abort()
		return nil, errors.Wrap(connection.ErrNotSent, err.Error())
	}
	r.stall.begin(now, r.firstStallTimeout(now))
	conn.Carry(r.req.ID)
	message := net.Buffers{encodeHead(&r.req.Message, r.req.Codec.AttemptHeaders(&r.req.Message, info), address), r.req.Body}
	if _, err := message.WriteTo(conn.Conn); err != nil {
		a.abort()
		return nil, errors.Wrap(err, "writing the request")
	}
	if err := a.readHead(r.req); err != nil {
		a.abort()
		return nil, err
	}
	return a, nil
}

// usedSince returns when a pooled connection must have been used last to carry the request.
func (r *run) usedSince(now time.Time) time.Time {
	if r.req.Repeatable {
		return time.Time{}
	}
	return now.Add(-connection.NonRepeatableMaxIdle)
}

// readHead reads the head of the answer to r.
//
// A reused connection may still deliver answers to earlier requests, which are
// skipped if their length is known. Otherwise an answer with a different ID is
// an error. One without an ID that states that the request did not run is
// accepted on a new connection only, where it can answer no other request.
func (a *attempt) readHead(r *Request) error {
	defer a.conn.LimitReads(-1)
	for range 1 + maxStaleAnswers {
		a.conn.LimitReads(head.MaxBytes)
		resp, err := a.conn.ReadHead(r.Method) //nolint:bodyclose // The attempt closes the connection or returns it to the pool.
		if err != nil {
			return errors.Wrap(err, "reading the head of the answer")
		}
		if resp.StatusCode < http.StatusOK {
			continue // A 1xx interim response.
		}
		parsed := r.Codec.ParseHead(r.ID, resp.StatusCode, resp.Header)
		if parsed.ID == r.ID || !a.conn.Reused && parsed.ID == "" && parsed.NotRun {
			a.setAnswer(resp, parsed)
			return nil
		}
		if !a.conn.Reused || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return errOtherRequest
		}
		a.conn.LimitReads(maxStaleBytes)
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return errors.Wrap(err, "skipping an answer to an earlier request")
		}
	}
	return errOtherRequest
}

func (a *attempt) setAnswer(resp *http.Response, head AnswerHead) {
	a.resp = resp
	a.body = &answerBody{in: resp.Body}
	a.head = head
}

// readBody reads the body of the answer to r to its end. The memory of a long one is reserved before it is read.
func (a *attempt) readBody(r *Request) ([]byte, error) {
	var body bytes.Buffer
	reserved := int64(0)
	_, err := body.ReadFrom(io.LimitReader(a.body, smallBodyBytes))
	if err == nil && !a.body.eof {
		if reserved, err = a.reserveBody(r); err == nil {
			_, err = body.ReadFrom(io.LimitReader(a.body, maxBodyBytes+1-smallBodyBytes))
		}
	}
	switch {
	case err != nil:
		err = errors.Wrap(err, "reading the answer body")
	case body.Len() > maxBodyBytes:
		err = errors.Newf("answer body exceeds %d bytes", maxBodyBytes)
	case a.head.Encoded:
		err = errBodyEncoded
	}
	if err != nil {
		body.Reset()
	}
	if reserved > 0 {
		r.Memory.Release(reserved - min(reserved, int64(body.Len())))
	}
	if err != nil {
		return nil, err
	}
	return body.Bytes(), nil
}

// reserveBody reserves the memory for the body of the answer to r and returns the number of bytes.
//
// It reserves all that the body may need at once: attempts that each waited for more while they held a part would wait for
// each other.
func (a *attempt) reserveBody(r *Request) (int64, error) {
	if r.Memory == nil {
		return 0, nil
	}
	n := a.resp.ContentLength
	if n < 0 || n > maxBodyBytes {
		n = maxBodyBytes
	}
	if !r.Memory.Reserve(n, r.Deadline) {
		return 0, errNoMemory
	}
	return n, nil
}

// abortOn aborts the attempt if cancelled is closed before release is called.
func (a *attempt) abortOn(cancelled <-chan struct{}) (release func()) {
	if cancelled == nil {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		select {
		case <-cancelled:
			a.abort()
		case <-done:
		}
	}()
	return sync.OnceFunc(func() { close(done) })
}

// abort closes the connection, so that the endpoint stops its work on the request.
func (a *attempt) abort() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done {
		return
	}
	a.done = true
	_ = a.conn.Close()
}

// recycle returns the connection to the pool if the answer was read to its end, and closes it otherwise.
func (a *attempt) recycle(now time.Time, pool *connection.Pool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done {
		return
	}
	a.done = true
	if a.resp.Close || !a.body.eof {
		_ = a.conn.Close()
		return
	}
	pool.Put(now, a.conn, keepAlive(a.resp.Header.Get("Keep-Alive")))
}

// keepAlive returns the timeout parameter of a Keep-Alive header, or zero.
func keepAlive(value string) time.Duration {
	for field := range strings.SplitSeq(value, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(number); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// encodeHead encodes the request line and the headers of a request.
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

// hopByHopHeaders apply to one connection only, or are set anew for each message, and are never forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Host", "Content-Length", "Expect",
}

// IsHopByHop reports whether a header applies to one hop only and must not be forwarded.
func IsHopByHop(name string) bool {
	for _, hop := range hopByHopHeaders {
		if strings.EqualFold(name, hop) {
			return true
		}
	}
	return false
}
