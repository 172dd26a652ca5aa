package front_test

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
)

// TestServerThatCannotBeAskedKeepsItsStream guards against a migration that closes the connection to a run at a leaving server which
// takes no more connections: the server may work on after it has closed its end, and nothing could end the run.
func TestServerThatCannotBeAskedKeepsItsStream(t *testing.T) {
	for _, tc := range []struct {
		name string
		// refuse makes the path take no new connections.
		refuse func(p *path)
	}{
		{"its port is closed", func(p *path) { _ = p.listener.Close() }},
		{"it resets new connections", func(p *path) { p.isCut.Store(true) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, paths := newPathRig(t)
			rec := r.recordLog()
			both := r.recordOverlaps()
			for i, e := range r.engines {
				e.ClosesEnds = true
				record := e.Script
				e.Script = func(conn net.Conn, q *plat.Request) bool {
					if q.URL.Path == movePath {
						// From the copy on.
						tc.refuse(paths[i])
					}
					return record(conn, q)
				}
			}
			answers := make(chan reply, 1)
			go func() { answers <- r.do(t, streamRequest("/report/x")) }()
			source := r.runningEngine(t)
			time.Sleep(200 * time.Millisecond)
			p := paths[r.index(source)]
			r.putAt(r.index(source), p.address(), true)
			got := <-answers
			assert.NilError(t, got.err)
			assert.Equal(t, got.text, fullStream(60))
			assert.Assert(t, !both.Load(), "a backend server received the request while another one worked on it")
			assert.Equal(t, len(r.received()), 1, "backend servers that received the request")
			assert.Assert(t, rec.hasMessage("migration put off"))
		})
	}
}

// TestStandbyCopyIsUsedIfTheOneOfTheEndIsRefused guards against a stream that is cut although the backend server of its standby copy could
// go on: it refuses the copy that was made as the run was ended.
func TestStandbyCopyIsUsedIfTheOneOfTheEndIsRefused(t *testing.T) {
	r, paths := newPathRig(t)
	var refused atomic.Int32
	for _, e := range r.engines {
		e.ClosesEnds = true
		e.Script = func(conn net.Conn, q *plat.Request) bool {
			if !strings.HasSuffix(q.Header.Get("Kv-From"), "/h-"+attempt) {
				return false
			}
			refused.Add(1)
			plat.Reply(conn, q, http.StatusServiceUnavailable, "", "Not-Executed: 1\r\n")
			return true
		}
	}
	answers := make(chan reply, 1)
	go func() { answers <- r.do(t, streamRequest("/report/x")) }()
	source := r.runningEngine(t)
	time.Sleep(200 * time.Millisecond)
	r.putAt(r.index(source), paths[r.index(source)].address(), true)
	got := <-answers
	assert.NilError(t, got.err)
	assert.Equal(t, got.text, fullStream(60))
	assert.Equal(t, refused.Load(), int32(1), "copies refused")
	assert.Assert(t, !source.IsAtWork(attempt))
}

// TestMissingStandbyCopyEndsNoStream guards against a stream that is ended at its leaving server for the sake of a standby copy that its
// server has dropped for want of memory: the copy would be refused, and nothing could go on.
func TestMissingStandbyCopyEndsNoStream(t *testing.T) {
	for _, tc := range []struct {
		name string
		// refusesCopies says that the server of the standby copy has no room for a copy on demand either.
		refusesCopies bool
	}{{"it has room again", false}, {"it has no room", true}} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, 6)
			var standbyAt atomic.Value
			for _, e := range r.engines {
				// The standby copy never arrives.
				e.Events, e.Pause, e.BackupDelay = 100, 10*time.Millisecond, time.Hour
				e.Script = func(conn net.Conn, q *plat.Request) bool {
					if backup := q.Header.Get("Kv-Backup"); backup != "" && !q.ResumesRun() {
						standbyAt.Store(backup)
					}
					to, _ := standbyAt.Load().(string)
					isRefused := tc.refusesCopies && q.URL.Path == movePath && strings.Contains(q.Text, `"target":"`+to+`"`)
					if isRefused {
						plat.Reply(conn, q, http.StatusServiceUnavailable, "", "")
					}
					return isRefused
				}
			}
			ask := r.longRequest("/report/x", 6*time.Second)
			answers := make(chan reply, 1)
			go func() { answers <- r.do(t, ask) }()
			source := r.runningEngine(t)
			time.Sleep(700 * time.Millisecond)
			r.put(r.index(source), true)
			got := <-answers
			assert.NilError(t, got.err)
			assert.Equal(t, got.text, fullStream(100))
			assert.Equal(t, len(r.received()), 2, "the stream went on elsewhere")
		})
	}
}

