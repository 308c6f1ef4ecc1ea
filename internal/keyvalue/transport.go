package keyvalue

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/internal/head"
)

// MaxAnswerBytes limits the body of an answer; the pages of the store and the configuration are smaller.
const MaxAnswerBytes = 16 << 20

// NewHTTPClient returns a client that sends each request at most once, bounds every wait and accepts no malformed answer.
//
// By default fasthttp sends an idempotent request up to five times if the server
// closes the connection. A repeat would turn a conditional write that took
// effect into a conflict, and could run an order twice.
func NewHTTPClient(timeout time.Duration, maxConns int) *fasthttp.Client {
	return &fasthttp.Client{
		Name:                          "foxtaillanding",
		MaxConnsPerHost:               maxConns,
		MaxIdemponentCallAttempts:     1,
		MaxResponseBodySize:           MaxAnswerBytes,
		RetryIfErr:                    neverRetry,
		ReadTimeout:                   timeout,
		WriteTimeout:                  timeout,
		MaxIdleConnDuration:           30 * time.Second,
		MaxConnWaitTimeout:            time.Second,
		DisableHeaderNamesNormalizing: false,
		NoDefaultUserAgentHeader:      true,
		Dial: func(addr string) (net.Conn, error) {
			conn, err := fasthttp.DialTimeout(addr, time.Second)
			if err != nil {
				return nil, err
			}
			return &head.Conn{Conn: conn}, nil
		},
	}
}

// neverRetry disables the retries that fasthttp makes on connection errors.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
	return false, false
}
