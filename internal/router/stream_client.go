package router

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/internal/chat"
	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
)

// errNotSent marks a call that cannot have reached the other side.
var errNotSent = errors.New("no connection could be opened")

// streamClient calls endpoints and, for forwarded requests, routers, and reads their answers as streams.
type streamClient struct {
	http    *fasthttp.Client
	queries *fasthttp.Client
}

func newStreamClient(stall func() time.Duration) *streamClient {
	const maxConns = 4096
	c := keyvalue.NewHTTPClient(0, maxConns)
	c.StreamResponseBody = true
	c.MaxIdleConnDuration = 5 * time.Second
	c.Dial = func(address string) (net.Conn, error) {
		conn, err := fasthttp.DialTimeout(address, time.Second)
		if err != nil {
			return nil, errors.Wrapf(errNotSent, "dialling %s: %v", address, err)
		}
		return &stallConn{Conn: conn, stall: stall}, nil
	}
	return &streamClient{http: c, queries: keyvalue.NewHTTPClient(time.Second, 16)}
}

// stallConn bounds the silence of the other side: every read and write has its own deadline.
type stallConn struct {
	net.Conn

	stall func() time.Duration
}

// Read reads with a deadline of its own.
func (c *stallConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.stall())); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// Write writes with a deadline of its own.
func (c *stallConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.stall())); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// call is one request to an endpoint or a router.
type call struct {
	address string
	path    string
	body    []byte
	headers map[string]string
}

// reply is an answer whose body is still to be read; close ends it, and stops the other side if it still sends.
type reply struct {
	req  *fasthttp.Request
	resp *fasthttp.Response
}

func (c *streamClient) post(call call) (*reply, error) {
	r := &reply{req: fasthttp.AcquireRequest(), resp: fasthttp.AcquireResponse()}
	r.req.Header.SetMethod(fasthttp.MethodPost)
	r.req.SetRequestURI("http://" + call.address + call.path)
	r.req.Header.SetContentType("application/json")
	for name, value := range call.headers {
		r.req.Header.Set(name, value)
	}
	r.req.SetBody(call.body)
	r.resp.StreamBody = true
	if err := c.http.Do(r.req, r.resp); err != nil {
		r.close()
		return nil, errors.Wrapf(err, "calling %s", call.address)
	}
	return r, nil
}

func (r *reply) status() int { return r.resp.StatusCode() }

func (r *reply) stream() io.Reader { return r.resp.BodyStream() }

// read returns the whole body, up to limit bytes.
func (r *reply) read(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.stream(), limit+1))
	if err == nil && int64(len(body)) > limit {
		return nil, errors.Newf("the answer is larger than %d bytes", limit)
	}
	return body, errors.Wrap(err, "reading an answer")
}

// drain reads what follows the end of an answer, so that the connection can be used again.
func (r *reply) drain() {
	const most = 4 << 10 // Bytes.
	_, _ = io.CopyN(io.Discard, r.stream(), most)
}

func (r *reply) close() {
	_ = r.resp.CloseBodyStream()
	fasthttp.ReleaseRequest(r.req)
	fasthttp.ReleaseResponse(r.resp)
}

// load asks an endpoint for its load and for the cache events after the given one.
func (c *streamClient) load(address string, after uint64) (chat.LoadReport, error) {
	var report chat.LoadReport
	url := fmt.Sprintf("http://%s%s?After=%d", address, chat.LoadPath, after)
	status, body, err := c.queries.GetTimeout(nil, url, time.Second)
	if err != nil {
		return report, err
	}
	if status != fasthttp.StatusOK {
		return report, errors.Newf("the load query got status %d", status)
	}
	return report, errors.Wrap(json.Unmarshal(body, &report), "decoding a load report")
}
