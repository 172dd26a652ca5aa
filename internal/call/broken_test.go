package call_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/budget"
	"github.com/tarragonspur/tarragonspur/internal/call"
	"github.com/tarragonspur/tarragonspur/internal/fakes/broken"
	"github.com/tarragonspur/tarragonspur/internal/head"
	"github.com/tarragonspur/tarragonspur/internal/poison"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
)

const soundAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"

// TestBrokenAnswersAreLost guards against an answer whose head is not valid HTTP and that counts as an answer, and against a transport
// that sends a call again by itself after one.
func TestBrokenAnswersAreLost(t *testing.T) {
	for _, fault := range broken.Faults() {
		for _, tc := range []struct {
			name          string
			newConnection bool
			// isReused is set if the connection has taken a call with a sound answer before.
			isReused bool
		}{
			{"new connection", true, false},
			{"pooled connection", false, false},
			{"reused connection", false, true},
		} {
			t.Run(fault.Name+"/"+tc.name, func(t *testing.T) {
				text := fault.Apply(soundAnswer)
				s := &broken.Server{KeepsOpen: true, Answer: func(r *http.Request) string {
					if r.URL.Path == "/sound" {
						return soundAnswer
					}
					return text
				}}
				at := s.Start(t)
				h := call.NewHTTPSender()
				defer h.Close()
				o := call.SendOptions{Limit: 10 * time.Second, NewConnection: tc.newConnection}
				want := 1
				if tc.isReused {
					want++
					got := h.Send(t.Context(), at, call.Call{Method: http.MethodGet, Path: "/sound"}, o)
					assert.Equal(t, got.Event, call.EventAnswered, "%v", got.Err)
				}
				got := h.Send(t.Context(), at, call.Call{Method: http.MethodGet, Path: "/broken"}, o)
				assert.Equal(t, got.Event, call.EventLost, "%v", got.Answer)
				assert.Assert(t, errors.Is(got.Err, head.ErrInvalid), "%v", got.Err)
				assert.Equal(t, len(s.Requests()), want)
			})
		}
	}
}

// TestCallsAfterBrokenAnswers guards against a broken answer after which a booking is sent to another backend server, or that counts as
// the crash of its backend server.
func TestCallsAfterBrokenAnswers(t *testing.T) {
	const refused = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	for _, fault := range broken.Faults() {
		for _, tc := range []struct {
			name, sound  string
			isRepeatable bool
			wantAnswered bool
			wantSecond   int
		}{
			{"a booking", soundAnswer, false, false, 0},
			{"a booking that is refused", refused, false, false, 0},
			{"a look-up", soundAnswer, true, true, 1},
		} {
			t.Run(fault.Name+"/"+tc.name, func(t *testing.T) {
				t.Parallel()
				first := &broken.Server{Answer: func(*http.Request) string { return fault.Apply(tc.sound) }}
				second := &broken.Server{Answer: func(*http.Request) string { return soundAnswer }}
				h := call.NewHTTPSender()
				defer h.Close()
				guard := &poison.Table{}
				r := &call.Runner{Placer: inTurn{first.Start(t), second.Start(t)}, Sender: h, Budget: &budget.Retry{}, Clock: call.SystemClock{}, Guard: guard}
				for range 5 {
					received := len(second.Requests())
					c := call.Call{Method: http.MethodPost, Path: "/x", Body: []byte("b"), Repeatable: tc.isRepeatable, RefusesBeforeRun: true, Deadline: time.Now().Add(10 * time.Second)}
					answer, err := r.Run(t.Context(), c)
					assert.Equal(t, len(second.Requests())-received, tc.wantSecond)
					if tc.wantAnswered {
						assert.NilError(t, err)
						assert.Equal(t, string(answer.Body), "whole")
						continue
					}
					assert.Equal(t, refuse.From(err).Code, refuse.CodeInterrupted, "%v", err)
					assert.Equal(t, refuse.From(err).Run, refuse.MayHaveRun)
				}
				assert.Equal(t, len(first.Requests()), 5)
			})
		}
	}
}
