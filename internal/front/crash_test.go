package front_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/crash"
	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
)

// crashUnder makes each engine crash when it begins to run a request whose headers or body contain a text.
func (r *rig) crashUnder(text string) {
	for _, e := range r.engines {
		e.Script = func(_ net.Conn, q *plat.Request) bool {
			if !strings.Contains(q.Text, text) && !strings.Contains(q.Header.Get("Prefix-Hash"), text) {
				return false
			}
			e.MarkRun(q)
			e.Crash()
			return true
		}
	}
}

// recover waits until crashes have been noticed, and restarts the engines after some seconds.
func (r *rig) recover(t *testing.T) {
	t.Helper()
	r.Wait(t.Context())
	r.later.Add(int64(5 * time.Second))
	for i, e := range r.engines {
		e.Restart()
		r.put(i, false)
	}
}

func TestQuarantinedRequestReachesNoServer(t *testing.T) {
	r := newRig(t, 4)
	r.crashUnder("deadly")
	request := callerRequest{method: http.MethodPost, path: "/book/x", key: "k1", body: "deadly"}
	for range 2 {
		assert.Equal(t, r.do(t, request).status, http.StatusBadGateway)
		r.recover(t)
	}
	before := len(r.received())
	resp := r.do(t, request)
	assert.Equal(t, resp.status, http.StatusServiceUnavailable)
	assert.Assert(t, resp.header.Get("Retry-After") != "")
	assert.Equal(t, len(r.received()), before)
	request.body = "sound"
	assert.Equal(t, r.do(t, request).status, http.StatusOK)
}

// report is a request for a stream whose prompt has the given parts beside one of its own.
func report(id int, parts string) callerRequest {
	return callerRequest{method: http.MethodPost, path: "/report/x", key: "k1", body: fmt.Sprint("prompt ", id), headers: map[string]string{
		"Token-Usage": "100,8", "Prefix-Hash": fmt.Sprintf("%s,%x:20", parts, 1000+id),
	}}
}

// deadlyRuns returns the number of requests with the part dead that engines received.
func (r *rig) deadlyRuns() int {
	runs := 0
	for _, q := range r.received() {
		if strings.Contains(q.Header.Get("Prefix-Hash"), "dead:") {
			runs++
		}
	}
	return runs
}

func TestPartOfPromptsThatCrashesEveryServerReachesFew(t *testing.T) {
	const sound, deadly = "aa:40,bb:40", "aa:40,bb:40,dead:40"
	r := newRig(t, 8)
	assert.Equal(t, r.do(t, report(0, sound)).status, http.StatusOK)
	r.crashUnder("dead:")
	for i := range 8 {
		resp, err := r.try(t.Context(), report(10+i, deadly))
		if err == nil {
			assert.Assert(t, resp.StatusCode >= http.StatusInternalServerError)
			_ = resp.Body.Close()
		}
		r.recover(t)
		assert.Equal(t, r.do(t, report(20+i, sound)).status, http.StatusOK, "sound requests with the other parts go on")
		r.later.Add(-int64(4 * time.Second))
	}
	assert.Equal(t, r.deadlyRuns(), 2)
	assert.Equal(t, r.guard.Quarantined(), 1)
}

// TestServersThatCrashAtTheBeginningOfAnswersAreEvidence guards against a first event that is taken as proof of a sound request.
func TestServersThatCrashAtTheBeginningOfAnswersAreEvidence(t *testing.T) {
	for _, tc := range []struct {
		name   string
		events int
		pause  time.Duration
	}{
		{"before the first event", 0, 0},
		{"after the first event", 1, 0},
		{"after the first event, later", 1, 300 * time.Millisecond},
		{"after some events", 5, 40 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, 8)
			assert.Equal(t, r.do(t, report(0, "aa:40")).status, http.StatusOK)
			for _, e := range r.engines {
				e.Script = func(conn net.Conn, q *plat.Request) bool {
					if !strings.Contains(q.Header.Get("Prefix-Hash"), "dead:") || q.Header.Get("Kv-From") != "" {
						return false
					}
					e.MarkRun(q)
					plat.WriteStreamHeader(conn, q)
					for n := range tc.events {
						_ = plat.WriteChunk(conn, plat.Event(q.Attempt(), n))
						time.Sleep(tc.pause)
					}
					e.Crash()
					return true
				}
			}
			for i := range 6 {
				if resp, err := r.try(t.Context(), report(10+i, "aa:40,dead:40")); err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
				r.recover(t)
				assert.Equal(t, r.do(t, report(20+i, "aa:40")).status, http.StatusOK, "sound requests with the other part go on")
				r.later.Add(-int64(4 * time.Second))
			}
			assert.Equal(t, r.deadlyRuns(), 2)
			assert.Equal(t, r.guard.Quarantined(), 1)
		})
	}
}

// TestBatchOfRequestsWithAPartThatCrashesServers guards against crashes of a batch of requests that count as one.
func TestBatchOfRequestsWithAPartThatCrashesServers(t *testing.T) {
	r := newRig(t, 16)
	assert.Equal(t, r.do(t, report(0, "aa:40")).status, http.StatusOK)
	r.crashUnder("dead:")
	for batch := range 2 {
		var calls sync.WaitGroup
		for i := range 6 {
			calls.Go(func() {
				if resp, err := r.try(t.Context(), report(10*(batch+1)+i, "aa:40,dead:40")); err == nil {
					_ = resp.Body.Close()
				}
			})
		}
		calls.Wait()
		r.recover(t)
	}
	runs := r.deadlyRuns()
	assert.Assert(t, runs <= 6, "the second batch reaches no server: %d", runs)
	assert.Equal(t, r.guard.Quarantined(), 1)
	assert.Equal(t, r.do(t, report(40, "aa:40")).status, http.StatusOK)
}

