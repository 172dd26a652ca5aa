package front_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/broken"
	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
)

const (
	soundAnswer = "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\n" + plat.Signature + "Content-Length: 5\r\n\r\nwhole"
	notRun      = "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + attempt + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	notFound    = "HTTP/1.1 404 Not Found\r\nAttempt-Id: " + attempt + "\r\n" + plat.Signature + "Content-Length: 0\r\n\r\n"
)

// soundStream returns a whole stream of two events.
func soundStream() string {
	events := plat.Event(attempt, 0) + plat.Event(attempt, 1)
	return "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\n" + plat.Signature +
		fmt.Sprintf("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(events), events)
}

// answerAlways lets the rig's backend servers answer every request with a text and run it.
func (r *rig) answerAlways(text string) {
	for _, e := range r.engines {
		e.Script = func(conn net.Conn, q *plat.Request) bool {
			if strings.HasPrefix(q.URL.Path, "/tarragonspur/") {
				return false
			}
			e.MarkRun(q)
			_, _ = io.WriteString(conn, text)
			return true
		}
	}
}

// TestBrokenAnswersDoNotReachCallers guards against an answer whose head is not valid HTTP and that callers get as an answer, or that
// lets a request that runs once run again.
func TestBrokenAnswersDoNotReachCallers(t *testing.T) {
	for _, fault := range broken.Faults() {
		for _, tc := range []struct {
			name, path, sound string
			maxRuns           int
		}{
			{"a booking", "/book/x", soundAnswer, 1},
			{"a booking that is said not to have run", "/book/x", notRun, 1},
			{"a booking that is not found", "/book/x", notFound, 1},
			{"a lookup", "/read/x", soundAnswer, 2},
			{"a stream", "/report/x", soundStream(), 1},
			{"a stream that is said not to have run", "/report/x", notRun, 1},
			{"a stream that is not found", "/report/x", notFound, 1},
		} {
			t.Run(fault.Name+"/"+tc.name, func(t *testing.T) {
				r := newRig(t, 4)
				r.answerAlways(fault.Apply(tc.sound))
				request := callerRequest{path: tc.path, key: "k1"}
				if tc.path == "/report/x" {
					request = streamRequest(tc.path)
				}
				got := r.do(t, request)
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusBadGateway, "%v %q", got.header, got.text)
				var refusal struct {
					Error struct{ Run string }
				}
				assert.NilError(t, json.Unmarshal([]byte(got.text), &refusal), "%q", got.text)
				assert.Equal(t, refusal.Error.Run, "may_have_run")
				assert.Assert(t, !plat.IsSigned(got.header))
				for name := range got.header {
					assert.Assert(t, !strings.Contains(strings.ToLower(name), "odd"), "%v", got.header)
				}
				assert.Assert(t, len(r.received()) <= tc.maxRuns, "%d backend servers received it", len(r.received()))
			})
		}
	}
}

// TestBrokenAnswersDoNotContinueStreams guards against streams that break after they have begun and go on with a broken answer.
func TestBrokenAnswersDoNotContinueStreams(t *testing.T) {
	rest := plat.Event(attempt, 2)
	sound := "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\n" + plat.Signature +
		fmt.Sprintf("Content-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(rest), rest)
	for _, fault := range broken.Faults() {
		for _, path := range []string{"/note/x", "/report/x"} {
			t.Run(fault.Name+path, func(t *testing.T) {
				checkStreamThatGoesOn(t, path, func(conn net.Conn, _ *plat.Request) bool {
					_, _ = io.WriteString(conn, fault.Apply(sound))
					return true
				})
			})
		}
	}
}

// TestBrokenAnswerToTheEndOfARunIsNoProof guards against a second run beside one whose server answers the call that ends it with a broken
// answer.
func TestBrokenAnswerToTheEndOfARunIsNoProof(t *testing.T) {
	tests := []struct{ name, text string }{
		{"no HTTP", "error: out of memory\r\n\r\n"},
		{"another body", "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\nout of memory"},
		{"no copy's name", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"},
		{"a list of names", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"kvHandle\":[\"h\",1]}"},
	}
	for _, fault := range broken.Faults() {
		tests = append(tests,
			struct{ name, text string }{fault.Name + ", moved", fault.Apply("HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{\"kvHandle\":\"h\"}")},
			struct{ name, text string }{fault.Name + ", absent", fault.Apply("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")})
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, 4)
			var runs atomic.Int32
			for _, e := range r.engines {
				e.Script = func(conn net.Conn, q *plat.Request) bool {
					switch {
					case q.URL.Path == movePath:
						_, _ = io.WriteString(conn, tc.text)
						return true
					case q.Header.Get("Token-Usage") == "":
						return false
					case runs.Add(1) > 1:
						return false
					}
					e.MarkRun(q)
					plat.WriteStreamHeader(conn, q)
					_ = plat.WriteChunk(conn, plat.Event(attempt, 0))
					return true // the connection breaks while the engine works on the run
				}
			}
			got := r.do(t, streamRequest("/note/x"))
			assert.Equal(t, runs.Load(), int32(1), "another backend server received it beside a run at work")
			assert.Equal(t, got.text, fullStream(1))
			assert.Assert(t, got.err != nil, "the stream must not end as if it were complete")
		})
	}
}
