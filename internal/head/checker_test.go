package head

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// malformed are heads that HTTP libraries accept or skip although RFC 9112 does not allow them.
var malformed = map[string]string{
	"blank in a name":              "HTTP/1.1 200 OK\r\nX y: 1\r\n\r\n",
	"blank before the colon":       "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n",
	"tab in a name":                "HTTP/1.1 200 OK\r\nX\ty: 1\r\n\r\n",
	"control byte in a name":       "HTTP/1.1 200 OK\r\nX\x01: 1\r\n\r\n",
	"byte above 127 in a name":     "HTTP/1.1 200 OK\r\nX\xc3\xa4: 1\r\n\r\n",
	"empty name":                   "HTTP/1.1 200 OK\r\n: 1\r\n\r\n",
	"no colon":                     "HTTP/1.1 200 OK\r\nX\r\n\r\n",
	"control byte in a value":      "HTTP/1.1 200 OK\r\nX: 1\x00\r\n\r\n",
	"carriage return in a value":   "HTTP/1.1 200 OK\r\nX: 1\r2\r\n\r\n",
	"folded line":                  "HTTP/1.1 200 OK\r\nX: 1\r\n 2\r\n\r\n",
	"folded line at the beginning": "HTTP/1.1 200 OK\r\n X: 1\r\n\r\n",
	"bare line feed":               "HTTP/1.1 200 OK\r\nX: 1\nContent-Length: 2\r\n\r\n",
	"bare line feeds at the end":   "HTTP/1.1 200 OK\n\n",
	"status 000":                   "HTTP/1.1 000 OK\r\n\r\n",
	"status 099":                   "HTTP/1.1 099 OK\r\n\r\n",
	"status 600":                   "HTTP/1.1 600 OK\r\n\r\n",
	"status of two digits":         "HTTP/1.1 20 OK\r\n\r\n",
	"status of four digits":        "HTTP/1.1 2000 OK\r\n\r\n",
	"signed status":                "HTTP/1.1 +20 OK\r\n\r\n",
	"status without reason break":  "HTTP/1.1 200OK\r\n\r\n",
	"other version":                "HTTP/9.1 200 OK\r\n\r\n",
	"control byte in the reason":   "HTTP/1.1 200 O\x01K\r\n\r\n",
	"switch of protocols":          "HTTP/1.1 101 Switching Protocols\r\n\r\n",
	"blank line first":             "\r\nHTTP/1.1 200 OK\r\n\r\n",
	"two lengths":                  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\n",
	"length and chunks":            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
	"signed length":                "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\n",
	"list of lengths":              "HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\n",
	"other encoding":               "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
	"after an interim answer":      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n\r\n",
	"too long":                     "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", MaxBytes) + "\r\n\r\n",
}

var wellFormed = map[string]string{
	"plain":           "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
	"no reason":       "HTTP/1.1 404\r\n\r\n",
	"empty reason":    "HTTP/1.0 503 \r\n\r\n",
	"odd names":       "HTTP/1.1 200 OK\r\nX-a!#$%&'*+.^_`|~9: \t v\xe4lue\t\r\nY:\r\n\r\n",
	"chunks":          "HTTP/1.1 200 OK\r\ntransfer-encoding:  Chunked \r\n\r\n",
	"interim answers": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
}

// TestCheckerRefusesMalformedHeads guards against answers of endpoints in trouble (MIXED): a head whose field names held blanks
// was passed on as an answer, and a status of 000 was taken for an interim answer or, by another library, for 200.
func TestCheckerRefusesMalformedHeads(t *testing.T) {
	for name, text := range malformed {
		for _, step := range []int{1, 3, len(text)} {
			require.ErrorIs(t, feed(text, step), ErrMalformed, "%s, %d bytes at once", name, step)
		}
	}
	for name, text := range wellFormed {
		for _, step := range []int{1, 3, len(text)} {
			require.NoError(t, feed(text+"\x00 a body\n", step), "%s, %d bytes at once", name, step)
		}
	}
}

// feed feeds a text in parts and returns an error also if the checker still waits for the end of a head.
func feed(text string, step int) error {
	var c Checker
	c.Begin()
	for text != "" {
		n := min(step, len(text))
		if err := c.Feed([]byte(text[:n])); err != nil {
			return err
		}
		text = text[n:]
	}
	if c.Pending() {
		return ErrMalformed
	}
	return nil
}

// TestConnChecksEachAnswer sends requests one after the other on a connection, of which the second gets a malformed answer.
func TestConnChecksEachAnswer(t *testing.T) {
	client, server := net.Pipe()
	defer func() { _ = client.Close() }()
	go func() {
		in := bufio.NewReader(server)
		for _, answer := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n\n\x00\r\n", "HTTP/1.1 200 OK\r\nX y: 1\r\nContent-Length: 0\r\n\r\n"} {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			_, _ = server.Write([]byte(answer))
		}
	}()
	conn := &Conn{Conn: client}
	out := bufio.NewReader(conn)
	for i := range 2 {
		_, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		require.NoError(t, err)
		resp, err := http.ReadResponse(out, nil)
		if i == 1 {
			require.ErrorIs(t, err, ErrMalformed)
			return
		}
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, "\n\x00\r\n", string(body))
		require.NoError(t, resp.Body.Close())
	}
}
