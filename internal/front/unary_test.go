package front_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
)

// answering returns a script that answers with a status, a body and headers.
func answering(ran bool, status int, body, headers string, e **plat.Server) plat.Script {
	return func(conn net.Conn, r *plat.Request) bool {
		if ran {
			(*e).MarkRun(r)
		}
		plat.Reply(conn, r, status, body, headers)
		return true
	}
}

func TestAnswersOfBackendServers(t *testing.T) {
	type want struct {
		status int
		body   string
		sends  int
	}
	signed := plat.Signature
	raw := func(text string) plat.Script {
		return func(conn net.Conn, _ *plat.Request) bool {
			_, _ = fmt.Fprint(conn, text)
			return true
		}
	}
	tests := []struct {
		name   string
		script plat.Script
		// book is the outcome of a non-idempotent request, read that of an idempotent one, whose second attempt reaches a
		// healthy backend server.
		book, read want
	}{
		{
			"refused as not run", answering(false, http.StatusServiceUnavailable, "", "Not-Executed: 1\r\n", nil),
			want{http.StatusOK, "answer to " + attempt, 2},
			want{http.StatusOK, "answer to " + attempt, 2},
		},
		{
			"another instance has the address", answering(false, http.StatusMisdirectedRequest, "", "", nil),
			want{http.StatusOK, "answer to " + attempt, 2},
			want{http.StatusOK, "answer to " + attempt, 2},
		},
		{
			"failure of its own", answering(false, http.StatusInternalServerError, "boom", signed, nil),
			want{http.StatusInternalServerError, "boom", 1},
			want{http.StatusOK, "answer to " + attempt, 2},
		},
		{
			"503 without Not-Executed", answering(false, http.StatusServiceUnavailable, "busy", signed, nil),
			want{http.StatusBadGateway, "", 1},
			want{http.StatusOK, "answer to " + attempt, 2},
		},
		{
			"success without signature", answering(false, http.StatusOK, "forged", "", nil),
			want{http.StatusBadGateway, "", 1},
			want{http.StatusOK, "answer to " + attempt, 2},
		},
		{
			"answer of another request", raw("HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n" + signed + "Content-Length: 2\r\n\r\nhi"),
			want{http.StatusBadGateway, "", 1},
			want{http.StatusOK, "answer to " + attempt, 2},
		},
		{
			"another request was not run", raw("HTTP/1.1 503 Busy\r\nAttempt-Id: other\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"),
			want{http.StatusBadGateway, "", 1},
			want{http.StatusOK, "answer to " + attempt, 2},
		},
		{
			"truncated answer", raw("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\n" + signed + "Content-Length: 20\r\n\r\nhalf"),
			want{http.StatusBadGateway, "", 1},
			want{http.StatusOK, "answer to " + attempt, 2},
		},
		{
			"bytes that are not HTTP", raw("\x00\x01garbage\r\n\r\n"),
			want{http.StatusBadGateway, "", 1},
			want{http.StatusOK, "answer to " + attempt, 2},
		},
		{
			"no answer at all", raw(""),
			want{http.StatusBadGateway, "", 1},
			want{http.StatusOK, "answer to " + attempt, 2},
		},
		{
			"answer without length", raw("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\n" + signed + "\r\nto the end"),
			want{http.StatusOK, "to the end", 1},
			want{http.StatusOK, "to the end", 1},
		},
		{
			"extra bytes after the answer", raw("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\n" + signed + "Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n"),
			want{http.StatusOK, "ok", 1},
			want{http.StatusOK, "ok", 1},
		},
	}
	for _, tc := range tests {
		for _, kind := range []struct {
			path string
			want want
		}{{"/book/x", tc.book}, {"/read/x", tc.read}} {
			t.Run(tc.name+kind.path, func(t *testing.T) {
				r := newRig(t, 4)
				var used atomic.Int32
				for _, i := range []int{1, 3} {
					r.engines[i].Script = func(conn net.Conn, q *plat.Request) bool {
						if used.Add(1) > 1 {
							return false
						}
						return tc.script(conn, q)
					}
				}
				resp := r.do(t, callerRequest{method: http.MethodPost, path: kind.path, key: "k1", body: "b"})
				assert.NilError(t, resp.err)
				body := resp.text
				assert.Equal(t, resp.status, kind.want.status, body)
				if kind.want.body != "" {
					assert.Equal(t, body, kind.want.body)
				}
				assert.Equal(t, len(r.received()), kind.want.sends)
			})
		}
	}
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	r := newRig(t, 4)
	r.denyRetries = true
	for _, i := range []int{1, 3} {
		r.engines[i].Script = answering(false, http.StatusInternalServerError, "boom", plat.Signature, nil)
	}
	assert.Equal(t, r.do(t, callerRequest{path: "/read/x", key: "k1"}).status, http.StatusInternalServerError)
	assert.Equal(t, len(r.received()), 1)
}

func TestUnreachableServerIsSkipped(t *testing.T) {
	r := newRig(t, 4)
	r.engines[1].Crash()
	for range 3 {
		assert.Equal(t, r.do(t, callerRequest{method: http.MethodPost, path: "/book/x", key: "k1", body: "b"}).status, http.StatusOK)
	}
}

func TestRouteTimeout(t *testing.T) {
	r := newRig(t, 2)
	r.engines[1].Delay = 5 * time.Second
	began := time.Now()
	resp := r.do(t, callerRequest{path: "/read/x", key: "k1"})
	assert.Equal(t, resp.status, http.StatusGatewayTimeout, "it may have run")
	took := time.Since(began)
	assert.Assert(t, took >= 600*time.Millisecond && took < 1100*time.Millisecond, took)
}

func TestDisconnectedCallerCancelsTheRequest(t *testing.T) {
	for _, tc := range []struct{ name, path string }{{"plain", "/read/x"}, {"stream", "/note/x"}} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, 2)
			for _, e := range r.engines {
				e.Events, e.Script = 100000, func(conn net.Conn, q *plat.Request) bool {
					if q.Header.Get("Token-Usage") != "" {
						return false
					}
					// The connection ends when the host closes it.
					_, _ = conn.Read(make([]byte, 1))
					return true
				}
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			headers := map[string]string{}
			if tc.name == "stream" {
				headers["Token-Usage"] = "100,4000"
			}
			go func() {
				resp, err := r.try(ctx, callerRequest{path: tc.path, key: "k1", headers: headers})
				if err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
			}()
			working := func() int { return r.engines[0].InProgress() + r.engines[1].InProgress() }
			eventually(t, "the request to reach a backend server", func() bool { return working() == 1 })
			cancel()
			left := time.Now()
			eventually(t, "the request to be cancelled", func() bool { return working() == 0 })
			assert.Assert(t, time.Since(left) < 500*time.Millisecond)
		})
	}
}
