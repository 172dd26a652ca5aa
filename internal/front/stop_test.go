package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
)

// TestStoppingHostTakesNoStreamThatItMayCut guards against streams that are taken late in a planned stop and cut at its end.
func TestStoppingHostTakesNoStreamThatItMayCut(t *testing.T) {
	const rerouted, notRerouted = -time.Second, time.Second
	for _, tc := range []struct {
		name, path string
		// usage and hint are the caller's maximum of output tokens and its estimate.
		usage, hint    string
		rerouted, left time.Duration
		isTaken        bool
	}{
		{"long stream with a low estimate", "/report/x", "100,4000", "1", rerouted, 2800 * time.Millisecond, false},
		{"long stream before callers could avoid the host", "/report/x", "100,4000", "1", notRerouted, 2800 * time.Millisecond, false},
		{"no maximum stated", "/report/x", "", "1", rerouted, 2800 * time.Millisecond, false},
		{"its time limit ends before the host", "/report/x", "100,4000", "1", rerouted, 4 * time.Second, true},
		{"short maximum, with latency targets", "/brief/x", "100,16", "16", rerouted, 2800 * time.Millisecond, true},
		{"short maximum, high estimate", "/brief/x", "100,16", "4000", rerouted, 2800 * time.Millisecond, true},
		{"long maximum, with latency targets", "/brief/x", "100,4000", "1", rerouted, 2800 * time.Millisecond, false},
		{"largest maximum", "/brief/x", "100,9223372036854775807", "1", rerouted, 2800 * time.Millisecond, false},
		{"plain, time limit beyond the end", "/open/x", "", "", rerouted, 1900 * time.Millisecond, false},
		{"plain, before callers could avoid the host", "/open/x", "", "", notRerouted, 1900 * time.Millisecond, true},
		{"plain, its time limit ends before the host", "/read/x", "", "", rerouted, 1900 * time.Millisecond, true},
		{"plain, just before the end", "/read/x", "", "", notRerouted, time.Second, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, 2)
			r.StopAt(time.Now().Add(tc.rerouted), time.Now().Add(tc.left))
			request := callerRequest{method: http.MethodPost, path: tc.path, key: "k1", headers: map[string]string{"Deadline-Ms": "3000"}}
			if tc.usage != "" {
				request.headers["Token-Usage"] = tc.usage
			}
			if tc.hint != "" {
				request.headers["Length-Hint"] = tc.hint
			}
			got := r.do(t, request)
			if tc.isTaken {
				assert.Equal(t, got.status, http.StatusOK)
				return
			}
			assert.Equal(t, got.status, http.StatusServiceUnavailable)
			assert.Assert(t, got.header.Get("Retry-After") != "")
			assert.Equal(t, len(r.received()), 0)
		})
	}
}

// outcomes returns the outcomes in the lines of requests that ended.
func (r *logRecorder) outcomes() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []string
	for line := range strings.Lines(r.text.String()) {
		if _, rest, isEnd := strings.Cut(line, `msg="request ended"`); isEnd {
			_, rest, _ = strings.Cut(rest, "outcome=")
			outcome, _, _ := strings.Cut(rest, " ")
			all = append(all, outcome)
		}
	}
	return all
}

