package broken

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Ending is how an EarlyServer ends a connection whose request it has not read.
type Ending struct {
	Name string
	// IsWhole says that the answer is complete: the server ends its side and reads on.
	IsWhole bool

	end func(conn *net.TCPConn)
}

const (
	// readTime is how long the client has to read the answer before the connection ends.
	readTime = 10 * time.Millisecond
	// slowPart is the size of one read of a slow server, slowPause the pause between two reads.
	slowPart  = 512 << 10
	slowPause = 10 * time.Millisecond
)

// Endings returns all endings.
func Endings() []Ending {
	return []Ending{
		{"reset", false, func(conn *net.TCPConn) { _ = conn.SetLinger(0) }},
		{"closed with bytes unread", false, func(*net.TCPConn) {}},
		{"closed in one direction, then reset", false, func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(readTime)
			_ = conn.SetLinger(0)
		}},
		{"closed in one direction, read on", true, func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		}},
		{"closed in one direction, read on slowly", true, func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			for {
				if _, err := io.CopyN(io.Discard, conn, slowPart); err != nil {
					return
				}
				time.Sleep(slowPause)
			}
		}},
	}
}

// EarlyServer answers each request once it has read its head, and ends the connection while the body is still being written.
type EarlyServer struct {
	// Answer returns the answer to a request.
	Answer func(r *http.Request) string
	Ending Ending

	ended    sync.WaitGroup
	requests atomic.Int32
}

// Requests returns the number of requests received so far.
func (s *EarlyServer) Requests() int { return int(s.requests.Load()) }

// Start starts the server until the test ends and returns its address.
func (s *EarlyServer) Start(t Test) netip.AddrPort {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.ended.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.ended.Go(func() { s.serve(conn) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		s.ended.Wait()
	})
	return netip.MustParseAddrPort(l.Addr().String())
}

func (s *EarlyServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	s.requests.Add(1)
	if _, err := io.WriteString(conn, s.Answer(r)); err != nil {
		return
	}
	time.Sleep(readTime)
	if c, ok := conn.(*net.TCPConn); ok {
		s.Ending.end(c)
	}
}
