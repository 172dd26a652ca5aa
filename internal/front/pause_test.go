package front_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
)

// TestServerThatWantsNothingGetsNoRequests checks 503 answers with a Retry-After: at most two requests within it are allowed.
func TestServerThatWantsNothingGetsNoRequests(t *testing.T) {
	const pause = 800 * time.Millisecond
	r := newRig(t, 4)
	r.Pool.Notices = r.notices
	servers := []*plat.Server{r.engines[1], r.engines[3]}
	for _, e := range servers {
		e.Script = func(conn net.Conn, q *plat.Request) bool {
			plat.Reply(conn, q, http.StatusServiceUnavailable, "", "Not-Executed: 1\r\nRetry-After: 0.8\r\n")
			return true
		}
	}
	for began := time.Now(); time.Since(began) < 2*pause; time.Sleep(10 * time.Millisecond) {
		r.do(t, callerRequest{path: "/book/x", key: "k1"})
	}
	for _, e := range servers {
		requests := e.Requests()
		assert.Assert(t, len(requests) >= 2, "the servers are asked again once the time has passed: %d requests", len(requests))
		for i := 1; i < len(requests); i++ {
			gap := requests[i].At.Sub(requests[i-1].At)
			assert.Assert(t, gap >= pause, "request %d came %s after the one before", i+1, gap)
		}
	}
}

// TestCallersReturnWhenAServerWantsRequestsAgain checks the refusals while all servers want nothing.
func TestCallersReturnWhenAServerWantsRequestsAgain(t *testing.T) {
	for _, tc := range []struct {
		stated   string
		min, max float64
		// isKept reports whether the stated time keeps requests away.
		isKept bool
	}{
		{"3", 2.5, 3, true},
		{"1.5", 1, 1.5, true},
		{"86400000000000000000", 5, 86400, true},
		{"0", 0.4, 0.4, false},
		{"-3", 0.4, 0.4, false},
		{"Sat, 05 Dec 2026 07:00:00 GMT", 0.4, 0.4, false},
		{"NaN", 0.4, 0.4, false},
	} {
		t.Run(tc.stated, func(t *testing.T) {
			r := newRig(t, 2)
			r.Pool.Notices = r.notices
			r.engines[1].Script = func(conn net.Conn, q *plat.Request) bool {
				plat.Reply(conn, q, http.StatusServiceUnavailable, "", fmt.Sprintf("Not-Executed: 1\r\nRetry-After: %s\r\n", tc.stated))
				return true
			}
			var refused reply
			for range 5 {
				refused = r.do(t, callerRequest{path: "/book/x", key: "k1"})
			}
			assert.Assert(t, refused.status == http.StatusTooManyRequests || !tc.isKept && refused.status == http.StatusServiceUnavailable, refused.status)
			seconds, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
			assert.NilError(t, err)
			assert.Assert(t, seconds >= tc.min && seconds <= tc.max, seconds)
			assert.Equal(t, len(r.engines[1].Requests()) == 1, tc.isKept)
		})
	}
}
