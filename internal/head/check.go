package head

import (
	"bytes"
	"strings"

	"github.com/cockroachdb/errors"
)

// check checks a whole head, with the blank line at its end, and reports whether it is that of an interim answer.
func check(raw []byte) (interim bool, err error) {
	lines := bytes.Split(bytes.TrimSuffix(raw, []byte("\r\n\r\n")), []byte("\r\n"))
	if interim, err = checkStatusLine(string(lines[0])); err != nil {
		return false, err
	}
	var framing framing
	for _, line := range lines[1:] {
		name, value, ok := bytes.Cut(line, []byte(":"))
		switch {
		case !ok:
			return false, errors.Wrap(ErrMalformed, "field without a colon")
		case !isToken(name):
			return false, errors.Wrapf(ErrMalformed, "field name %q", name)
		case !isText(value):
			return false, errors.Wrapf(ErrMalformed, "value of field %s", name)
		}
		framing.add(string(name), strings.Trim(string(value), " \t"))
	}
	return interim, framing.check()
}

// checkStatusLine checks a status line and reports whether it begins an interim answer.
func checkStatusLine(line string) (interim bool, err error) {
	rest, ok := strings.CutPrefix(line, "HTTP/1.1 ")
	if !ok {
		rest, ok = strings.CutPrefix(line, "HTTP/1.0 ")
	}
	const digits = 3
	if !ok || len(rest) < digits || len(rest) > digits && rest[digits] != ' ' || !isText([]byte(rest)) {
		return false, errors.Wrap(ErrMalformed, "status line")
	}
	code := rest[:digits]
	switch {
	case strings.Trim(code, "0123456789") != "", code[0] < '1', code[0] > '5':
		return false, errors.Wrapf(ErrMalformed, "status code %q", code)
	case code == "101":
		return false, errors.Wrap(ErrMalformed, "switch to a protocol that was not asked for")
	}
	return code[0] == '1', nil
}

// framing is what the fields of a head say about the length of the body.
type framing struct {
	lengths   []string // Content-Length.
	encodings []string // Transfer-Encoding.
}

func (f *framing) add(name, value string) {
	switch {
	case strings.EqualFold(name, "Content-Length"):
		f.lengths = append(f.lengths, value)
	case strings.EqualFold(name, "Transfer-Encoding"):
		f.encodings = append(f.encodings, value)
	}
}

// check returns an error if readers may disagree about the length.
func (f *framing) check() error {
	if len(f.lengths)+len(f.encodings) > 1 {
		return errors.Wrap(ErrMalformed, "several lengths of the body")
	}
	for _, length := range f.lengths {
		if length == "" || strings.Trim(length, "0123456789") != "" {
			return errors.Wrapf(ErrMalformed, "Content-Length %q", length)
		}
	}
	for _, encoding := range f.encodings {
		if !strings.EqualFold(encoding, "chunked") {
			return errors.Wrapf(ErrMalformed, "Transfer-Encoding %q", encoding)
		}
	}
	return nil
}

// isToken reports whether a field name is a token of RFC 9110.
func isToken(name []byte) bool {
	const marks = "!#$%&'*+-.^_`|~"
	for _, b := range name {
		letter := 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z'
		digit := '0' <= b && b <= '9'
		if !letter && !digit && strings.IndexByte(marks, b) < 0 {
			return false
		}
	}
	return len(name) > 0
}

// isText reports whether a text holds no control characters other than tabs.
func isText(text []byte) bool {
	for _, b := range text {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}
