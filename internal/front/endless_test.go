package front_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
)

// TestAnswersWithoutEnd brings about servers in trouble that send bytes until the caller closes. Time limits are far away, so
// that only the bounds on bytes can end an answer.
func TestAnswersWithoutEnd(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Signature: s1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, tc := range []struct{ name, path, head, filler string }{
		{"plain, head", "/book/x", "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\n", "A: 1\r\n"},
		{"plain, body", "/book/x", "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Signature: s1\r\nConnection: close\r\n\r\n", strings.Repeat("x", 4096)},
		{"plain, no line", "/book/x", "", strings.Repeat("x", 4096)},
		{"plain, header", "/book/x", "HTTP/1.1 200 OK\r\nA: ", strings.Repeat("x", 4096)},
		{"plain, interim answers", "/book/x", "", "HTTP/1.1 103 Early Hints\r\nA: 1\r\n\r\n"},
		{"plain, chunks", "/book/x", chunked, strings.Repeat("400\r\n"+strings.Repeat("x", 1<<10)+"\r\n", 4)},
		{"plain, short chunks", "/book/x", chunked, strings.Repeat("10\r\n"+strings.Repeat("x", 16)+"\r\n", 1<<8)},
		{"plain, size of a chunk", "/book/x", chunked, strings.Repeat("0", 4096)},
		{"plain, extension of a chunk", "/book/x", chunked + "1;", strings.Repeat("x", 4096)},
		{"plain, extensions of chunks", "/book/x", chunked, strings.Repeat("1;"+strings.Repeat("x", 100)+"\r\nx\r\n", 100)},
		{"plain, trailers", "/book/x", chunked + "1\r\nx\r\n0\r\n", strings.Repeat("A: 1\r\n", 1<<10)},
		{"stream, trailers", "/report/x", chunked + "0\r\n", strings.Repeat("A: 1\r\n", 1<<10)},
		{"stream, event in chunks", "/report/x", chunked, strings.Repeat("1\r\nx\r\n", 1<<10)},
		{"stream, event of many lines", "/report/x", chunked, strings.Repeat("8\r\ndata: x\n\r\n", 1<<10)},
		{"stream, event of empty fields", "/report/x", chunked, strings.Repeat("2\r\n:\n\r\n", 1<<10)},
		{"stream, interim answers", "/report/x", "", "HTTP/1.1 103 Early Hints\r\nA: 1\r\n\r\n"},
		{"stream, body of a failure", "/report/x", "HTTP/1.1 500 Bad\r\nAttempt-Id: " + attempt + "\r\nConnection: close\r\n\r\n", strings.Repeat("x", 4096)},
		{"stream, event", "/report/x", "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Signature: s1\r\n\r\n", strings.Repeat("x", 4096)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, 2)
			next := table()
			next.Version = 2
			next.Match("h.example", tc.path).Timeout = time.Minute
			r.Tables.PutIfNewer(next)
			closed := make(chan error, len(r.engines))
			for _, e := range r.engines {
				e.Script = func(conn net.Conn, _ *plat.Request) bool {
					_, err := io.WriteString(conn, tc.head)
					for err == nil {
						_, err = io.WriteString(conn, tc.filler)
					}
					closed <- err
					return true
				}
			}
			got := r.do(t, callerRequest{method: http.MethodPost, path: tc.path, key: "k1", headers: map[string]string{"Token-Usage": "80,16", "Deadline-Ms": "60000"}})
			assert.Equal(t, got.status, http.StatusBadGateway, "it may have run, and is not run again")
			assert.Assert(t, <-closed != nil, "the connection is closed")
			assert.Equal(t, len(r.received()), 1)
		})
	}
}

// TestAnswersThatTrickleEndWithTheirRequest brings about servers in trouble that send a part of their answer now and then.
func TestAnswersThatTrickleEndWithTheirRequest(t *testing.T) {
	const (
		ok      = "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Signature: s1\r\n"
		chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
		limit   = 400 * time.Millisecond
	)
	for _, tc := range []struct {
		name, path, head, part string
		status                 int
	}{
		{"plain, head", "/book/x", ok, "A: 1\r\n", http.StatusGatewayTimeout},
		{"plain, interim answers", "/book/x", "", "HTTP/1.1 100 Continue\r\n\r\n", http.StatusGatewayTimeout},
		{"plain, body", "/book/x", ok + "\r\n", "x", http.StatusGatewayTimeout},
		{"plain, trailers", "/book/x", chunked + "1\r\nx\r\n0\r\n", "A: 1\r\n", http.StatusGatewayTimeout},
		{"plain, body of a failure", "/book/x", "HTTP/1.1 500 Bad\r\n\r\n", "x", http.StatusGatewayTimeout},
		{"stream, head", "/report/x", ok, "A: 1\r\n", http.StatusGatewayTimeout},
		{"stream, event", "/report/x", ok + "\r\n", "x", http.StatusGatewayTimeout},
		{"stream, later event", "/report/x", ok + "\r\n" + plat.Event(attempt, 0), "x", http.StatusOK},
		{"stream, comments", "/report/x", chunked + "6\r\nid: 0\n\r\n", "2\r\n:\n\r\n", http.StatusGatewayTimeout},
		{"stream, trailers", "/report/x", chunked + "0\r\n", "A: 1\r\n", http.StatusGatewayTimeout},
		{"stream, body of a failure", "/report/x", "HTTP/1.1 500 Bad\r\n\r\n", "x", http.StatusGatewayTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, 2)
			closed := make(chan error, 2*len(r.engines))
			for _, e := range r.engines {
				e.Script = func(conn net.Conn, _ *plat.Request) bool {
					_, err := io.WriteString(conn, tc.head)
					for err == nil {
						time.Sleep(10 * time.Millisecond)
						_, err = io.WriteString(conn, tc.part)
					}
					closed <- err
					return true
				}
			}
			began := time.Now()
			got := r.do(t, callerRequest{method: http.MethodPost, path: tc.path, key: "k1", headers: map[string]string{
				"Token-Usage": "80,16", "Deadline-Ms": strconv.FormatInt(limit.Milliseconds(), 10),
			}})
			assert.Assert(t, time.Since(began) < limit+time.Second, "%s", time.Since(began))
			assert.Equal(t, got.status, tc.status, "it may have run")
			assert.Equal(t, got.err != nil, tc.status == http.StatusOK, "a stream that has begun is cut")
			assert.Assert(t, <-closed != nil, "the connection is closed")
			assert.Equal(t, len(r.received()), 1)
		})
	}
}
