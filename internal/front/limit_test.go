package front_test

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
)

// limitAll makes all servers state a limit and the host learn it.
func limitAll(t *testing.T, r *rig, path, limit string) {
	t.Helper()
	r.Pool.Notices = r.notices
	for _, e := range r.engines {
		e.State("Server-Limit: " + limit + "\r\n")
	}
	for range 3 * len(r.engines) {
		r.do(t, callerRequest{path: path, key: "k1"})
	}
}

func TestRequestBeyondAllLimitsIsRefusedAtOnce(t *testing.T) {
	r := newRig(t, 2)
	r.Pool.Notices = r.notices
	r.engines[1].State("Server-Limit: 0.2\r\n")
	assert.Equal(t, r.do(t, callerRequest{path: "/book/x", key: "k1"}).status, http.StatusOK)
	var refused reply
	for range 3 {
		refused = r.do(t, callerRequest{path: "/book/x", key: "k1"})
	}
	assert.Equal(t, refused.status, http.StatusTooManyRequests)
	seconds, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, seconds >= 0.4 && seconds <= 10, seconds)
	assert.Assert(t, len(r.engines[1].Requests()) <= 2)
}

func TestRetriesKeepToLimits(t *testing.T) {
	r := newRig(t, 4)
	limitAll(t, r, "/read/x", "0.1")
	for _, e := range r.engines {
		e.Script = func(conn net.Conn, q *plat.Request) bool {
			plat.Reply(conn, q, http.StatusInternalServerError, "", plat.Signature)
			return true
		}
	}
	before := len(r.engines[1].Requests()) + len(r.engines[3].Requests())
	began := time.Now()
	for range 20 {
		r.do(t, callerRequest{path: "/read/x", key: "k1"})
	}
	after := len(r.engines[1].Requests()) + len(r.engines[3].Requests())
	assert.Assert(t, time.Since(began) < 2*time.Second && after-before <= 4, "%d requests reached servers that take one in ten seconds", after-before)
}

// TestPlainRequestsWaitForTheNextSend checks requests that find no send at their host for a moment.
func TestPlainRequestsWaitForTheNextSend(t *testing.T) {
	r := newRig(t, 2)
	next := table()
	next.Version = 2
	for _, path := range []string{"/book/x", "/read/x"} {
		next.Match("h.example", path).LatencyTarget = 400 * time.Millisecond
	}
	r.Tables.PutIfNewer(next)
	limitAll(t, r, "/book/x", "10")
	for range 8 {
		assert.Equal(t, r.do(t, callerRequest{path: "/book/x", key: "k1"}).status, http.StatusOK)
	}
	for _, e := range r.engines {
		e.State("Server-Limit: 1\r\n")
	}
	refused := 0
	began := time.Now()
	for range 8 {
		if r.do(t, callerRequest{path: "/read/x", key: "k1"}).status == http.StatusTooManyRequests {
			refused++
		}
	}
	assert.Assert(t, refused >= 5 && time.Since(began) < 2*time.Second, "%d refused, %s", refused, time.Since(began))
}
