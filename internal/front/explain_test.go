package front_test

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/cause"
	"github.com/tarragonspur/tarragonspur/internal/epoch"
	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
	"github.com/tarragonspur/tarragonspur/internal/pool"
	"github.com/tarragonspur/tarragonspur/internal/watch"
)

// logRecorder collects log lines for a test.
type logRecorder struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (r *logRecorder) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(p)
}

// recordLog redirects the rig's log to a new recorder and returns it.
func (r *rig) recordLog() *logRecorder {
	rec := &logRecorder{}
	r.Log = slog.New(slog.NewTextHandler(rec, nil))
	return rec
}

// hasMessage reports whether a line with the message was logged.
func (r *logRecorder) hasMessage(message string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Contains(r.text.String(), `msg="`+message+`"`)
}

// count returns the number of lines with the message.
func (r *logRecorder) count(message string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Count(r.text.String(), `msg="`+message+`"`)
}

// explain returns what package cause derives from the log for the rig's request.
func (r *logRecorder) explain(t *testing.T) cause.Case {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	lines, err := cause.Read(bytes.NewReader(r.text.Bytes()), "h1", attempt)
	assert.NilError(t, err)
	c, err := cause.Explain(attempt, lines)
	assert.NilError(t, err)
	return c
}

// documentedMessages returns the messages of the lines that a section of docs/OPERATIONS.md shows.
func documentedMessages(t *testing.T, section string) []string {
	t.Helper()
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	_, rest, ok := strings.Cut(string(page), "\n## "+section+"\n")
	assert.Assert(t, ok, section)
	text, _, _ := strings.Cut(rest, "\n## ")
	var all []string
	for _, found := range regexp.MustCompile(`(?m)^    msg="([^"]*)"`).FindAllStringSubmatch(text, -1) {
		all = append(all, found[1])
	}
	assert.Assert(t, len(all) > 0, section)
	return all
}

// failingSource is a store that is unavailable.
type failingSource struct{}

func (failingSource) List(context.Context) (watch.Batch[string], error) {
	return watch.Batch[string]{}, errors.New("status 503")
}

func (failingSource) Changes(context.Context, epoch.Position, time.Duration) (watch.Batch[string], error) {
	return watch.Batch[string]{}, errors.New("status 503")
}

