package keyvalue

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// TestClientRefusesMalformedHeads guards against answers of the store, of routers and of endpoints' load reports whose heads are
// malformed (MIXED): status 000 was taken for 200, and a blank in the name of a field for a part of it.
func TestClientRefusesMalformedHeads(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent Length: 1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX: 1\r\n y\r\nContent-Length: 2\r\n\r\nok",
	} {
		require.Error(t, get(t, answer), "%q", answer)
	}
	require.NoError(t, get(t, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
}

// get sends a request to a server that answers with the given bytes, and returns the error of the client.
func get(t *testing.T, answer string) error {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = conn.Write([]byte(answer))
		}
	}()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + ln.Addr().String() + "/")
	return NewHTTPClient(time.Second, 1).DoTimeout(req, resp, time.Second)
}
