package front_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
)

// retries is a retry budget that nothing is added to.
type retries struct{ left atomic.Int32 }

func (b *retries) Arrived(string) {}

func (b *retries) Allow(string, bool) bool { return b.left.Add(-1) >= 0 }

// TestStreamIsLostForRetriesThatNoServerReceived guards against a stream that is cut because connections that could not be made took its
// retries. Those that a server received and refused count, so that the budget bounds what servers in trouble receive.
func TestStreamIsLostForRetriesThatNoServerReceived(t *testing.T) {
	for _, tc := range []struct {
		name string
		// refuses makes the second server refuse the request, in place of its connection.
		refuses bool
		retries int32
		isWhole bool
	}{
		{"no connection", false, 1, true},
		{"no retry", false, 0, false},
		{"refused", true, 1, false},
		{"refused, two retries", true, 2, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, 6)
			r.disableStandbyCopies()
			budget := &retries{}
			budget.left.Store(tc.retries)
			r.Budget = budget
			var second atomic.Pointer[plat.Server]
			for _, e := range r.engines {
				e.Events, e.Pause = 60, 20*time.Millisecond
				e.Script = func(conn net.Conn, q *plat.Request) bool {
					isRefused := q.GoesOn() && (second.Load() == e || second.CompareAndSwap(nil, e))
					if isRefused {
						plat.Reply(conn, q, http.StatusServiceUnavailable, "", "Not-Executed: 1\r\n")
					}
					return isRefused
				}
			}
			done := make(chan reply, 1)
			go func() { done <- r.do(t, streamRequest("/note/x")) }()
			source := r.runningEngine(t)
			time.Sleep(200 * time.Millisecond)
			if !tc.refuses {
				for i, e := range r.engines {
					if e != source && i%2 == 0 && second.CompareAndSwap(nil, e) {
						e.Crash()
					}
				}
			}
			source.Crash()
			got := <-done
			assert.Equal(t, got.err == nil && got.text == fullStream(60), tc.isWhole, "%v", got.err)
		})
	}
}
