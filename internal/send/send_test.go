package send

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// serve answers each connection with a text, followed without end by filler if there is any, until the caller closes. It
// returns the address and the number of bytes that each connection took.
func serve(t *testing.T, text, filler string) (netip.AddrPort, <-chan int) {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	taken := make(chan int, 1)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		n, err := io.WriteString(conn, text)
		for err == nil && filler != "" {
			var more int
			more, err = io.WriteString(conn, filler)
			n += more
		}
		taken <- n
	}()
	return netip.MustParseAddrPort(l.Addr().String()), taken
}

// maxTaken allows for the buffers of both sockets beside the limit.
const maxTaken = 16 << 20

func TestHeadsWithoutEnd(t *testing.T) {
	for _, tc := range []struct{ name, text, filler string }{
		{"no line", "", strings.Repeat("x", 1000)},
		{"one header", "HTTP/1.1 200 OK\r\nA: ", strings.Repeat("x", 1000)},
		{"headers", "HTTP/1.1 200 OK\r\n", "A: 1\r\n"},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			address, taken := serve(t, tc.text, tc.filler)
			_, err := Open(t.Context(), address, &Request{Method: http.MethodGet, Target: "/", Host: "h"})
			assert.Assert(t, errors.Is(err, ErrInvalidAnswer), "%v", err)
			assert.Assert(t, !errors.Is(err, ErrNotSent), "the request may have run")
			assert.Assert(t, <-taken < maxTaken, "the connection is closed")
		})
	}
}

func TestBodiesAreNotLimitedByTheHeadsLimit(t *testing.T) {
	body := strings.Repeat("b", 3*maxHeadBytes)
	address, _ := serve(t, "HTTP/1.1 200 OK\r\nContent-Length: 196608\r\n\r\n"+body, "")
	answer, err := Open(t.Context(), address, &Request{Method: http.MethodGet, Target: "/", Host: "h"})
	assert.NilError(t, err)
	defer answer.Close()
	got, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(got), body)
}

func TestUnframedAnswers(t *testing.T) {
	for _, tc := range []struct {
		name, head, body string
		want             bool
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "ok", false},
		{"no body", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", false},
		{"status without a body", "HTTP/1.1 204 No Content\r\n\r\n", "", false},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\nok\r\n0\r\n\r\n", false},
		{"neither", "HTTP/1.1 200 OK\r\n\r\n", "ok", true},
		{"neither, closed by its headers", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "ok", true},
		{"neither, older version", "HTTP/1.0 200 OK\r\n\r\n", "ok", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			address, _ := serve(t, tc.head+tc.body, "")
			answer, err := Open(t.Context(), address, &Request{Method: http.MethodGet, Target: "/", Host: "h"})
			assert.NilError(t, err)
			defer answer.Close()
			assert.Equal(t, answer.IsUnframed, tc.want)
			_, err = io.ReadAll(answer.Body)
			assert.NilError(t, err)
		})
	}
}

// TestHeadsThatStopInTheMiddle guards against an answer whose head was cut and that is passed on with an empty or short body.
func TestHeadsThatStopInTheMiddle(t *testing.T) {
	for _, tc := range []struct{ name, head string }{
		{"length", "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: s1\r\nContent-Length: 120\r\nX-Folded: a\r\n b\r\n\r\n"},
		{"chunks", "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: s1\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{"neither", "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: s1\r\nContent-Type: text/event-stream\r\n\r\n"},
		{"bare line breaks", "HTTP/1.1 200 OK\nAttempt-Id: a1\nResponse-Signature: s1\nContent-Length: 120\n\n"},
		{"older version", "HTTP/1.0 200 OK\r\nAttempt-Id: a1\r\nContent-Length: 120\r\n\r\n"},
		{"after an interim answer", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Length: 120\r\n\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for n := range len(tc.head) {
				address, _ := serve(t, tc.head[:n], "")
				answer, err := Open(t.Context(), address, &Request{Method: http.MethodPost, Target: "/", Host: "h"})
				if err == nil {
					answer.Close()
				}
				assert.Assert(t, errors.IsAny(err, ErrBroken, ErrInvalidAnswer), "cut after %q: %v", tc.head[:n], err)
			}
		})
	}
}
