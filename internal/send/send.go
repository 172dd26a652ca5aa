// Package send sends a single request to a backend server over a connection of its own.
package send

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/tarragonspur/tarragonspur/internal/head"
	"github.com/tarragonspur/tarragonspur/internal/whole"
)

// Errors of one send.
var (
	// ErrNotSent says that no byte of the request was sent, so that it did not run.
	ErrNotSent = errors.New("request was not sent")
	// ErrBroken says that the connection failed after the request was sent, so that it may have run.
	ErrBroken = errors.New("connection to the backend server broke")
	// ErrInvalidAnswer says that the backend server's answer is not valid HTTP.
	ErrInvalidAnswer = errors.New("answer is not valid HTTP")
	// ErrNoMemory says that a long head of an answer found no memory in Request.Memory.
	ErrNoMemory = errors.New("no memory for a long head")
)

// The limits of one connection.
const (
	// connectTimeout allows for one lost packet of the handshake, which TCP retransmits after a second.
	connectTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a dead connection within about 4 s.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = 700 * time.Millisecond
	keepAliveCount    = 3
	// readBufferBytes is enough for the events of a stream that arrive together.
	readBufferBytes = 4 << 10
	// maxHeadBytes bounds the bytes before the body of an answer, interim answers included: bytes that are no answer may come
	// without end.
	maxHeadBytes = 64 << 10
	// inlineBodyBytes is the largest body that is written before the answer is read.
	inlineBodyBytes = 16 << 10
	// headReadBytes bounds one read of a head. The last read is not counted, because it may contain bytes of the body.
	headReadBytes = 1 << 10
	// headerCostBytes is what the name and the value of a header take beside their bytes.
	headerCostBytes = 128
	// smallHeadBytes is what a head may take in memory that is not taken from Request.Memory.
	smallHeadBytes = 16 << 10
)

// Memory bounds the bytes that long heads of several answers take together.
type Memory interface {
	// Take takes a number of bytes; false if they aren't free.
	Take(n int) bool
	Release(n int)
}

// Request is an HTTP request to a backend server.
type Request struct {
	Method string
	// Target is the path and query as received from the caller.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody distinguishes an empty body from none.
	HasBody bool
	// Memory is where a long head of the answer is taken from, and left to the caller if there is an answer; nil means that long heads
	// are errors.
	Memory Memory
}

// Conn is a connection to a backend server on which no request has been sent yet.
type Conn struct{ conn net.Conn }

// Close closes the connection.
func (c *Conn) Close() { _ = c.conn.Close() }

// IsOpen reports whether the backend server has kept the connection so far: one that has too many resets new ones as soon as it has
// accepted them.
func (c *Conn) IsOpen() bool {
	conn, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	var buf [1]byte
	var n int
	var readErr error
	err = raw.Control(func(fd uintptr) { n, _, readErr = unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT) })
	return err == nil && (n > 0 || errors.Is(readErr, unix.EAGAIN))
}

// Answer is a backend server's answer; its body is read from the connection.
type Answer struct {
	Status int
	Header http.Header
	Body   io.Reader
	// IsUnframed says that the body has neither a length nor chunks and ends with the connection.
	IsUnframed bool

	conn          net.Conn
	stopAfterFunc func() bool
	closed        sync.Once
}

// EndRequest closes the connection towards the backend server, which cancels the request at most of them. Until a backend server closes its
// end too, the body has what it still sends. That end does not show that the request has ended.
func (a *Answer) EndRequest() error {
	if conn, ok := a.conn.(interface{ CloseWrite() error }); ok {
		return errors.Wrap(conn.CloseWrite(), "end request")
	}
	return errors.New("the connection has no ends to close apart")
}

// Close closes the connection, which cancels the request at the backend server if it is still running. It returns once the connection is
// closed, also if another goroutine has called it.
func (a *Answer) Close() {
	a.closed.Do(func() {
		a.stopAfterFunc()
		_ = a.conn.Close()
	})
}

// Connect opens a connection to a backend server. Errors are marked ErrNotSent.
func Connect(ctx context.Context, to netip.AddrPort) (*Conn, error) {
	dialer := net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	conn, err := dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "connect to %s", to), ErrNotSent)
	}
	return &Conn{conn: conn}, nil
}

// Open sends a request to a backend server over a new connection, see Conn.Send. Errors may be marked ErrNotSent too.
func Open(ctx context.Context, to netip.AddrPort, r *Request) (*Answer, error) {
	conn, err := Connect(ctx, to)
	if err != nil {
		return nil, err
	}
	return conn.Send(ctx, r)
}

