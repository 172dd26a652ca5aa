package front_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
	"github.com/tarragonspur/tarragonspur/internal/notice"
	"github.com/tarragonspur/tarragonspur/internal/pool"
)

func streamRequest(path string) callerRequest {
	return callerRequest{method: http.MethodPost, path: path, key: "k1", body: "prompt", headers: map[string]string{"Token-Usage": "500,4000"}}
}

func TestCompleteStream(t *testing.T) {
	r := newRig(t, 1)
	resp := r.do(t, streamRequest("/report/x"))
	assert.NilError(t, resp.err)
	body := resp.text
	assert.Equal(t, resp.header.Get("Content-Type"), "text/event-stream")
	assert.Equal(t, resp.header.Get("Response-Signature"), "s1")
	assert.Equal(t, body, fullStream(20))
}

func TestEventsAreForwardedAsTheyArrive(t *testing.T) {
	r := newRig(t, 1)
	r.engines[0].Pause = 100 * time.Millisecond
	began := time.Now()
	resp, err := r.try(t.Context(), streamRequest("/report/x"))
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	line, err := bufio.NewReader(resp.Body).ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, line, "id: 0\n")
	assert.Assert(t, time.Since(began) < time.Second, "the whole stream takes 2 s")
}

// runningEngine returns the engine that runs the rig's stream.
func (r *rig) runningEngine(t *testing.T) *plat.Server {
	t.Helper()
	var found *plat.Server
	eventually(t, "the stream to run", func() bool {
		for _, e := range r.engines {
			if e.InProgress() > 0 && e.Runs() > 0 {
				found = e
			}
		}
		return found != nil
	})
	return found
}

func (r *rig) index(e *plat.Server) int {
	for i, one := range r.engines {
		if one == e {
			return i
		}
	}
	return -1
}

func TestStreamIsResumedElsewhere(t *testing.T) {
	tests := []struct {
		name, path string
		// fault is injected at the engine that runs the stream.
		fault func(r *rig, e *plat.Server)
		// hasStandby reports whether standby copies are enabled.
		hasStandby bool
		completes  bool
	}{
		{"at its standby copy after a crash", "/report/x", func(_ *rig, e *plat.Server) { e.Crash() }, true, true},
		{"not without a copy", "/report/x", func(_ *rig, e *plat.Server) { e.Crash() }, false, false},
		{"on any server where the route is resumable", "/note/x", func(_ *rig, e *plat.Server) { e.Crash() }, false, true},
		{"by live migration before its engine leaves", "/report/x", func(r *rig, e *plat.Server) { r.put(r.index(e), true) }, true, true},
		{"at a copy on demand before its engine leaves", "/report/x", func(r *rig, e *plat.Server) {
			r.put(r.index(e), true)
			time.AfterFunc(time.Second, e.Crash)
		}, false, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, 5)
			for _, e := range r.engines {
				e.Events, e.Pause = 60, 20*time.Millisecond
			}
			if !tc.hasStandby {
				service := table().Services["model"]
				service.Engine.SupportsStandby = false
				next := table()
				next.Version, next.Services["model"] = 2, service
				r.Tables.PutIfNewer(next)
			}
			done := make(chan struct{})
			var body string
			var err error
			go func() {
				defer close(done)
				resp, failure := r.try(t.Context(), streamRequest(tc.path))
				if failure != nil {
					err = failure
					return
				}
				defer func() { _ = resp.Body.Close() }()
				read, failure := io.ReadAll(resp.Body)
				body, err = string(read), failure
			}()
			first := r.runningEngine(t)
			time.Sleep(200 * time.Millisecond)
			tc.fault(r, first)
			<-done
			if !tc.completes {
				assert.Assert(t, err != nil, "a partial stream must not look complete")
				assert.Assert(t, strings.HasPrefix(fullStream(60), body))
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, body, fullStream(60))
			assert.Assert(t, len(r.received()) >= 2)
			if strings.HasPrefix(tc.path, "/report") {
				for _, q := range r.received()[1:] {
					if q.Header.Get("Kv-From") == "" {
						assert.Equal(t, q.Header.Get("Last-Event-Id"), "", "only the first send may start a run")
					}
				}
			}
		})
	}
}

func TestRunThatExceedsItsEstimateIsMigrated(t *testing.T) {
	r := newRig(t, 5)
	for _, e := range r.engines {
		e.Events, e.Pause = 60, 20*time.Millisecond
	}
	ask := streamRequest("/report/x")
	ask.headers["Length-Hint"] = "10"
	done := make(chan reply)
	go func() { done <- r.do(t, ask) }()
	first := r.runningEngine(t)
	time.Sleep(300 * time.Millisecond)
	r.put(r.index(first), true)
	time.AfterFunc(400*time.Millisecond, first.Crash)
	resp := <-done
	assert.NilError(t, resp.err)
	assert.Equal(t, resp.text, fullStream(60))
}

