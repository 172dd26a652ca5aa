package call_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/call"
	"github.com/tarragonspur/tarragonspur/internal/fakes/broken"
)

// TestEarlyAnswerThatIsResetIsLost guards against a part of an answer that counts as the answer to a call, and against a call that is sent
// twice after one. Answers to calls with a long body may come before the body has been written.
func TestEarlyAnswerThatIsResetIsLost(t *testing.T) {
	const times = 20
	for _, ending := range broken.Endings() {
		for _, tc := range []struct {
			name          string
			newConnection bool
		}{{"new connection", true}, {"pooled connection", false}} {
			t.Run(ending.Name+", "+tc.name, func(t *testing.T) {
				t.Parallel()
				s := broken.EarlyServer{Ending: ending, Answer: func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\na part" }}
				at := s.Start(t)
				h := call.NewHTTPSender()
				defer h.Close()
				answered := 0
				for range times {
					got := h.Send(t.Context(), at, call.Call{Method: http.MethodPost, Path: "/x", Body: make([]byte, 8<<20)}, call.SendOptions{Limit: 10 * time.Second, NewConnection: tc.newConnection})
					if got.Event == call.EventAnswered {
						assert.Equal(t, string(got.Answer.Body), "a part")
						answered++
					} else {
						assert.Equal(t, got.Event, call.EventLost, "%v", got.Err)
					}
				}
				want := 0
				if ending.IsWhole {
					want = times
				}
				assert.Equal(t, answered, want, "answers")
				assert.Equal(t, s.Requests(), times, "requests")
			})
		}
	}
}

// TestBrokenEarlyAnswersAreLost guards against an early answer whose head is not valid HTTP and that counts as an answer.
func TestBrokenEarlyAnswersAreLost(t *testing.T) {
	for _, fault := range broken.Faults() {
		t.Run(fault.Name, func(t *testing.T) {
			t.Parallel()
			s := broken.EarlyServer{Ending: broken.Endings()[3], Answer: func(*http.Request) string { return fault.Apply(soundAnswer) }}
			h := call.NewHTTPSender()
			defer h.Close()
			got := h.Send(t.Context(), s.Start(t), call.Call{Method: http.MethodPost, Path: "/x", Body: make([]byte, 8<<20)}, call.SendOptions{Limit: 10 * time.Second, NewConnection: true})
			assert.Equal(t, got.Event, call.EventLost, "%v", got.Answer)
			assert.Equal(t, s.Requests(), 1)
		})
	}
}
