package front_test

import (
	"io"
	"net"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
)

// TestBrokenAnswerToTheEndOfARunIsNoProof guards against a second run beside one whose server answers the call that ends it with a broken
// answer.
func TestBrokenAnswerToTheEndOfARunIsNoProof(t *testing.T) {
	for _, tc := range []struct{ name, text string }{
		{"no HTTP", "error: out of memory\r\n\r\n"},
		{"another body", "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\nout of memory"},
		{"no copy's name", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"},
		{"a list of names", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"kvHandle\":[\"h\",1]}"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, 4)
			var runs atomic.Int32
			for _, e := range r.engines {
				e.Script = func(conn net.Conn, q *plat.Request) bool {
					switch {
					case q.URL.Path == movePath:
						_, _ = io.WriteString(conn, tc.text)
						return true
					case q.Header.Get("Token-Usage") == "":
						return false
					case runs.Add(1) > 1:
						return false
					}
					e.MarkRun(q)
					plat.WriteStreamHeader(conn, q)
					_ = plat.WriteChunk(conn, plat.Event(attempt, 0))
					return true // the connection breaks, and the run goes on
				}
			}
			got := r.do(t, streamRequest("/note/x"))
			assert.Equal(t, runs.Load(), int32(1), "another backend server received it beside a run at work")
			assert.Equal(t, got.text, fullStream(1))
			assert.Assert(t, got.err != nil, "the stream must not end as if it were complete")
		})
	}
}
