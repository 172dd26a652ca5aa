package mirror

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
)

var (
	// errSilent means that no bytes have arrived from a host for too long.
	errSilent = errors.New("host is silent")
	// errSlow means that an answer took longer than its question allows.
	errSlow = errors.New("host answers too slowly")
)

// conn is a connection to another host that records when bytes arrive. A list for many hosts may take seconds on the link of
// a host that is well.
type conn struct {
	*grpc.ClientConn

	mu       sync.Mutex
	lastRead time.Time
}

// dial opens the connection.
func (c *conn) dial(ctx context.Context, address string) (net.Conn, error) {
	opened, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to host")
	}
	return &recordedConn{opened, c}, nil
}

// recordedConn records reads.
type recordedConn struct {
	net.Conn

	owner *conn
}

// Read implements net.Conn.
func (r *recordedConn) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	if n > 0 {
		r.owner.mu.Lock()
		r.owner.lastRead = time.Now()
		r.owner.mu.Unlock()
	}
	return n, err //nolint:wrapcheck // callers test for the errors of net.Conn
}

// silence ends a call when its connection is silent.
type silence struct {
	conn   *conn
	since  time.Time
	cancel func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// limitSilence calls cancel once no bytes have arrived for responseTimeout after a wait.
func (c *conn) limitSilence(wait time.Duration, cancel func()) *silence {
	s := &silence{conn: c, since: time.Now().Add(wait), cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(wait+responseTimeout, s.check)
	return s
}

func (s *silence) check() {
	s.conn.mu.Lock()
	last := s.conn.lastRead
	s.conn.mu.Unlock()
	if last.Before(s.since) {
		last = s.since
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	if left := responseTimeout - time.Since(last); left > 0 {
		s.timer.Reset(left)
		return
	}
	s.cancel()
}

func (s *silence) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
}
