package httpd

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/broken"
)

// TestBrokenAnswersAreNotReady guards against a process whose broken answers pass for its readiness.
func TestBrokenAnswersAreNotReady(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, fault := range broken.Faults() {
		t.Run(fault.Name, func(t *testing.T) {
			var requests atomic.Int32
			s := &broken.Server{Answer: func(*http.Request) string {
				if requests.Add(1) < 3 {
					return fault.Apply(sound)
				}
				return sound
			}}
			assert.NilError(t, AwaitOK(t.Context(), "http://"+s.Start(t).String(), time.Millisecond))
			assert.Equal(t, requests.Load(), int32(3))
		})
	}
}