func TestMigrationWaitsForPrefill(t *testing.T) {
	for _, tc := range []struct {
		name string
		// prefilled is when the other engines have finished their prefills; least and most bound the time until the
		// migration.
		prefilled, least, most time.Duration
	}{
		{"until they are finished", 300 * time.Millisecond, 250 * time.Millisecond, 800 * time.Millisecond},
		{"but not until its engine shuts down", time.Hour, 800 * time.Millisecond, 1300 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, 5)
			for _, e := range r.engines {
				e.Events, e.Pause = 75, 20*time.Millisecond
			}
			done := make(chan error)
			go func() {
				resp, err := r.try(t.Context(), streamRequest("/report/x"))
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
				done <- err
			}()
			first := r.runningEngine(t)
			time.Sleep(100 * time.Millisecond)
			r.Pool.SetRemoteLoads("other", map[string]pool.Load{"a": {PendingPromptTokens: 5000}, "c": {PendingPromptTokens: 5000}, "e": {PendingPromptTokens: 5000}})
			leavingAt := time.Now()
			r.put(r.index(first), true)
			timer := time.AfterFunc(tc.prefilled, func() { r.Pool.SetRemoteLoads("other", nil) })
			defer timer.Stop()
			eventually(t, "the migration", func() bool { return len(r.received()) == 2 })
			took := time.Since(leavingAt)
			assert.Assert(t, took > tc.least && took < tc.most, took)
			assert.NilError(t, <-done)
		})
	}
}

// disableStandbyCopies installs a table whose engines make no standby copies.
func (r *rig) disableStandbyCopies() {
	next := table()
	next.Version, next.Services["model"].Engine.SupportsStandby = 2, false
	r.Tables.PutIfNewer(next)
}

func TestRunsAreCopiedWhileNoticesMayBeMissed(t *testing.T) {
	tests := []struct {
		name string
		// makeUncertain lets shutdown notices of the engine that runs the stream be missed.
		makeUncertain func(r *rig, e *plat.Server)
	}{
		{"the store is unreachable", func(r *rig, _ *plat.Server) { r.storeDown.Store(true) }},
		{"the engine's entry vanished during an outage", func(r *rig, e *plat.Server) {
			r.Pool.Remove(e.ID, time.Now().Add(time.Hour), time.Now())
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, 5)
			for _, e := range r.engines {
				e.Events, e.Pause = 60, 20*time.Millisecond
			}
			r.disableStandbyCopies()
			rec := r.recordLog()
			done := make(chan reply)
			go func() { done <- r.do(t, streamRequest("/report/x")) }()
			first := r.runningEngine(t)
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, r.copies.Count(), 0, "nothing is copied without a reason")
			tc.makeUncertain(r, first)
			eventually(t, "a completed copy", func() bool { return r.copies.Count() == 1 && rec.hasMessage("run copied on demand") })
			first.Crash()
			resp := <-done
			assert.NilError(t, resp.err)
			assert.Equal(t, resp.text, fullStream(60))
		})
	}
}

func TestPrecautionaryCopyIsFreedWhenTheStoreIsBack(t *testing.T) {
	r := newRig(t, 5)
	for _, e := range r.engines {
		e.Events, e.Pause = 60, 20*time.Millisecond
	}
	r.disableStandbyCopies()
	done := make(chan reply)
	go func() { done <- r.do(t, streamRequest("/report/x")) }()
	r.runningEngine(t)
	r.storeDown.Store(true)
	eventually(t, "a copy", func() bool { return r.copies.Count() == 1 })
	r.storeDown.Store(false)
	eventually(t, "the copy to be freed", func() bool { return r.copies.Count() == 0 })
	resp := <-done
	assert.NilError(t, resp.err)
	assert.Equal(t, resp.text, fullStream(60))
}

// TestServerThatWantsNothingIsNotAskedForCopies checks the calls that hosts make on their own.
func TestServerThatWantsNothingIsNotAskedForCopies(t *testing.T) {
	for _, tc := range []struct {
		name string
		// isSource reports whether the run's server wants nothing, in place of all others.
		isSource bool
	}{{"of its runs", true}, {"that it holds", false}} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, 5)
			r.Pool.Notices = r.notices
			for _, e := range r.engines {
				e.Events, e.Pause = 60, 20*time.Millisecond
			}
			r.disableStandbyCopies()
			done := make(chan reply)
			go func() { done <- r.do(t, streamRequest("/report/x")) }()
			source := r.runningEngine(t)
			pause := func(e *plat.Server) {
				r.notices.Heard(notice.Server{ID: e.ID, Service: "model"}, notice.Statement{Pause: time.Minute})
			}
			if tc.isSource {
				pause(source)
			}
			r.storeDown.Store(true)
			if !tc.isSource {
				eventually(t, "a copy", func() bool { return r.copies.Count() == 1 })
				for _, e := range r.engines {
					pause(e)
				}
			}
			time.Sleep(300 * time.Millisecond)
			r.storeDown.Store(false)
			resp := <-done
			assert.NilError(t, resp.err)
			assert.Equal(t, resp.text, fullStream(60))
			made := 0
			for _, q := range source.Requests() {
				if strings.HasSuffix(q.URL.Path, "/kv-move") {
					made++
				}
			}
			assert.Equal(t, made == 0, tc.isSource, "%d copies were asked for", made)
			assert.Equal(t, r.copies.Count() == 0, tc.isSource, "the copy is left to expire")
		})
	}
}

