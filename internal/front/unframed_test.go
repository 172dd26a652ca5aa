package front_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
)

// ending is how a backend server ends a connection.
type ending int

const (
	closed ending = iota
	reset
)

func (e ending) apply(conn net.Conn) {
	if e == reset {
		// The host reads what was sent before the reset discards it.
		time.Sleep(100 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
}

// writeUnframed writes an answer that has neither a length nor chunks.
func writeUnframed(conn net.Conn, version, body string) {
	_, _ = io.WriteString(conn, version+" 200 OK\r\nAttempt-Id: "+attempt+"\r\n"+plat.Signature+"Content-Type: text/event-stream\r\n\r\n"+body)
}

// eventsFrom returns the events of the rig's stream from one number up to another, which is excluded.
func eventsFrom(first, end int) string {
	return strings.TrimPrefix(fullStream(end), fullStream(first))
}

func TestUnframedAnswers(t *testing.T) {
	tests := []struct {
		name, path, body string
		ends             ending
		// status is what the caller gets; isWhole reports whether the answer may look complete.
		status  int
		isWhole bool
		want    string
	}{
		{"plain, whole", "/book/x", "answer", closed, http.StatusOK, true, "answer"},
		{"plain, reset", "/book/x", "answ", reset, http.StatusBadGateway, true, ""},
		{"stream, whole", "/report/x", fullStream(3), closed, http.StatusOK, true, fullStream(3)},
		{"stream, closed inside an event", "/report/x", fullStream(3) + "id: 3\nda", closed, http.StatusOK, false, fullStream(3)},
		{"stream, closed before the empty line", "/report/x", fullStream(3) + "id: 3\ndata: x\n", closed, http.StatusOK, false, fullStream(3)},
		{"stream, reset inside an event", "/report/x", fullStream(3) + "id: 3\nda", reset, http.StatusOK, false, fullStream(3)},
		{"stream, reset between events", "/report/x", fullStream(3), reset, http.StatusOK, false, fullStream(3)},
		{"stream, closed inside the first event", "/report/x", "id: 0\nda", closed, http.StatusBadGateway, true, ""},
		{"stream, closed before the first event", "/report/x", "", closed, http.StatusBadGateway, true, ""},
		{"stream, reset before the first event", "/report/x", "", reset, http.StatusBadGateway, true, ""},
	}
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, tc := range tests {
			t.Run(version+" "+tc.name, func(t *testing.T) {
				r := newRig(t, 2)
				for _, e := range r.engines {
					e.Script = func(conn net.Conn, _ *plat.Request) bool {
						writeUnframed(conn, version, tc.body)
						tc.ends.apply(conn)
						return true
					}
				}
				ask := streamRequest(tc.path)
				// A short run gets no standby copy.
				ask.headers["Length-Hint"] = "8"
				got := r.do(t, ask)
				assert.Equal(t, got.status, tc.status, got.text)
				assert.Equal(t, got.err == nil, tc.isWhole, "%v", got.err)
				if tc.status == http.StatusOK {
					assert.Equal(t, got.text, tc.want)
				}
				assert.Equal(t, len(r.received()), 1, "it may have run")
			})
		}
	}
}

func TestUnframedStreamsAreResumedFromTheirCopy(t *testing.T) {
	tests := []struct {
		name, sent string
		ends       ending
	}{
		{"closed before the first event", "", closed},
		{"closed inside the first event", "id: 0\nda", closed},
		{"closed inside an event", fullStream(3) + "id: 3\nda", closed},
		{"reset inside an event", fullStream(3) + "id: 3\nda", reset},
		{"reset between events", fullStream(3), reset},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, 5)
			for _, e := range r.engines {
				e.Script = func(conn net.Conn, q *plat.Request) bool {
					if q.Header.Get("Token-Usage") == "" || q.ResumesRun() {
						return false
					}
					r.copies.Add(q.Header.Get("Kv-Backup") + "/" + attempt)
					writeUnframed(conn, "HTTP/1.1", tc.sent)
					tc.ends.apply(conn)
					return true
				}
			}
			got := r.do(t, streamRequest("/report/x"))
			assert.NilError(t, got.err)
			assert.Equal(t, got.text, fullStream(20))
			assert.Equal(t, len(r.received()), 2)
		})
	}
}

func TestUnframedStreamsOfCopies(t *testing.T) {
	const events = 60
	tests := []struct {
		name string
		// end is the number of the event that the copy does not send any more; it is less than 0 if it sends none.
		end     int
		rest    string
		ends    ending
		isWhole bool
	}{
		{"whole", events, "", closed, true},
		{"closed before its first event", -1, "", closed, false},
		{"reset before its first event", -1, "", reset, false},
		{"closed inside its first event", -1, "id: 30\nda", closed, false},
		{"closed inside a later event", 40, "id: 40\nda", closed, false},
		{"reset between events", 40, "", reset, false},
	}
	for _, tc := range tests {
		for _, crashes := range []bool{false, true} {
			name := tc.name + ", after its source has ended the run"
			if crashes {
				name = tc.name + ", after its source crashed"
			}
			t.Run(name, func(t *testing.T) {
				r := newRig(t, 5)
				var copies atomic.Int32
				for _, e := range r.engines {
					e.Events, e.Pause = events, 20*time.Millisecond
					e.Script = func(conn net.Conn, q *plat.Request) bool {
						if !q.ResumesRun() || copies.Add(1) > 1 {
							return false
						}
						last, err := strconv.Atoi(q.Header.Get("Last-Event-Id"))
						if err != nil {
							return false
						}
						first, body := last+1, tc.rest
						if tc.end > first {
							body = eventsFrom(first, tc.end) + tc.rest
						}
						writeUnframed(conn, "HTTP/1.1", body)
						tc.ends.apply(conn)
						return true
					}
				}
				done := make(chan reply)
				go func() { done <- r.do(t, streamRequest("/report/x")) }()
				first := r.runningEngine(t)
				time.Sleep(200 * time.Millisecond)
				if crashes {
					first.Crash()
				} else {
					r.put(r.index(first), true)
				}
				got := <-done
				if tc.isWhole {
					assert.NilError(t, got.err)
					assert.Equal(t, got.text, fullStream(events))
					return
				}
				assert.Assert(t, got.err != nil, "a partial stream must not look complete: %q", got.text)
				assert.Assert(t, strings.HasPrefix(fullStream(events), got.text))
			})
		}
	}
}
