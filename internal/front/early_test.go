package front_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/broken"
	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
	"github.com/tarragonspur/tarragonspur/internal/pool"
)

// longBody is a body that is being written while its early answer arrives.
var longBody = strings.Repeat("x", 8<<20) //nolint:gochecknoglobals // a constant of this size takes as much of the binary

// newEarlyRig starts a rig with one backend server that answers before it has read the request.
func newEarlyRig(t *testing.T, s *broken.EarlyServer) *rig {
	t.Helper()
	r := newRig(t, 0)
	next := table()
	next.Version, next.Limits.BodyBytes = 2, int64(len(longBody))
	for _, path := range []string{"/book/x", "/read/x", "/report/x", "/note/x"} {
		next.Match("h.example", path).Timeout = 3 * time.Second
	}
	r.Tables.PutIfNewer(next)
	address := s.Start(t)
	for _, service := range []string{"mill", "model"} {
		r.Pool.Put(pool.Server{ID: service, Service: service, Address: address, Domain: "d1", Region: "east", Slots: 8}, time.Now())
	}
	return r
}

// ask sends a request with a long body.
func (r *rig) ask(t *testing.T, path string) reply {
	t.Helper()
	a := callerRequest{method: http.MethodPost, path: path, key: "k1", body: longBody, headers: map[string]string{"Deadline-Ms": "3000"}}
	if strings.HasPrefix(path, "/report/") || strings.HasPrefix(path, "/note/") {
		a.headers["Token-Usage"] = "100,40"
	}
	return r.do(t, a)
}

// TestEarlyAnswerThatIsResetDoesNotReachCallers guards against a part of an answer that callers get as a complete one: the backend server
// answers a long request before it has read it, without a length, and resets the connection while the request is still being written.
func TestEarlyAnswerThatIsResetDoesNotReachCallers(t *testing.T) {
	const times = 8
	own := "Attempt-Id: " + attempt + "\r\n" + plat.Signature
	stream := "HTTP/1.1 200 OK\r\n" + own + "Content-Type: text/event-stream\r\n\r\n" + fullStream(3)
	for _, tc := range []struct{ name, path, answer, body string }{
		{"booking", "/book/x", "HTTP/1.1 200 OK\r\n" + own + "\r\na part", "a part"},
		{"look-up", "/read/x", "HTTP/1.1 200 OK\r\n" + own + "\r\na part", "a part"},
		{"failure of a booking", "/book/x", "HTTP/1.1 500 Internal Server Error\r\n" + own + "\r\na part", "a part"},
		{"interim answer before a booking", "/book/x", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + own + "\r\na part", "a part"},
		{"stream", "/report/x", stream, fullStream(3)},
		{"resumable stream", "/note/x", stream, fullStream(3)},
	} {
		for _, ending := range broken.Endings() {
			t.Run(tc.name+", "+ending.Name, func(t *testing.T) {
				t.Parallel()
				r := newEarlyRig(t, &broken.EarlyServer{Ending: ending, Answer: func(*http.Request) string { return tc.answer }})
				for range times {
					got := r.ask(t, tc.path)
					if ending.IsWhole {
						assert.NilError(t, got.err)
						assert.Equal(t, got.text, tc.body)
						continue
					}
					isComplete := got.err == nil && (got.text == tc.body || got.status == http.StatusOK)
					assert.Assert(t, !isComplete, "status %d with %d bytes looks complete", got.status, len(got.text))
				}
			})
		}
	}
}

// TestBrokenEarlyAnswersDoNotReachCallers guards against an early answer whose status or whose names of fields HTTP does not have, and that
// callers get as an answer or that lets a request that runs once run again.
func TestBrokenEarlyAnswersDoNotReachCallers(t *testing.T) {
	for _, fault := range broken.Faults() {
		for _, ending := range []broken.Ending{broken.Endings()[0], broken.Endings()[3]} {
			t.Run(fault.Name+", "+ending.Name, func(t *testing.T) {
				t.Parallel()
				for _, sound := range []string{soundAnswer, notRun, strings.Replace(soundAnswer, "Content-Length: 5\r\n", "", 1)} {
					if fault.Apply(sound) == sound+"more" {
						continue // there is no length whose name could be broken
					}
					s := &broken.EarlyServer{Ending: ending, Answer: func(*http.Request) string { return fault.Apply(sound) }}
					r := newEarlyRig(t, s)
					got := r.ask(t, "/book/x")
					assert.Equal(t, got.status, http.StatusBadGateway, got.text)
					assert.Equal(t, s.Requests(), 1)
				}
			})
		}
	}
}