// Send sends a request and reads the status and headers of its answer. When ctx ends, even while the body is read, the connection
// is closed. Errors are marked ErrBroken, ErrInvalidAnswer or ErrNoMemory.
func (c *Conn) Send(ctx context.Context, r *Request) (*Answer, error) {
	stopAfterFunc := context.AfterFunc(ctx, c.Close)
	answer, err := exchange(ctx, c.conn, r)
	if err != nil {
		stopAfterFunc()
		c.Close()
		if ctx.Err() != nil {
			err = errors.CombineErrors(ctx.Err(), err)
		}
		return nil, err
	}
	answer.conn, answer.stopAfterFunc = c.conn, stopAfterFunc
	return answer, nil
}

func exchange(ctx context.Context, conn net.Conn, r *Request) (*Answer, error) {
	requestHead := appendHead(make([]byte, 0, 1<<10), r)
	upload := whole.NewUpload()
	if len(r.Body) <= inlineBodyBytes {
		if _, err := conn.Write(append(requestHead, r.Body...)); err != nil {
			return nil, errors.Mark(errors.Wrap(err, "send request"), ErrBroken)
		}
		upload.End(nil)
	} else {
		// The backend server may answer before it has read a long body, so the body is written concurrently.
		// The goroutine ends when the connection is closed.
		go func() {
			_, err := conn.Write(requestHead)
			if err == nil {
				_, err = conn.Write(r.Body)
			}
			upload.End(err)
		}()
	}
	limited := &headReader{conn: conn, left: maxHeadBytes, memory: r.Memory}
	br := bufio.NewReaderSize(limited, readBufferBytes)
	for {
		resp, err := http.ReadResponse(br, &http.Request{Method: r.Method}) //nolint:bodyclose // Answer.Close ends the connection, and the body with it
		if err != nil {
			limited.release()
			if limited.invalid != nil {
				err = limited.invalid
			}
			return nil, readError(err)
		}
		if resp.StatusCode >= http.StatusContinue && resp.StatusCode < http.StatusOK {
			continue
		}
		limited.isBody = true
		isUnframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
		body := resp.Body
		if isUnframed {
			body = &whole.Body{ReadCloser: resp.Body, Check: func() error { return upload.Check(ctx, conn) }}
		}
		return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, IsUnframed: isUnframed}, nil
	}
}

// headReader reads from a connection, up to a limit until the head of an answer has been read, which it checks.
type headReader struct {
	conn    net.Conn
	checker head.Checker
	// invalid is the error of a head that is not valid HTTP.
	invalid error
	left    int
	isBody  bool
	memory  Memory
	// cost is what the head takes in memory, taken the part of it that is taken from memory.
	cost, taken int
}

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if r.isBody {
		return r.conn.Read(p)
	}
	if r.invalid != nil {
		return 0, r.invalid
	}
	if r.left <= 0 {
		return 0, errors.Newf("head of the answer exceeds %d bytes", maxHeadBytes)
	}
	if err := r.take(); err != nil {
		return 0, err
	}
	n, err := r.conn.Read(p[:min(len(p), r.left, headReadBytes)])
	r.left -= n
	r.cost += 2*n + headerCostBytes*bytes.Count(p[:n], []byte{'\n'})
	valid, invalid := r.checker.Check(p[:n])
	if invalid != nil {
		// A reader of lines drops the error that comes with a part of a line.
		r.invalid = invalid
		return valid, invalid
	}
	return n, err
}

// take takes memory for what has been read.
func (r *headReader) take() error {
	more := r.cost - smallHeadBytes - r.taken
	switch {
	case more <= 0:
		return nil
	case r.memory == nil:
		return errors.Newf("head of the answer takes more than %d bytes", smallHeadBytes)
	case !r.memory.Take(more):
		return errors.Wrapf(ErrNoMemory, "after %d bytes", maxHeadBytes-r.left)
	}
	r.taken += more
	return nil
}

func (r *headReader) release() {
	if r.taken > 0 {
		r.memory.Release(r.taken)
	}
}

// readError marks an error as ErrBroken if the connection failed, else as ErrInvalidAnswer unless it is ErrNoMemory.
func readError(err error) error {
	if errors.Is(err, ErrNoMemory) {
		return errors.Wrap(err, "read answer")
	}
	var netErr net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr) || errors.Is(err, net.ErrClosed) {
		return errors.Mark(errors.Wrap(err, "read answer"), ErrBroken)
	}
	return errors.Mark(errors.Wrap(err, "read answer"), ErrInvalidAnswer)
}

// appendHead appends the request line and the headers. It does not validate names and values, because net/http did
// when it received them from the caller.
func appendHead(b []byte, r *Request) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if r.HasBody || len(r.Body) > 0 {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "Connection: close\r\n\r\n"...)
}
