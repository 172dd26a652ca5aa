package intake

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"
)

// streamHeadBytes bounds the head of one call of another host, and maxCalls the calls of one connection at a time.
const (
	streamHeadBytes = 2 << 10
	maxCalls        = 16
	// streamBufferBytes is the size of the buffers of a connection over HTTP/2.
	streamBufferBytes = 8 << 10
)

// Calls wraps the listener of a gRPC server and follows its calls: a connection is unfinished until the request of its first
// call has arrived, and idle while it has none.
type Calls struct {
	*Listener
	handshake time.Duration

	mu    sync.Mutex
	conns map[string]*callsConn
}

// NewCalls wraps a listener for a gRPC server, which needs the options as well; handshake bounds the time until a connection speaks HTTP/2.
func NewCalls(l *Listener, handshake time.Duration) *Calls {
	return &Calls{Listener: l, handshake: handshake, conns: make(map[string]*callsConn)}
}

// Options returns the options of the server.
func (a *Calls) Options() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.StatsHandler(a), grpc.ConnectionTimeout(a.handshake),
		grpc.MaxHeaderListSize(streamHeadBytes), grpc.MaxConcurrentStreams(maxCalls),
		grpc.ReadBufferSize(streamBufferBytes), grpc.WriteBufferSize(streamBufferBytes),
	}
}

// Accept returns the next connection that has a place.
func (a *Calls) Accept() (net.Conn, error) {
	accepted, err := a.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callsConn{conn: accepted.(*conn), calls: a}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conns[c.remote] = c
	return c, nil
}

// callsConn is a connection of a gRPC server.
type callsConn struct {
	*conn
	calls *Calls
	// running counts the calls whose requests have arrived; the lock of calls guards it.
	running int
}

// Read counts what arrives before the first call.
func (c *callsConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && Phase(c.phase.Load()) == Unfinished {
		c.listener.charge(c.conn, int64(n))
	}
	return n, err
}

// SetReadDeadline sets the deadline; it says nothing of the calls.
func (c *callsConn) SetReadDeadline(t time.Time) error { return c.Conn.SetReadDeadline(t) }

// Close closes the connection.
func (c *callsConn) Close() error {
	c.calls.mu.Lock()
	if c.calls.conns[c.remote] == c {
		delete(c.calls.conns, c.remote)
	}
	c.calls.mu.Unlock()
	return c.conn.Close()
}

// call is one call in progress.
type call struct {
	conn    *callsConn
	arrived bool
}

type callKey struct{}

// TagRPC implements stats.Handler.
func (a *Calls) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, callKey{}, &call{})
}

// HandleRPC implements stats.Handler.
func (a *Calls) HandleRPC(ctx context.Context, event stats.RPCStats) {
	called, ok := ctx.Value(callKey{}).(*call)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch e := event.(type) {
	case *stats.InHeader:
		if e.RemoteAddr != nil {
			called.conn = a.conns[e.RemoteAddr.String()]
		}
	case *stats.InPayload:
		if called.conn == nil || called.arrived {
			return
		}
		called.arrived = true
		called.conn.running++
		if called.conn.running == 1 {
			a.enter(called.conn.conn, Running)
			a.release(called.conn.conn)
		}
	case *stats.End:
		if called.conn == nil || !called.arrived {
			return
		}
		called.conn.running--
		if called.conn.running == 0 {
			a.enter(called.conn.conn, Idle)
		}
	}
}

// TagConn implements stats.Handler.
func (a *Calls) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (a *Calls) HandleConn(context.Context, stats.ConnStats) {}