func TestPrecautionaryCopyIsRefreshed(t *testing.T) {
	r := newRig(t, 5)
	var copies atomic.Int32
	for _, e := range r.engines {
		e.Events, e.Pause = 220, 20*time.Millisecond
		e.Script = func(_ net.Conn, q *plat.Request) bool {
			if strings.HasSuffix(q.URL.Path, "/kv-move") {
				copies.Add(1)
			}
			return false
		}
	}
	next := table()
	next.Version, next.Services["model"].Engine.SupportsStandby = 2, false
	next.Match("h.example", "/report/x").Timeout = 10 * time.Second
	r.Tables.PutIfNewer(next)
	r.storeDown.Store(true)
	done := make(chan reply)
	ask := streamRequest("/report/x")
	ask.headers["Deadline-Ms"] = "9000"
	go func() { done <- r.do(t, ask) }()
	resp := <-done
	assert.NilError(t, resp.err)
	assert.Equal(t, resp.text, fullStream(220))
	assert.Equal(t, copies.Load(), int32(2), "a copy is renewed after 3 s of 4.4")
	eventually(t, "the copy to be freed", func() bool { return r.copies.Count() == 0 })
}

func TestStreamFaults(t *testing.T) {
	tests := []struct {
		name  string
		parts []string
		// ends reports whether the engine terminates the stream properly.
		ends bool
		want string
	}{
		{"connection closed inside an event", []string{plat.Event(attempt, 0), "id: 1\nda"}, false, plat.Event(attempt, 0)},
		{"proper end inside an event", []string{plat.Event(attempt, 0), "id: 1\nda"}, true, plat.Event(attempt, 0)},
		{"missing event", []string{plat.Event(attempt, 0), plat.Event(attempt, 2)}, true, plat.Event(attempt, 0)},
		{"event without a number", []string{plat.Event(attempt, 0), "id: x\ndata: y\n\n"}, true, plat.Event(attempt, 0)},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, 1)
			r.engines[0].Script = func(conn net.Conn, q *plat.Request) bool {
				plat.WriteStreamHeader(conn, q)
				for _, part := range tc.parts {
					_ = plat.WriteChunk(conn, part)
				}
				if tc.ends {
					_ = plat.WriteChunk(conn, "")
				}
				return true
			}
			got := r.do(t, streamRequest("/report/x"))
			body, err := got.text, got.err
			assert.Assert(t, err != nil, "the stream is incomplete")
			assert.Equal(t, body, tc.want)
		})
	}
}

func TestDuplicateEventIsForwardedOnce(t *testing.T) {
	r := newRig(t, 1)
	r.engines[0].Script = func(conn net.Conn, q *plat.Request) bool {
		plat.WriteStreamHeader(conn, q)
		for _, n := range []int{0, 1, 1, 0, 2} {
			_ = plat.WriteChunk(conn, plat.Event(attempt, n))
		}
		_ = plat.WriteChunk(conn, "")
		return true
	}
	got := r.do(t, streamRequest("/report/x"))
	body, err := got.text, got.err
	assert.NilError(t, err)
	assert.Equal(t, body, fullStream(3))
}

func TestStreamBeforeItsFirstEvent(t *testing.T) {
	tests := []struct {
		name, path string
		script     plat.Script
		status     int
	}{
		{"not run, so another engine runs it", "/report/x", answering(false, http.StatusServiceUnavailable, "", "Not-Executed: 1\r\n", nil), http.StatusOK},
		{"may have run, so it is not repeated", "/report/x", func(net.Conn, *plat.Request) bool { return true }, http.StatusBadGateway},
		{"may be resumed, so it is repeated", "/note/x", func(net.Conn, *plat.Request) bool { return true }, http.StatusOK},
		{"failed by its engine", "/report/x", answering(false, http.StatusInternalServerError, "boom", plat.Signature, nil), http.StatusInternalServerError},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, 3)
			var used atomic.Int32
			for _, i := range []int{0, 2} {
				r.engines[i].Script = func(conn net.Conn, q *plat.Request) bool {
					if used.Add(1) > 1 {
						return false
					}
					return tc.script(conn, q)
				}
			}
			resp := r.do(t, streamRequest(tc.path))
			assert.Equal(t, resp.status, tc.status)
			assert.NilError(t, resp.err)
			body := resp.text
			if tc.status == http.StatusOK {
				assert.Equal(t, body, fullStream(20))
			}
		})
	}
}
