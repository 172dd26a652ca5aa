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

// TestServerThatCannotBeAskedKeepsItsStream guards against a migration that gives up the connection to a run at a leaving server which
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
			for _, e := range r.engines {
				e.ClosesEnds = true
			}
			answers := make(chan reply, 1)
			go func() { answers <- r.do(t, streamRequest("/report/x")) }()
			source := r.runningEngine(t)
			time.Sleep(200 * time.Millisecond)
			p := paths[r.index(source)]
			tc.refuse(p)
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
