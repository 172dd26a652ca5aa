package front_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSilentPathDoesNotPauseItsStream guards against a stream that waits until its silent connection fails, which takes longer than its
// caller waits, although another host reaches the backend server.
func TestSilentPathDoesNotPauseItsStream(t *testing.T) {
	for _, tc := range []struct{ name, path string }{
		{"from its copy", "/report/x"},
		{"where any server may resume", "/note/x"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, paths := newPathRig(t)
			r.Others = otherHost{r}
			both := r.recordOverlaps()
			for _, e := range r.engines {
				e.IgnoresEnds, e.Events = true, 130
			}
			ask := r.longRequest(tc.path, 8*time.Second)
			answers := make(chan reply, 1)
			go func() { answers <- r.do(t, ask) }()
			source := r.runningEngine(t)
			time.Sleep(700 * time.Millisecond)
			silentAt := time.Now()
			paths[r.index(source)].silence(t)
			eventually(t, "the stream to go on elsewhere", func() bool { return len(r.received()) == 2 })
			pause := time.Since(silentAt)
			got := <-answers
			assert.NilError(t, got.err)
			assert.Equal(t, got.text, fullStream(130))
			assert.Assert(t, pause < 2*time.Second, "the stream paused for %s", pause)
			assert.Assert(t, !both.Load(), "a backend server received the request while another one worked on it")
		})
	}
}

// TestSilentBackendServerKeepsItsStream checks that a stream stays at a backend server that is reached and makes no events.
func TestSilentBackendServerKeepsItsStream(t *testing.T) {
	r, _ := newPathRig(t)
	r.Others = otherHost{r}
	for _, e := range r.engines {
		e.Events, e.Pause = 4, 1200*time.Millisecond
	}
	ask := r.longRequest("/note/x", 8*time.Second)
	got := r.do(t, ask)
	assert.NilError(t, got.err)
	assert.Equal(t, got.text, fullStream(4))
	assert.Equal(t, len(r.received()), 1)
}