// TestFailuresShownOnTheOperationsPage reproduces the cases shown in docs/OPERATIONS.md and checks that the log
// has the quoted lines and that package cause finds the cause.
func TestFailuresShownOnTheOperationsPage(t *testing.T) {
	tests := []struct {
		section string
		run     func(t *testing.T, r *rig, rec *logRecorder)
		outcome string
		cause   []string
	}{
		{
			"A stream that was cut", func(t *testing.T, r *rig, rec *logRecorder) {
				r.disableStandbyCopies()
				for _, e := range r.engines {
					e.Events, e.Pause = 60, 20*time.Millisecond
					e.Script = func(conn net.Conn, q *plat.Request) bool {
						isCopyCall := strings.HasSuffix(q.URL.Path, "/kv-move")
						if isCopyCall || q.ResumesRun() {
							plat.Reply(conn, q, http.StatusServiceUnavailable, "", "Not-Executed: 1\r\n")
						}
						return isCopyCall || q.ResumesRun()
					}
				}
				done := make(chan reply)
				go func() { done <- r.do(t, streamRequest("/report/x")) }()
				first := r.runningEngine(t)
				time.Sleep(100 * time.Millisecond)
				servers := &watch.Servers{Pool: r.Pool, Health: &watch.Health{Log: r.Log}, Log: r.Log}
				servers.Apply(watch.Batch[pool.Server]{Changed: []pool.Server{{
					ID: first.ID, Service: "model", Address: first.Address(), Domain: "d1", Region: "east", Slots: 8, Draining: true,
				}}}, 0)
				time.Sleep(300 * time.Millisecond)
				// The next copy begins only after copyRetryDelay, so that none is in progress at the crash.
				failed := rec.count("copy on demand failed")
				eventually(t, "a copy to fail", func() bool { return rec.count("copy on demand failed") > failed })
				first.Crash()
				<-done
			},
			"cut",
			[]string{"broke the stream after event", "the host had heard", "before that it leaves", "its last copy", "failed"},
		},
		{
			"A stream whose copy refused it", func(t *testing.T, r *rig, _ *logRecorder) {
				for _, e := range r.engines {
					e.Events, e.Pause = 60, 20*time.Millisecond
					e.Script = func(conn net.Conn, q *plat.Request) bool {
						if q.ResumesRun() {
							plat.Reply(conn, q, http.StatusServiceUnavailable, "", "Not-Executed: 1\r\n")
						}
						return q.ResumesRun()
					}
				}
				done := make(chan reply)
				go func() { done <- r.do(t, streamRequest("/report/x")) }()
				first := r.runningEngine(t)
				r.put(r.index(first), true)
				<-done
			},
			"cut",
			[]string{"ended the run after event", "the copy at", "could not go on", "status 503"},
		},
		{
			"A stream that a stop cut", func(t *testing.T, r *rig, _ *logRecorder) {
				for _, e := range r.engines {
					e.Events, e.Pause = 1000, 20*time.Millisecond
				}
				done := make(chan reply)
				go func() { done <- r.do(t, streamRequest("/report/x")) }()
				r.runningEngine(t)
				r.Log.Info("host stops", "grace", time.Second)
				time.Sleep(100 * time.Millisecond)
				r.Abort()
				<-done
			},
			"cut",
			[]string{"the host was stopped", "after event"},
		},
		{
			"A request that was refused", func(t *testing.T, r *rig, _ *logRecorder) {
				r.SetMaxKeyAge(50 * time.Millisecond)
				f := &watch.Follower[string]{Kind: "table", Source: failingSource{}, Wait: time.Second, Health: &watch.Health{Log: r.Log}, Log: r.Log}
				ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
				defer cancel()
				assert.NilError(t, f.Run(ctx))
				assert.Equal(t, r.do(t, callerRequest{path: "/read/x", key: "k1"}).status, http.StatusServiceUnavailable)
			},
			"refused",
			[]string{"too old to accept keys", "the store was lost"},
		},
		{
			"An answer that came late", func(t *testing.T, r *rig, _ *logRecorder) {
				next := table()
				next.Version = 2
				next.Match("h.example", "/report/x").LatencyTarget = 100 * time.Millisecond
				r.Tables.PutIfNewer(next)
				for _, e := range r.engines {
					e.Script = func(net.Conn, *plat.Request) bool {
						time.Sleep(150 * time.Millisecond)
						return false
					}
				}
				assert.NilError(t, r.do(t, streamRequest("/report/x")).err)
			},
			"answered",
			[]string{"the first event came after", "prompt tokens were not read there"},
		},
		{
			"A request that was quarantined", func(t *testing.T, r *rig, _ *logRecorder) {
				r.guard.Log = r.Log
				r.crashUnder("dead:")
				for i := range 2 {
					resp, err := r.try(t.Context(), report(10+i, "dead:40"))
					if err == nil {
						_ = resp.Body.Close()
					}
					r.recover(t)
				}
				assert.Equal(t, r.do(t, report(20, "dead:40")).status, http.StatusServiceUnavailable)
			},
			"refused",
			[]string{"crashed under requests with key", "its caller was to return after"},
		},
	}
	for _, tc := range tests {
		t.Run(tc.section, func(t *testing.T) {
			r := newRig(t, 5)
			rec := r.recordLog()
			tc.run(t, r, rec)
			r.Wait(context.Background())
			c := rec.explain(t)
			assert.Equal(t, c.Outcome, tc.outcome)
			for _, part := range tc.cause {
				assert.Assert(t, strings.Contains(c.Cause, part), c.Cause)
			}
			for _, message := range documentedMessages(t, tc.section) {
				assert.Assert(t, rec.hasMessage(message), "the page shows %q", message)
			}
		})
	}
}
