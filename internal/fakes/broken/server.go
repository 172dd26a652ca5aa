// Package broken is a stand-in for HTTP servers in trouble: it answers requests with raw bytes, which need not be valid HTTP.
package broken

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
)

// Test is the test that a Server is started for.
type Test interface {
	Helper()
	Context() context.Context
	Cleanup(f func())
	Fatal(args ...any)
}

// Server answers each request with the text that Answer returns for it.
type Server struct {
	// Answer returns the answer to a request.
	Answer func(r *http.Request) string
	// KeepsOpen leaves connections open after an answer.
	KeepsOpen bool
	// Listener accepts the connections; nil means one on loopback.
	Listener net.Listener

	ended sync.WaitGroup

	mu       sync.Mutex
	conns    map[net.Conn]bool
	requests []*http.Request
}

// Start starts the server until the test ends and returns its address.
func (s *Server) Start(t Test) netip.AddrPort {
	t.Helper()
	if s.Listener == nil {
		l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s.Listener = l
	}
	s.conns = make(map[net.Conn]bool)
	s.ended.Go(s.accept)
	t.Cleanup(func() {
		_ = s.Listener.Close()
		s.mu.Lock()
		for conn := range s.conns {
			_ = conn.Close()
		}
		s.mu.Unlock()
		s.ended.Wait()
	})
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

// Requests returns the requests received so far.
func (s *Server) Requests() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*http.Request(nil), s.requests...)
}

func (s *Server) accept() {
	for {
		conn, err := s.Listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		s.ended.Go(func() { s.serve(conn) })
	}
}

func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		s.mu.Lock()
		s.requests = append(s.requests, r)
		s.mu.Unlock()
		if _, err := io.WriteString(conn, s.Answer(r)); err != nil || !s.KeepsOpen {
			return
		}
	}
}
