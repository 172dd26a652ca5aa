// Package whole decides whether an answer that ends with its connection is complete. A connection that is reset while the request is still
// being written fails the write only: the reader of the answer sees a proper end.
package whole

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// ErrReset says that a connection was reset before its answer had ended.
var ErrReset = errors.New("connection was reset within the answer")

const (
	// maxWait bounds how long the end of an answer waits for the end of its request. A server that ends its answer early may read on for
	// longer; a reset comes a round trip after the next bytes.
	maxWait = time.Second
	// pollInterval is the interval of looks at what the other side has not acknowledged.
	pollInterval = 2 * time.Millisecond
)

// Upload is the writing of a request beside the reading of its answer.
type Upload struct {
	once  sync.Once
	ended chan struct{}
	err   error
}

// NewUpload returns an upload that has not ended.
func NewUpload() *Upload { return &Upload{ended: make(chan struct{})} }

// End records that the request has been written, or why it has not; only the first call counts.
func (u *Upload) End(err error) {
	u.once.Do(func() {
		u.err = err
		close(u.ended)
	})
}

// Check waits for the end of the upload at the end of an answer. It returns ErrReset if the request could not be written, or if what was
// written has been answered by a reset. A server that has ended its side of the connection and reads on has answered whole, also if it reads
// for longer than a second.
func (u *Upload) Check(ctx context.Context, conn net.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	select {
	case <-u.ended:
		if u.err != nil {
			return errors.Mark(errors.Wrap(u.err, "write the request"), ErrReset)
		}
	case <-ctx.Done():
	}
	return awaitAcknowledged(ctx, conn)
}

// awaitAcknowledged waits until the other side has acknowledged all that was written. It returns ErrReset if the connection was reset.
func awaitAcknowledged(ctx context.Context, conn net.Conn) error {
	if encrypted, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = encrypted.NetConn()
	}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil //nolint:nilerr // a connection without a socket, or a closed one, says nothing
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		pending, failure := 0, 0
		_ = raw.Control(func(fd uintptr) {
			// What can't be read is 0, which says nothing.
			pending, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
			failure, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		})
		if failure != 0 {
			return errors.Mark(syscall.Errno(failure), ErrReset)
		}
		if pending == 0 {
			return nil
		}
		timer.Reset(pollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// Body is the body of an answer that ends with its connection.
type Body struct {
	io.ReadCloser

	// Check returns an error if the connection was reset.
	Check func() error

	err error
}

// Read implements io.Reader. The end is io.EOF only if the answer is complete.
func (b *Body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.EOF
		if failure := b.Check(); failure != nil {
			err = failure
		}
	}
	b.err = err
	return n, err //nolint:wrapcheck // callers test for io.EOF
}
