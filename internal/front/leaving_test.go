package front_test

import (
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

const leaving = "Server-Leaving: 1\r\n"

// TestServerThatSaysItLeavesGetsNoRequests checks that answers count as the store's entry does, whatever status they have.
func TestServerThatSaysItLeavesGetsNoRequests(t *testing.T) {
	for _, tc := range []struct {
		name, path string
		status     int
		headers    string
	}{
		{"a lookup", "/read/x", http.StatusOK, leaving},
		{"a booking", "/book/x", http.StatusOK, leaving},
		{"a failure", "/read/x", http.StatusInternalServerError, leaving},
		{"a refusal", "/read/x", http.StatusServiceUnavailable, leaving + "Not-Executed: 1\r\n"},
		{"in some answers only", "/read/x", http.StatusOK, leaving},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, 4)
			r.Pool.Notices = r.notices
			first, other := r.engines[1], r.engines[3]
			first.State(tc.headers)
			if tc.status != http.StatusOK {
				first.Script = answering(false, tc.status, "", "", nil)
			}
			for range 20 {
				r.do(t, callerRequest{path: tc.path, key: "k1"})
				first.State("")
			}
			assert.Assert(t, len(first.Requests()) <= 1, "%d requests", len(first.Requests()))
			assert.Assert(t, len(other.Requests()) >= 19)
			// The next incarnation takes requests again.
			r.Pool.Put(pool.Server{ID: first.ID, Service: "mill", Address: first.Address(), Domain: "d1", Region: "east", Slots: 8, StartedMS: 7}, time.Now())
			for range 20 {
				r.do(t, callerRequest{path: tc.path, key: "k1"})
			}
			assert.Assert(t, len(first.Requests()) > 1)
		})
	}
}

// TestStreamsMigrateFromAServerThatSaysItLeaves checks that the answer to one request saves the runs that the server has.
func TestStreamsMigrateFromAServerThatSaysItLeaves(t *testing.T) {
	r := newRig(t, 5)
	r.Pool.Notices = r.notices
	for _, e := range r.engines {
		e.Events, e.Pause = 60, 20*time.Millisecond
	}
	// Without standby copies only the copy on demand saves the run.
	next := table()
	next.Version, next.Services["model"].Engine.SupportsStandby = 2, false
	r.Tables.PutIfNewer(next)
	ended := make(chan reply, 1)
	go func() { ended <- r.do(t, streamRequest("/report/x")) }()
	time.Sleep(200 * time.Millisecond)
	var source int
	for i, e := range r.engines {
		if e.InProgress() > 0 {
			source = i
		}
	}
	server, found := r.Pool.ServerAt(r.engines[source].Address())
	assert.Assert(t, found)
	r.notices.Heard(notice.Server{ID: server.ID, Service: server.Service}, notice.Statement{IsLeaving: true})
	time.AfterFunc(800*time.Millisecond, r.engines[source].Crash)
	got := <-ended
	assert.NilError(t, got.err)
	assert.Equal(t, got.text, fullStream(60))
}

// TestCopyThatNeverEndsHoldsUpItsMigration guards against an engine that begins to answer a call for a copy and never comes to an end,
// so that the run gets no other copy before the engine leaves.
func TestCopyThatNeverEndsHoldsUpItsMigration(t *testing.T) {
	for _, tc := range []struct{ name, head, part string }{
		{"head trickles", "HTTP/1.1 200 OK\r\n", "A"},
		{"body trickles", "HTTP/1.1 200 OK\r\n\r\n", " "},
		{"body stops", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{", ""},
		{"silence", "", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, 5)
			r.Pool.Notices = r.notices
			next := table()
			next.Version = 2
			next.Services["model"].Engine.SupportsStandby, next.Services["model"].Engine.CopyTTL = false, 500*time.Millisecond
			r.Tables.PutIfNewer(next)
			var copies atomic.Int64
			closed := make(chan error, 1)
			for _, e := range r.engines {
				e.Events, e.Pause = 100, 25*time.Millisecond
				e.Script = func(conn net.Conn, q *plat.Request) bool {
					if !strings.HasPrefix(q.URL.Path, "/tarragonspur/kv-move") || copies.Add(1) > 1 {
						return false
					}
					_, err := io.WriteString(conn, tc.head)
					for err == nil {
						time.Sleep(10 * time.Millisecond)
						if tc.part == "" {
							_, err = conn.Read(make([]byte, 1))
						} else {
							_, err = io.WriteString(conn, tc.part)
						}
					}
					closed <- err
					return true
				}
			}
			ended := make(chan reply, 1)
			go func() {
				request := streamRequest("/report/x")
				request.headers["Deadline-Ms"] = "10000"
				ended <- r.do(t, request)
			}()
			time.Sleep(200 * time.Millisecond)
			var source *plat.Server
			for _, e := range r.engines {
				if e.InProgress() > 0 {
					source = e
				}
			}
			server, found := r.Pool.ServerAt(source.Address())
			assert.Assert(t, found)
			r.notices.Heard(notice.Server{ID: server.ID, Service: server.Service}, notice.Statement{IsLeaving: true})
			time.AfterFunc(1500*time.Millisecond, source.Crash)
			got := <-ended
			assert.NilError(t, got.err)
			assert.Equal(t, got.text, fullStream(100))
			assert.Assert(t, <-closed != nil, "the connection is closed")
			assert.Assert(t, copies.Load() > 1)
		})
	}
}

// TestAnotherInstanceSpeaksOfItself checks answers of a server that has got the address of another one.
func TestAnotherInstanceSpeaksOfItself(t *testing.T) {
	for _, headers := range []string{"", "Instance-Id: other\r\n"} {
		r := newRig(t, 2)
		r.Pool.Notices = r.notices
		r.engines[1].Script = answering(false, http.StatusMisdirectedRequest, "", leaving+"Server-Limit: 0.1\r\n"+headers, nil)
		r.do(t, callerRequest{path: "/read/x", key: "k1"})
		assert.Assert(t, !r.notices.IsLeaving(r.engines[1].ID, 0) && !r.notices.IsLimited(r.engines[1].ID))
	}
}
