package head

import (
	"bytes"
	"net"

	"github.com/cockroachdb/errors"
)

// ErrMalformed reports that the bytes of a peer are not the head of an HTTP answer.
var ErrMalformed = errors.New("malformed head of an answer")

// MaxBytes is the maximum size of a head in bytes.
const MaxBytes = 64 << 10

// Checker checks the heads of the answers to one request, interim ones included, as their bytes arrive. The zero value passes
// all bytes until Begin is called.
type Checker struct {
	pending bool   // The head of the final answer has not ended.
	buf     []byte // Of the current head.
}

// Begin makes the next bytes those of a head.
func (c *Checker) Begin() {
	c.pending = true
	c.buf = c.buf[:0]
}

// Pending reports whether the head of the final answer has not ended.
func (c *Checker) Pending() bool { return c.pending }

// Feed checks the bytes that arrive next; those after the head of the final answer pass.
func (c *Checker) Feed(p []byte) error {
	for c.pending && len(p) > 0 {
		line, rest, ended := bytes.Cut(p, []byte("\n"))
		if !ended {
			c.buf = append(c.buf, p...)
			return c.checkSize()
		}
		c.buf = append(append(c.buf, line...), '\n')
		p = rest
		if err := c.checkSize(); err != nil {
			return err
		}
		if !bytes.HasSuffix(c.buf, []byte("\r\n")) {
			return errors.Wrap(ErrMalformed, "line feed without carriage return")
		}
		if !bytes.HasSuffix(c.buf, []byte("\r\n\r\n")) {
			continue
		}
		interim, err := check(c.buf)
		if err != nil {
			return err
		}
		c.pending = interim
		c.buf = c.buf[:0]
	}
	return nil
}

func (c *Checker) checkSize() error {
	if len(c.buf) > MaxBytes {
		return errors.Wrapf(ErrMalformed, "more than %d bytes", MaxBytes)
	}
	return nil
}

// Conn is a client's connection whose answers have their heads checked. A request must be written only when the answer to the
// one before was read.
type Conn struct {
	net.Conn

	checker Checker
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.checker.Begin()
	return c.Conn.Write(p)
}

// Read implements net.Conn. It fails instead of returning the last bytes of a malformed head.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if malformed := c.checker.Feed(p[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}
