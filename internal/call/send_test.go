package call_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/call"
)

// resetServer resets the connection after each request; with answerOnce it answers the first request.
type resetServer struct {
	listener   net.Listener
	answerOnce bool
	wait       sync.WaitGroup
	mu         sync.Mutex
	requests   int
}

func newResetServer(t *testing.T, answerOnce bool) *resetServer {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &resetServer{listener: l, answerOnce: answerOnce}
	s.wait.Go(s.accept)
	t.Cleanup(func() {
		_ = l.Close()
		s.wait.Wait()
	})
	return s
}

func (s *resetServer) address() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

func (s *resetServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.wait.Go(func() { s.serve(c) })
	}
}

func (s *resetServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		s.mu.Lock()
		s.requests++
		first := s.answerOnce && s.requests == 1
		s.mu.Unlock()
		if !first {
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	}
}

func (s *resetServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

func options(newConnection bool) call.SendOptions {
	return call.SendOptions{Limit: 5 * time.Second, Remaining: 5 * time.Second, NewConnection: newConnection}
}

func TestSenderNeverRepeatsASend(t *testing.T) {
	tests := []struct {
		name          string
		method        string
		body          string
		header        http.Header
		newConnection bool
	}{
		{"get without body", http.MethodGet, "", nil, false},
		{"get without body, fresh", http.MethodGet, "", nil, true},
		{"post", http.MethodPost, "slot", nil, false},
		{"post with a key", http.MethodPost, "slot", http.Header{"Idempotency-Key": {"k"}}, false},
		{"delete with a key, fresh", http.MethodDelete, "", http.Header{"Idempotency-Key": {"k"}}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newResetServer(t, true)
			h := call.NewHTTPSender()
			defer h.Close()
			first := h.Send(t.Context(), s.address(), call.Call{Method: http.MethodGet, Path: "/"}, options(false))
			assert.Equal(t, first.Event, call.EventAnswered)
			c := call.Call{Method: tt.method, Path: "/", Body: []byte(tt.body), Header: tt.header}
			sent := h.Send(t.Context(), s.address(), c, options(tt.newConnection))
			assert.Equal(t, sent.Event, call.EventLost)
			assert.Equal(t, s.count(), 2)
		})
	}
}

// TestPlainClientRepeats shows that net/http's transport retries a POST with an Idempotency-Key by itself, which
// HTTPSender prevents.
func TestPlainClientRepeats(t *testing.T) {
	s := newResetServer(t, true)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for range 2 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.address().String(), strings.NewReader("slot"))
		assert.NilError(t, err)
		req.Header.Set("Idempotency-Key", "k")
		resp, err := client.Do(req)
		if err == nil {
			_ = resp.Body.Close()
		}
	}
	assert.Equal(t, s.count(), 3)
}

func TestUnreachableOnlyWithoutConnection(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed := netip.MustParseAddrPort(l.Addr().String())
	assert.NilError(t, l.Close())
	h := call.NewHTTPSender()
	defer h.Close()
	sent := h.Send(t.Context(), closed, call.Call{Method: http.MethodPost, Path: "/"}, options(true))
	assert.Equal(t, sent.Event, call.EventUnreachable)
	sent = h.Send(t.Context(), newResetServer(t, false).address(), call.Call{Method: http.MethodPost, Path: "/"}, options(true))
	assert.Equal(t, sent.Event, call.EventLost)
}

func TestTimeoutHeaderAndAnswerLimit(t *testing.T) {
	timeouts := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		timeouts <- r.Header.Get(call.HeaderTimeout)
		_, _ = w.Write([]byte("0123456789"))
	}))
	defer server.Close()
	addr := netip.MustParseAddrPort(server.Listener.Addr().String())
	tests := []struct {
		name  string
		limit int64
		want  call.Event
	}{
		{"at the limit", 10, call.EventAnswered},
		{"over the limit", 9, call.EventLost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := call.NewHTTPSender()
			defer h.Close()
			h.AnswerBytes = tt.limit
			sent := h.Send(t.Context(), addr, call.Call{Method: http.MethodGet, Path: "/"}, options(false))
			assert.Equal(t, sent.Event, tt.want)
			assert.Equal(t, errors.Is(sent.Err, call.ErrAnswerTooLarge), tt.want == call.EventLost)
			ms, err := strconv.Atoi(<-timeouts)
			assert.NilError(t, err)
			assert.Equal(t, ms, 5000)
		})
	}
}

func TestSendEndsAtItsLimit(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer server.Close()
	h := call.NewHTTPSender()
	defer h.Close()
	addr := netip.MustParseAddrPort(server.Listener.Addr().String())
	sent := h.Send(t.Context(), addr, call.Call{Method: http.MethodGet, Path: "/"}, call.SendOptions{Limit: 20 * time.Millisecond})
	assert.Equal(t, sent.Event, call.EventLost)
	assert.Assert(t, errors.Is(sent.Err, context.DeadlineExceeded))
}
