package front_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
)

// TestRefusalWrittenOnceMoreIsNoPromise checks requests to a server that writes an earlier refusal once more before it answers: its
// promise not to run must not be taken for one about the request that it runs.
func TestRefusalWrittenOnceMoreIsNoPromise(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
	for _, tc := range []struct {
		name, path string
		status     int
		// runs is the number of runs in all.
		runs int
	}{
		{"a booking", "/book/x", http.StatusBadGateway, 1},
		{"a lookup", "/read/x", http.StatusOK, 2},
		{"a stream", "/report/x", http.StatusBadGateway, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, 4)
			var isFirst atomic.Bool
			isFirst.Store(true)
			var mu sync.Mutex
			connections := make(map[net.Conn]int)
			for _, e := range r.engines {
				e.Script = func(conn net.Conn, q *plat.Request) bool {
					mu.Lock()
					connections[conn]++
					mu.Unlock()
					if !isFirst.Swap(false) {
						return false
					}
					e.MarkRun(q)
					_, _ = fmt.Fprintf(conn, refusal, "earlier")
					plat.Reply(conn, q, http.StatusOK, "answer to "+attempt, plat.Signature)
					return true
				}
			}
			request := callerRequest{path: tc.path, key: "k1"}
			if tc.path == "/report/x" {
				request = streamRequest(tc.path)
			}
			assert.Equal(t, r.do(t, request).status, tc.status)
			runs := 0
			for _, e := range r.engines {
				runs += e.Runs()
			}
			assert.Equal(t, runs, tc.runs)
			// Calls that free copies may still come.
			mu.Lock()
			defer mu.Unlock()
			for _, n := range connections {
				assert.Equal(t, n, 1, "each connection takes one request, so nothing earlier can arrive on it")
			}
		})
	}
}

// TestErrorOfTheNextServerIsNotInTheStream checks streams that break after they have begun, where the next server answers with an
// error: the caller must receive the events only, and no proper end.
func TestErrorOfTheNextServerIsNotInTheStream(t *testing.T) {
	answer := func(status int, headers, body string) plat.Script {
		return func(conn net.Conn, q *plat.Request) bool {
			plat.Reply(conn, q, status, body, headers)
			return true
		}
	}
	raw := func(text string) plat.Script {
		return func(conn net.Conn, _ *plat.Request) bool {
			_, _ = fmt.Fprint(conn, text)
			return true
		}
	}
	for _, tc := range []struct {
		name string
		next plat.Script
	}{
		{"failed", answer(http.StatusInternalServerError, plat.Signature, "out of memory\n\n")},
		{"failed with what looks like an event", answer(http.StatusInternalServerError, plat.Signature+"Content-Type: text/event-stream\r\n", plat.Event(attempt, 2))},
		{"rejected", answer(http.StatusBadRequest, plat.Signature, "bad request")},
		{"timed out", answer(http.StatusGatewayTimeout, plat.Signature, "")},
		{"an error in place of events", answer(http.StatusOK, plat.Signature, "{\"error\":\"out of memory\"}\n\n")},
		{"an empty answer that is no stream", answer(http.StatusOK, plat.Signature, "")},
		{"an error that is cut off", raw("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 90\r\n\r\nout of")},
		{"a head in place of events", raw("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\n" + plat.Signature + "\r\nHTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")},
		{"a head that is no HTTP", raw("error: out of memory\r\n\r\n")},
	} {
		for _, path := range []string{"/note/x", "/report/x"} {
			t.Run(tc.name+" "+path, func(t *testing.T) {
				checkStreamThatGoesOn(t, path, tc.next)
			})
		}
	}
}

// checkStreamThatGoesOn sends a stream that breaks after two events and that the next server answers with no part of it. The caller must
// receive the two events only, and no proper end.
func checkStreamThatGoesOn(t *testing.T, path string, next plat.Script) {
	t.Helper()
	r := newRig(t, 5)
	var sends atomic.Int32
	for _, e := range r.engines {
		e.Script = func(conn net.Conn, q *plat.Request) bool {
			switch {
			case q.Header.Get("Token-Usage") == "":
				// A copy is freed.
				return false
			case sends.Add(1) > 1:
				return next(conn, q)
			}
			if backup := q.Header.Get("Kv-Backup"); backup != "" {
				r.copies.Add(backup + "/" + attempt)
			}
			plat.WriteStreamHeader(conn, q)
			_ = plat.WriteChunk(conn, plat.Event(attempt, 0)+plat.Event(attempt, 1))
			return true
		}
	}
	got := r.do(t, streamRequest(path))
	assert.Assert(t, sends.Load() >= 2, "the stream goes on at the next server")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.text, fullStream(2))
	assert.Assert(t, got.err != nil, "the stream must not end as if it were complete")
}

// TestHeadThatStopsInTheMiddleIsNoAnswer guards against a cut head that callers get as a whole answer with an empty or short body.
func TestHeadThatStopsInTheMiddleIsNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Signature: s1\r\n"
	for _, tc := range []struct{ name, text string }{
		{"status line", "HTTP/1.1 200"},
		{"between headers", head},
		{"within a header's name", head + "Content-Le"},
		{"within a length", head + "Content-Length: 1"},
		{"before the blank line", head + "Content-Length: 120\r\n"},
		{"within the blank line", head + "Content-Length: 120\r\n\r"},
		{"length without a body", head + "Content-Length: 120\r\n\r\n"},
		{"chunks without an end", head + "Transfer-Encoding: chunked\r\n\r\n"},
	} {
		for _, path := range []string{"/book/x", "/read/x", "/report/x"} {
			t.Run(tc.name+path, func(t *testing.T) {
				r := newRig(t, 4)
				for _, e := range r.engines {
					e.Script = func(conn net.Conn, q *plat.Request) bool {
						e.MarkRun(q)
						_, _ = conn.Write([]byte(tc.text))
						return true
					}
				}
				request := callerRequest{method: http.MethodPost, path: path, key: "k1", body: "b", headers: map[string]string{"Token-Usage": "100,8"}}
				got := r.do(t, request)
				assert.Equal(t, got.status, http.StatusBadGateway)
				assert.Assert(t, len(r.received()) == 1 || path == "/read/x", "it may have run")
			})
		}
	}
}
