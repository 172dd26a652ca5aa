package intake

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// errClosed is the error of reading from a connection that was closed for a limit.
var errClosed = errors.Mark(errors.New("the connection was closed for a limit"), net.ErrClosed)

// conn is a connection of a Listener. Its phase follows what Go's HTTP server does with it: see Listener.Track and SetReadDeadline.
type conn struct {
	net.Conn
	listener *Listener
	remote   string
	member   *Member
	// phase is a copy of the member's.
	phase atomic.Int32
	// deadlines counts the read deadlines that were set since the server began to wait for the current request.
	deadlines atomic.Int32

	// The goroutine that reads uses these; the server has one at a time.
	head scanner
	rest tail
}

// The read deadlines that Go's server sets for one request, in this order. The first request of a connection has no awaitDeadline.
const (
	awaitDeadline = iota + 1
	headDeadline
	bodyDeadline
)

// Read counts what it returns before the server parses it.
func (c *conn) Read(p []byte) (int, error) {
	if Phase(c.phase.Load()) == Idle && c.deadlines.Load() <= awaitDeadline && c.rest.size > 0 {
		// The server reads while it waits for the next request only if nothing is left of the last one.
		c.rest = tail{}
		c.listener.release(c)
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	received := p[:n]
	switch Phase(c.phase.Load()) {
	case Idle, Unfinished:
		if !c.listener.receive(c, received) {
			return 0, errClosed
		}
	case Body, Running:
		c.rest.add(received)
	}
	return n, err
}

// SetReadDeadline sets the deadline, by which the phases of a request are known: Go's server sets one when it has parsed a head, also
// of a request that was already in its buffer, and removes it when it has read the request to its end, before the handler
// learns of that. So the request may have been forwarded from then on.
func (c *conn) SetReadDeadline(t time.Time) error {
	switch Phase(c.phase.Load()) {
	case Idle, Unfinished:
		switch c.deadlines.Add(1) {
		case headDeadline:
			c.listener.begin(c)
		case bodyDeadline:
			c.listener.enter(c, Body)
		}
	case Body:
		if t.IsZero() {
			c.listener.enter(c, Running)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

// CloseWrite closes the sending direction, which Go's server does before it waits for the caller to have read an error.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// kill closes the connection without a word to its other end, which may block under TLS.
func (c *conn) kill() {
	if secured, ok := c.Conn.(interface{ NetConn() net.Conn }); ok {
		_ = secured.NetConn().Close()
		return
	}
	_ = c.Conn.Close()
}