// TestStandbyCopyIsUsedWhereNoCopyCanBeMade guards against a stream that stays at its leaving server although its standby copy is there,
// because no backend server takes a copy on demand.
func TestStandbyCopyIsUsedWhereNoCopyCanBeMade(t *testing.T) {
	r := newRig(t, 6)
	for _, e := range r.engines {
		e.Events, e.Pause = 100, 10*time.Millisecond
		e.Script = func(conn net.Conn, q *plat.Request) bool {
			isRefused := q.URL.Path == movePath && !strings.Contains(q.Text, `"last":true`)
			if isRefused {
				plat.Reply(conn, q, http.StatusServiceUnavailable, "", "")
			}
			return isRefused
		}
	}
	ask := r.longRequest("/report/x", 6*time.Second)
	answers := make(chan reply, 1)
	go func() { answers <- r.do(t, ask) }()
	source := r.runningEngine(t)
	time.Sleep(200 * time.Millisecond)
	leftAt := time.Now()
	r.put(r.index(source), true)
	eventually(t, "the stream to go on elsewhere", func() bool { return len(r.received()) == 2 })
	assert.Assert(t, time.Since(leftAt) < 600*time.Millisecond, "after %s", time.Since(leftAt))
	got := <-answers
	assert.NilError(t, got.err)
	assert.Equal(t, got.text, fullStream(100))
}

// TestServerThatResetsCallsKeepsItsRun guards against a second run beside one whose server is reached but takes no more connections: it
// resets the calls that end the run, which shows that it is there. Once it takes one, the stream continues elsewhere and is whole.
func TestServerThatResetsCallsKeepsItsRun(t *testing.T) {
	for _, tc := range []struct {
		name, path string
		// target is the route's latency target, by which its callers wait for an event.
		target time.Duration
		// takesAfter is how long the server resets connections; 0 for as long as the request lasts.
		takesAfter time.Duration
		isWhole    bool
	}{
		{"for longer than the caller waits", "/report/x", 0, 0, false},
		{"for longer than the caller waits, where any server may resume", "/note/x", 0, 0, false},
		{"for a time that the caller waits", "/report/x", 2 * time.Second, 2500 * time.Millisecond, true},
		{"for a time that the caller waits, where any server may resume", "/note/x", 2 * time.Second, 2500 * time.Millisecond, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			r, paths := newPathRig(t)
			both := r.recordOverlaps()
			for _, e := range r.engines {
				e.IgnoresEnds, e.Events, e.Pause = true, 200, 20*time.Millisecond
			}
			next := table()
			next.Version, next.Match("h.example", tc.path).Timeout, next.Match("h.example", tc.path).LatencyTarget = 2, 12*time.Second, tc.target
			r.Tables.PutIfNewer(next)
			ask := streamRequest(tc.path)
			ask.headers["Deadline-Ms"] = "12000"
			answers := make(chan reply, 1)
			go func() { answers <- r.do(t, ask) }()
			source := r.runningEngine(t)
			time.Sleep(300 * time.Millisecond)
			p := paths[r.index(source)]
			p.isCut.Store(true)
			p.breakConnections()
			if tc.takesAfter > 0 {
				time.Sleep(tc.takesAfter)
				p.isCut.Store(false)
			}
			got := <-answers
			assert.Equal(t, got.err == nil && got.text == fullStream(200), tc.isWhole, "%v", got.err)
			assert.Assert(t, !both.Load(), "a backend server received the request while another one worked on it")
		})
	}
}
