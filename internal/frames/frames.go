// Package frames checks the heads of answers on HTTP/2 connections to other hosts. gRPC takes an answer by its trailers and does not look at
// the status of its head.
package frames

import (
	"context"
	"net"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc/credentials"

	"github.com/tarragonspur/tarragonspur/internal/head"
)

const (
	frameHeaderBytes = 9
	// maxBlockBytes bounds the fields of one head or of trailers, in compressed form.
	maxBlockBytes = 64 << 10
	// tableBytes is the size of the table of fields that an HTTP/2 server may use unless its client allows another one.
	tableBytes = 4 << 10
	// priorityBytes is the size of the priority that a head may begin with.
	priorityBytes = 5
)

// Credentials returns credentials whose connections fail with head.ErrInvalid once the head of an answer is broken.
func Credentials(c credentials.TransportCredentials) credentials.TransportCredentials {
	return checkedCredentials{c}
}

type checkedCredentials struct {
	credentials.TransportCredentials
}

// ClientHandshake implements credentials.TransportCredentials.
func (c checkedCredentials) ClientHandshake(ctx context.Context, authority string, opened net.Conn) (net.Conn, credentials.AuthInfo, error) {
	secured, info, err := c.TransportCredentials.ClientHandshake(ctx, authority, opened)
	if err != nil {
		return nil, nil, err //nolint:wrapcheck // gRPC tests for the errors of the credentials
	}
	return &conn{Conn: secured, checker: newChecker()}, info, nil
}

// Clone implements credentials.TransportCredentials.
func (c checkedCredentials) Clone() credentials.TransportCredentials {
	return checkedCredentials{c.TransportCredentials.Clone()}
}

// conn checks what is read from a connection.
type conn struct {
	net.Conn

	checker *checker
	invalid error
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.invalid != nil {
		return 0, c.invalid
	}
	n, err := c.Conn.Read(p)
	if c.invalid = c.checker.check(p[:n]); c.invalid != nil {
		return 0, c.invalid
	}
	return n, err //nolint:wrapcheck // gRPC tests for the errors of net.Conn
}

// checker checks the frames that a server sends.
type checker struct {
	decoder *hpack.Decoder
	// header is what has arrived of the header of the current frame, left the number of bytes of its payload that have not.
	header []byte
	left   int
	// payload is the payload of the current frame if it holds fields, block what the frames of one head hold so far.
	payload, block []byte
}

func newChecker() *checker {
	d := hpack.NewDecoder(tableBytes, nil)
	d.SetMaxStringLength(maxBlockBytes)
	return &checker{decoder: d, header: make([]byte, 0, frameHeaderBytes)}
}

func (c *checker) check(p []byte) error {
	for len(p) > 0 {
		if len(c.header) < frameHeaderBytes {
			n := min(frameHeaderBytes-len(c.header), len(p))
			c.header, p = append(c.header, p[:n]...), p[n:]
			if len(c.header) < frameHeaderBytes {
				return nil
			}
			c.left = int(c.header[0])<<16 | int(c.header[1])<<8 | int(c.header[2])
			c.payload = c.payload[:0]
		}
		n := min(c.left, len(p))
		if c.hasFields() {
			c.payload = append(c.payload, p[:n]...)
		}
		if len(c.payload) > maxBlockBytes {
			return errors.Wrapf(head.ErrInvalid, "more than %d bytes of fields", maxBlockBytes)
		}
		p = p[n:]
		if c.left -= n; c.left > 0 {
			continue
		}
		if err := c.endFrame(); err != nil {
			return err
		}
		c.header = c.header[:0]
	}
	return nil
}

func (c *checker) kind() http2.FrameType { return http2.FrameType(c.header[3]) }

func (c *checker) has(flag http2.Flags) bool { return http2.Flags(c.header[4]).Has(flag) }

func (c *checker) hasFields() bool {
	return c.kind() == http2.FrameHeaders || c.kind() == http2.FrameContinuation
}

// endFrame checks a head whose last frame has arrived.
func (c *checker) endFrame() error {
	switch c.kind() {
	case http2.FrameHeaders:
		fragment, err := c.fragment()
		if err != nil {
			return err
		}
		c.block = append(c.block[:0], fragment...)
	case http2.FrameContinuation:
		c.block = append(c.block, c.payload...)
	default:
		return nil
	}
	if len(c.block) > maxBlockBytes {
		return errors.Wrapf(head.ErrInvalid, "more than %d bytes of fields", maxBlockBytes)
	}
	if !c.has(http2.FlagHeadersEndHeaders) {
		return nil
	}
	fields, err := c.decoder.DecodeFull(c.block)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "decode fields"), head.ErrInvalid)
	}
	return checkFields(fields)
}

// fragment returns the fields of a frame without its padding and priority.
func (c *checker) fragment() ([]byte, error) {
	rest, padding := c.payload, 0
	if c.has(http2.FlagHeadersPadded) && len(rest) > 0 {
		rest, padding = rest[1:], int(rest[0])
	}
	if c.has(http2.FlagHeadersPriority) {
		rest = rest[min(priorityBytes, len(rest)):]
	}
	if padding > len(rest) {
		return nil, errors.Wrap(head.ErrInvalid, "padding is longer than its frame")
	}
	return rest[:len(rest)-padding], nil
}

// checkFields checks the fields of a head, which must have the status of gRPC's answers or of an interim answer, or of trailers.
func checkFields(fields []hpack.HeaderField) error {
	status, isTrailers := "", false
	for _, f := range fields {
		switch f.Name {
		case ":status":
			status = f.Value
		case "grpc-status":
			isTrailers = true
		}
	}
	code, err := strconv.Atoi(status)
	isInterim := err == nil && len(status) == 3 && code >= http.StatusContinue && code < http.StatusOK && code != http.StatusSwitchingProtocols
	if status == "200" || isInterim || status == "" && isTrailers {
		return nil
	}
	return errors.Wrapf(head.ErrInvalid, "status %q", status)
}
