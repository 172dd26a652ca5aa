package send_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/broken"
	"github.com/tarragonspur/tarragonspur/internal/send"
	"github.com/tarragonspur/tarragonspur/internal/whole"
)

// TestEarlyAnswerThatIsResetIsNotComplete guards against a part of an answer without a length that passes for the whole one: the server
// resets the connection while the request is being written, and only its writer learns of the reset. An answer whose server ends its side
// and reads on is complete.
func TestEarlyAnswerThatIsResetIsNotComplete(t *testing.T) {
	const times = 40
	for _, answer := range []struct{ name, head string }{
		{"success", "HTTP/1.1 200 OK\r\n\r\n"},
		{"failure", "HTTP/1.1 500 Internal Server Error\r\n\r\n"},
		{"interim answer first", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"},
		{"of an earlier version", "HTTP/1.0 200 OK\r\n\r\n"},
	} {
		for _, ending := range broken.Endings() {
			t.Run(answer.name+", "+ending.Name, func(t *testing.T) {
				t.Parallel()
				s := broken.EarlyServer{Ending: ending, Answer: func(*http.Request) string { return answer.head + "a part" }}
				address := s.Start(t)
				complete := 0
				for range times {
					a, err := send.Open(t.Context(), address, &send.Request{Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, 8<<20), HasBody: true})
					if err != nil {
						assert.Assert(t, errors.Is(err, send.ErrBroken), "%v", err)
						continue
					}
					text, err := io.ReadAll(a.Body)
					a.Close()
					if err != nil {
						continue
					}
					assert.Equal(t, string(text), "a part")
					complete++
				}
				if ending.IsWhole {
					assert.Equal(t, complete, times, "complete answers")
				} else {
					assert.Equal(t, complete, 0, "resets that look like complete answers, of %d", times)
				}
			})
		}
	}
}

// TestEarlyAnswerBesideAShortRequestIsNotComplete guards against the same beside requests that fit the kernel's buffers.
func TestEarlyAnswerBesideAShortRequestIsNotComplete(t *testing.T) {
	for _, tc := range []struct {
		name string
		size int
	}{{"written with the head", 12 << 10}, {"written beside the answer", 64 << 10}, {"several buffers", 1 << 20}} {
		for _, ending := range broken.Endings()[:2] {
			t.Run(tc.name+", "+ending.Name, func(t *testing.T) {
				t.Parallel()
				s := broken.EarlyServer{Ending: ending, Answer: func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\na part" }}
				address := s.Start(t)
				for range 20 {
					a, err := send.Open(t.Context(), address, &send.Request{Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, tc.size), HasBody: true})
					if err != nil {
						continue
					}
					text, err := io.ReadAll(a.Body)
					a.Close()
					assert.Assert(t, err != nil, "%q looks complete", text)
				}
			})
		}
	}
}

// TestResetIsNamed checks that a reset within an answer has an error of its own.
func TestResetIsNamed(t *testing.T) {
	s := broken.EarlyServer{Ending: broken.Endings()[2], Answer: func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\na part" }}
	a, err := send.Open(t.Context(), s.Start(t), &send.Request{Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, 8<<20), HasBody: true})
	assert.NilError(t, err)
	defer a.Close()
	_, err = io.ReadAll(a.Body)
	assert.Assert(t, errors.Is(err, whole.ErrReset), "%v", err)
}
