package front_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
)

// TestAnswersWithoutEnd brings about servers in trouble that send bytes until the caller closes. Time limits are far away, so
// that only the bounds on bytes can end an answer.
func TestAnswersWithoutEnd(t *testing.T) {
	for _, tc := range []struct{ name, path, head, filler string }{
		{"plain, head", "/book/x", "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\n", "A: 1\r\n"},
		{"plain, body", "/book/x", "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Signature: s1\r\nConnection: close\r\n\r\n", strings.Repeat("x", 4096)},
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