// TestRequestsInProgressAtTheEndOfAStopEndWithALine guards against requests that a stop cuts without an answer or a log line.
func TestRequestsInProgressAtTheEndOfAStopEndWithALine(t *testing.T) {
	post := func(path, body string) callerRequest {
		return callerRequest{method: http.MethodPost, path: path, key: "k1", body: body}
	}
	for _, tc := range []struct {
		name    string
		request callerRequest
		// runs is the number of backend servers that run the request; it waits if there are none.
		runs int
		// script is what the backend servers do.
		script  plat.Script
		status  int
		outcome string
		isCut   bool
	}{
		{"plain, at work", post("/book/x", "b"), 1, silent, http.StatusBadGateway, "failed", false},
		{"stream before its first event", post("/report/x", "b"), 1, silent, http.StatusBadGateway, "failed", false},
		{"stream within its events", post("/report/x", "b"), 1, nil, http.StatusOK, "cut", true},
		{"stream that waits for a backend server", post("/note/x", "b"), 0, nil, http.StatusServiceUnavailable, "refused", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, 2)
			r.fill(tc.runs == 0)
			lines := r.recordLog()
			for _, e := range r.engines {
				e.Events, e.Script = 1000, tc.script
			}
			tc.request.headers = map[string]string{"Token-Usage": "800,16", "Deadline-Ms": "60000"}
			ended := make(chan reply, 1)
			go func() { ended <- r.do(t, tc.request) }()
			eventually(t, "the request to be sent or to wait", func() bool { return len(r.received()) == tc.runs && r.waiting() == 1-tc.runs })
			time.Sleep(100 * time.Millisecond)
			began := time.Now()
			r.Abort()
			r.Wait(t.Context())
			assert.Assert(t, time.Since(began) < time.Second)
			got := <-ended
			assert.Equal(t, got.status, tc.status)
			assert.Equal(t, got.err != nil, tc.isCut)
			assert.DeepEqual(t, lines.outcomes(), []string{tc.outcome})
			assert.Equal(t, r.do(t, post("/read/x", "")).status, http.StatusServiceUnavailable, "later requests are refused")
		})
	}
}

// TestBodyThatIsReadAtTheEndOfAStopIsRefused checks that a caller that is still sending is told that nothing has run.
func TestBodyThatIsReadAtTheEndOfAStopIsRefused(t *testing.T) {
	r := newRig(t, 2)
	lines := r.recordLog()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", strings.TrimPrefix(r.server.URL, "http://"))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /book/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nKey: k1\r\nContent-Length: 10\r\n\r\nhalf", attempt)
	assert.NilError(t, err)
	time.Sleep(100 * time.Millisecond)
	r.Abort()
	r.Wait(t.Context())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.DeepEqual(t, lines.outcomes(), []string{"refused"})
	assert.Equal(t, len(r.received()), 0)
}

// silent is a script of a backend server that runs requests and does not answer.
func silent(conn net.Conn, _ *plat.Request) bool {
	_, _ = io.Copy(io.Discard, conn)
	return true
}

// TestNoPlainRequestLateInAStopIsCut guards against requests, also those that run once, that are taken late in a stop and cut without
// an answer at its end. The backend servers of this test don't answer.
func TestNoPlainRequestLateInAStopIsCut(t *testing.T) {
	for _, path := range []string{"/book/x", "/read/x", "/open/x", "/once/x"} {
		t.Run(path, func(t *testing.T) {
			r := newRig(t, 8)
			for _, e := range r.engines {
				e.Script = silent
			}
			const grace = 2500 * time.Millisecond
			r.StopAt(time.Now().Add(300*time.Millisecond), time.Now().Add(grace))
			var senders sync.WaitGroup
			var mu sync.Mutex
			statuses := make(map[int]int)
			for i := range 24 {
				senders.Go(func() {
					time.Sleep(time.Duration(i) * 100 * time.Millisecond)
					resp, err := r.try(t.Context(), callerRequest{method: http.MethodPost, path: path, key: "k1", body: "b"})
					if !assert.Check(t, err, "no answer to the request of %d ms", i*100) {
						return
					}
					defer func() { _ = resp.Body.Close() }()
					_, err = io.Copy(io.Discard, resp.Body)
					assert.Check(t, err)
					mu.Lock()
					defer mu.Unlock()
					statuses[resp.StatusCode]++
				})
			}
			time.Sleep(grace)
			r.Abort()
			senders.Wait()
			assert.Assert(t, statuses[http.StatusServiceUnavailable] >= 8, "late requests are refused: %v", statuses)
			assert.Assert(t, statuses[http.StatusGatewayTimeout]+statuses[http.StatusBadGateway] > 0, "earlier ones are taken: %v", statuses)
		})
	}
}