// TestStreamsThatWereGoingOnAreNotAccused guards against sound requests that are refused since their server crashed under another one.
func TestStreamsThatWereGoingOnAreNotAccused(t *testing.T) {
	r := newRig(t, 8)
	for _, e := range r.engines {
		e.Events, e.Pause = 200, 25*time.Millisecond
		e.Script = func(conn net.Conn, q *plat.Request) bool {
			if !strings.Contains(q.Header.Get("Prefix-Hash"), "dead:") {
				return false
			}
			e.MarkRun(q)
			e.Crash()
			return true
		}
	}
	// The part of this caller's own has never been answered.
	const own = "aa:40,0e4:40"
	for i := range 3 {
		resp, err := r.try(t.Context(), report(10+i, own))
		assert.NilError(t, err)
		time.Sleep(crash.ProofTime + 200*time.Millisecond)
		for _, e := range r.engines {
			if e.InProgress() > 0 {
				e.Crash()
			}
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		r.recover(t)
	}
	assert.Equal(t, r.guard.Quarantined(), 0)
	resp, err := r.try(t.Context(), report(20, own))
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

func TestPartIsServedAgainOnceATrialIsAnswered(t *testing.T) {
	const deadly = "aa:40,dead:40"
	r := newRig(t, 8)
	assert.Equal(t, r.do(t, report(0, "aa:40")).status, http.StatusOK)
	r.crashUnder("dead:")
	for i := range 2 {
		resp, err := r.try(t.Context(), report(10+i, deadly))
		if err == nil {
			_ = resp.Body.Close()
		}
		r.recover(t)
	}
	for _, e := range r.engines {
		e.Script = nil
	}
	assert.Equal(t, r.do(t, report(20, deadly)).status, http.StatusServiceUnavailable)
	r.later.Add(int64(time.Minute))
	assert.Equal(t, r.do(t, report(21, deadly)).status, http.StatusOK)
	assert.Equal(t, r.do(t, report(22, deadly)).status, http.StatusOK)
	assert.Equal(t, r.guard.Quarantined(), 0)
}

func TestRequestThatCrashesServersDoesNotGoOnAtItsCopies(t *testing.T) {
	r := newRig(t, 12)
	for _, e := range r.engines {
		e.Script = func(conn net.Conn, q *plat.Request) bool {
			if strings.HasPrefix(q.URL.Path, "/tarragonspur/") {
				return false
			}
			if backup := q.Header.Get("Kv-Backup"); backup != "" {
				r.copies.Add(backup + "/" + q.Attempt())
			}
			e.MarkRun(q)
			plat.WriteStreamHeader(conn, q)
			e.Crash()
			return true
		}
	}
	request := report(1, "aa:40,dead:40")
	request.headers["Token-Usage"] = "100,4000"
	resp, err := r.try(t.Context(), request)
	if err == nil {
		_ = resp.Body.Close()
	}
	r.Wait(t.Context())
	assert.Equal(t, len(r.received()), 2)
	assert.Equal(t, r.copies.Count(), 0, "copies are freed")
}

func TestServerThatCrashesWithinAnAnswerIsEvidence(t *testing.T) {
	for _, tc := range []struct {
		path string
		// sends is one more if a request is sent twice: the two crashes are so close that they count once.
		sends int
	}{{"/book/x", 2}, {"/read/x", 3}} {
		t.Run(tc.path, func(t *testing.T) {
			r := newRig(t, 8)
			for _, e := range r.engines {
				e.Script = func(conn net.Conn, q *plat.Request) bool {
					e.MarkRun(q)
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n%sContent-Length: 20\r\n\r\nhalf", q.Attempt(), plat.Signature)
					e.Crash()
					return true
				}
			}
			for i := range 6 {
				request := report(i, "aa:40,dead:40")
				request.path = tc.path
				assert.Assert(t, r.do(t, request).status >= http.StatusInternalServerError)
				r.recover(t)
			}
			assert.Equal(t, len(r.received()), tc.sends)
		})
	}
}

// TestLeavingServerThatExitsAfterItsRunsIsNoEvidence guards against crashes that are counted because a server which leaves closes its port
// soon after its last run has ended, beside those that are shown by a reset connection.
func TestLeavingServerThatExitsAfterItsRunsIsNoEvidence(t *testing.T) {
	for _, tc := range []struct {
		name string
		// crashes makes the server crash as its connection should end, in place of an exit after that.
		crashes bool
	}{{"exits", false}, {"crashes", true}} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, 4)
			r.disableStandbyCopies()
			for _, e := range r.engines {
				e.Events, e.Pause, e.IgnoresEnds = 60, 20*time.Millisecond, tc.crashes
			}
			ask := streamRequest("/report/x")
			ask.headers["Prefix-Hash"] = "aa:40"
			done := make(chan reply, 1)
			go func() { done <- r.do(t, ask) }()
			source := r.runningEngine(t)
			time.Sleep(100 * time.Millisecond)
			r.put(r.index(source), true)
			if tc.crashes {
				time.Sleep(150 * time.Millisecond) // it ignores the end of the request
			} else {
				eventually(t, "the runs to end", func() bool { return source.InProgress() == 0 })
				time.Sleep(5 * time.Millisecond)
			}
			source.Crash()
			time.Sleep(150 * time.Millisecond)
			crashes := 0
			for _, e := range r.guard.Report() {
				crashes += len(e.Crashes)
			}
			assert.Equal(t, crashes > 0, tc.crashes)
			got := <-done
			assert.NilError(t, got.err)
			assert.Equal(t, got.text, fullStream(60))
		})
	}
}
