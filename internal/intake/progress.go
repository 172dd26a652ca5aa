package intake

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

type connKey struct{}

// WithConn is the http.Server.ConnContext of a server on a Listener.
func WithConn(ctx context.Context, nc net.Conn) context.Context {
	if c, ok := nc.(*conn); ok {
		return context.WithValue(ctx, connKey{}, &Conn{c})
	}
	return ctx
}

// Conn is the connection of a request.
type Conn struct{ conn *conn }

// ConnOf returns the connection of a request's context; nil if it has none.
func ConnOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Progress returns the bytes that the other end has acknowledged, and those that wait in the kernel.
func (c *Conn) Progress() (acknowledged uint64, waiting int, err error) {
	socket, ok := c.conn.Conn.(syscall.Conn)
	if !ok {
		return 0, 0, errors.New("the connection is no socket")
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, 0, errors.Wrap(err, "get socket")
	}
	var errs [2]error
	controlErr := raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		info, errs[0] = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if errs[0] == nil {
			acknowledged = info.Bytes_acked
		}
		waiting, errs[1] = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	return acknowledged, waiting, errors.Join(controlErr, errs[0], errs[1])
}
