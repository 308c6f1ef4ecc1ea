package keyvalue

import (
	"bufio"
	"net"
	"net/http"
	"strings"
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
	return getFrom(t, func(conn net.Conn) { _, _ = conn.Write([]byte(answer)) })
}

// TestClientLimitsAnswers guards against a report of an operator (LOST): bytes without end in the body of an answer were all kept,
// until the process ran out of memory.
func TestClientLimitsAnswers(t *testing.T) {
	for _, framing := range []string{"", "Content-Length: 1000000000\r\n", "Transfer-Encoding: chunked\r\n"} {
		err := getFrom(t, func(conn net.Conn) {
			_, err := conn.Write([]byte("HTTP/1.1 200 OK\r\n" + framing + "\r\n"))
			chunk := []byte("100000\r\n" + strings.Repeat("x", 1<<20) + "\r\n")
			for sent := 0; err == nil && sent < 2*MaxAnswerBytes; sent += len(chunk) { // Without a limit, the client would keep all.
				_, err = conn.Write(chunk)
			}
		})
		require.ErrorIs(t, err, fasthttp.ErrBodyTooLarge, framing)
	}
}

// getFrom is like get, with a server that answers by a function.
func getFrom(t *testing.T, answer func(net.Conn)) error {
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
			answer(conn)
		}
	}()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + ln.Addr().String() + "/")
	return NewHTTPClient(5*time.Second, 1).DoTimeout(req, resp, 5*time.Second)
}
