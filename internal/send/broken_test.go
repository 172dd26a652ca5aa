package send

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/broken"
	"github.com/tarragonspur/tarragonspur/internal/head"
)

// TestBrokenHeadsAreNoAnswers guards against a head that is not valid HTTP and that passes for an answer, or that is waited for although
// it can't become valid.
func TestBrokenHeadsAreNoAnswers(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Length: 5\r\n\r\nwhole"
	for _, fault := range broken.Faults() {
		for _, keepsOpen := range []bool{false, true} {
			t.Run(fault.Name, func(t *testing.T) {
				s := &broken.Server{Answer: func(*http.Request) string { return fault.Apply(sound) }, KeepsOpen: keepsOpen}
				answer, err := Open(t.Context(), s.Start(t), &Request{Method: http.MethodGet, Target: "/", Host: "h"})
				if err == nil {
					answer.Close()
				}
				assert.Assert(t, errors.Is(err, ErrInvalidAnswer) && !errors.IsAny(err, ErrNotSent, ErrBroken), "%v", err)
				assert.Assert(t, errors.Is(err, head.ErrInvalid), "%v", err)
			})
		}
	}
}

// TestInvalidByteEndsTheWaitForAHead guards against a server that stops in the middle of a head that is already invalid.
func TestInvalidByteEndsTheWaitForAHead(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	s := &broken.Server{Answer: func(*http.Request) string { return "HTTP/1.1 000 " }, KeepsOpen: true}
	_, err := Open(ctx, s.Start(t), &Request{Method: http.MethodGet, Target: "/", Host: "h"})
	assert.Assert(t, errors.Is(err, ErrInvalidAnswer), "%v", err)
}
