// Package head checks the heads of HTTP/1.1 answers. net/http also reads statuses that HTTP does not have, and fields whose names hold
// blanks, and then looks for the body at the wrong place.
package head

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrInvalid says that the head of an answer, or of an interim answer before it, is not valid HTTP. The request may have run.
var ErrInvalid = errors.New("head of the answer is not valid HTTP")

// statusLine is the form of the start of a status line; 0 stands for a digit.
const statusLine = "HTTP/1.0 000"

const (
	minStatus = 100
	maxStatus = 599
)

// state says which part of an answer comes next.
type state int

const (
	atStatus state = iota
	inReason
	atField
	inName
	inValue
	atEnd
	inBody
)

// Checker checks the bytes of the answer to one request, up to the body. Its zero value expects the first byte.
type Checker struct {
	state state
	// column counts the bytes of the status line, status is its number so far.
	column, status int
}

// Check checks the next bytes. It returns the number of bytes before the first that is invalid, or all; the error is ErrInvalid.
func (c *Checker) Check(p []byte) (int, error) {
	for i, b := range p {
		if c.state == inBody {
			break
		}
		if err := c.next(b); err != nil {
			return i, err
		}
	}
	return len(p), nil
}

func (c *Checker) next(b byte) error {
	switch c.state {
	case atStatus:
		return c.nextOfStatus(b)
	case inReason, inValue:
		if b == '\n' {
			c.state = atField
		}
	case atField:
		// A line that begins with a blank would go on with the field before it: such lines are obsolete.
		switch {
		case b == '\n':
			c.endHead()
		case b == '\r':
			c.state = atEnd
		case httpguts.IsTokenRune(rune(b)):
			c.state = inName
		default:
			return errors.Wrapf(ErrInvalid, "byte %q at the start of a field", []byte{b})
		}
	case inName:
		switch {
		case b == ':':
			c.state = inValue
		case !httpguts.IsTokenRune(rune(b)):
			return errors.Wrapf(ErrInvalid, "byte %q in the name of a field", []byte{b})
		}
	case atEnd:
		if b != '\n' {
			return errors.Wrapf(ErrInvalid, "byte %q at the end of the head", []byte{b})
		}
		c.endHead()
	case inBody:
	}
	return nil
}

// nextOfStatus checks a byte of the status line, up to the one after the status.
func (c *Checker) nextOfStatus(b byte) error {
	if c.column == len(statusLine) {
		if !IsStatus(c.status) {
			return errors.Wrapf(ErrInvalid, "status %03d", c.status)
		}
		if b != ' ' && b != '\r' && b != '\n' {
			return errors.Wrapf(ErrInvalid, "byte %q after the status", []byte{b})
		}
		c.state = inReason
		return c.next(b)
	}
	isDigit := b >= '0' && b <= '9'
	if want := statusLine[c.column]; b != want && (want != '0' || !isDigit) {
		return errors.Wrapf(ErrInvalid, "byte %q in the status line", []byte{b})
	}
	if isDigit && c.column >= len(statusLine)-3 {
		c.status = 10*c.status + int(b-'0')
	}
	c.column++
	return nil
}

// endHead expects the body, or the next head after an interim answer.
func (c *Checker) endHead() {
	isInterim := c.status < http.StatusOK
	*c = Checker{state: inBody}
	if isInterim {
		c.state = atStatus
	}
}

// IsStatus reports whether a status is one of HTTP that an answer may have; no request asks for other protocols.
func IsStatus(status int) bool {
	return status >= minStatus && status <= maxStatus && status != http.StatusSwitchingProtocols
}

// IsSuccess reports whether a status is that of a success.
func IsSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}
