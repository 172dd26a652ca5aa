package front_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
)

// blockingCaller is a caller that stops reading: writes block until it is released.
type blockingCaller struct {
	*httptest.ResponseRecorder

	isBlocked atomic.Bool
	released  chan struct{}
	release   sync.Once
}

func (c *blockingCaller) Write(b []byte) (int, error) {
	if c.isBlocked.Load() {
		<-c.released
	}
	return c.ResponseRecorder.Write(b)
}

func (c *blockingCaller) close() { c.release.Do(func() { close(c.released) }) }

// TestSlowCallerDoesNotKeepSourceAndCopyAtWork migrates a stream whose caller stops reading once the copy has the request.
func TestSlowCallerDoesNotKeepSourceAndCopyAtWork(t *testing.T) {
	r := newRig(t, 4)
	caller := &blockingCaller{ResponseRecorder: httptest.NewRecorder(), released: make(chan struct{})}
	t.Cleanup(caller.close)
	var resumedAt atomic.Int64
	for _, e := range r.engines {
		e.Events, e.Pause = 60, 20*time.Millisecond
		e.Script = func(_ net.Conn, q *plat.Request) bool {
			if q.ResumesRun() {
				caller.isBlocked.Store(true)
				resumedAt.Store(time.Now().UnixNano())
				time.Sleep(600 * time.Millisecond)
			}
			return false
		}
	}
	ask := streamRequest("/report/x")
	q := httptest.NewRequestWithContext(t.Context(), ask.method, ask.path, strings.NewReader(ask.body))
	q.Host = "h.example"
	for name, value := range map[string]string{"Attempt-Id": attempt, "Deadline-Ms": "8000", "Key": ask.key, "Token-Usage": ask.headers["Token-Usage"]} {
		q.Header.Set(name, value)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer func() { _ = recover() }() // the handler panics with http.ErrAbortHandler if the stream is cut
		r.ServeHTTP(caller, q)
	}()
	source := r.runningEngine(t)
	time.Sleep(200 * time.Millisecond)
	r.put(r.index(source), true)
	eventually(t, "the run to be sent to its copy", func() bool { return resumedAt.Load() != 0 })
	eventually(t, "the source to be stopped", func() bool { return source.InProgress() == 0 })
	both := time.Since(time.Unix(0, resumedAt.Load()))
	assert.Assert(t, both < 400*time.Millisecond, "both were at work for %s", both)
	caller.close()
	<-ended
	assert.Equal(t, caller.Code, http.StatusOK)
	assert.Equal(t, caller.Body.String(), fullStream(60))
}

// TestSourceThatEndsByItselfIsNotStopped migrates a stream whose source makes its last events after the host has ended its side of the connection.
func TestSourceThatEndsByItselfIsNotStopped(t *testing.T) {
	r := newRig(t, 4)
	rec := r.recordLog()
	var isResumed atomic.Bool
	for _, e := range r.engines {
		e.Events, e.Pause, e.IgnoresEnds = 18, 20*time.Millisecond, true
		e.Script = func(_ net.Conn, q *plat.Request) bool {
			if q.ResumesRun() {
				isResumed.Store(true)
			}
			return false
		}
	}
	answers := make(chan reply, 1)
	go func() { answers <- r.do(t, streamRequest("/report/x")) }()
	source := r.runningEngine(t)
	time.Sleep(150 * time.Millisecond)
	r.put(r.index(source), true)
	got := <-answers
	assert.NilError(t, got.err)
	assert.Equal(t, got.text, fullStream(18))
	assert.Assert(t, rec.hasMessage("stream leaves its backend server"))
	assert.Assert(t, !isResumed.Load(), "the copy has no work")
	time.Sleep(300 * time.Millisecond)
	assert.Assert(t, !rec.hasMessage("run asked to end"))
}
