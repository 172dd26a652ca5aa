package front_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStoppingHostTakesNoStreamThatItMayCut guards against streams that are taken late in a planned stop and cut at its end.
func TestStoppingHostTakesNoStreamThatItMayCut(t *testing.T) {
	const rerouted, notRerouted = -time.Second, time.Second
	for _, tc := range []struct {
		name, path string
		// usage and hint are the caller's maximum of output tokens and its estimate.
		usage, hint    string
		rerouted, left time.Duration
		isTaken        bool
	}{
		{"long stream with a low estimate", "/report/x", "100,4000", "1", rerouted, 2800 * time.Millisecond, false},
		{"long stream before callers could avoid the host", "/report/x", "100,4000", "1", notRerouted, 2800 * time.Millisecond, false},
		{"no maximum stated", "/report/x", "", "1", rerouted, 2800 * time.Millisecond, false},
		{"its time limit ends before the host", "/report/x", "100,4000", "1", rerouted, 4 * time.Second, true},
		{"short maximum, with latency targets", "/brief/x", "100,16", "16", rerouted, 2800 * time.Millisecond, true},
		{"short maximum, high estimate", "/brief/x", "100,16", "4000", rerouted, 2800 * time.Millisecond, true},
		{"long maximum, with latency targets", "/brief/x", "100,4000", "1", rerouted, 2800 * time.Millisecond, false},
		{"largest maximum", "/brief/x", "100,9223372036854775807", "1", rerouted, 2800 * time.Millisecond, false},
		{"plain, time limit beyond the end", "/open/x", "", "", rerouted, 1900 * time.Millisecond, false},
		{"plain, before callers could avoid the host", "/open/x", "", "", notRerouted, 1900 * time.Millisecond, true},
		{"plain, its time limit ends before the host", "/read/x", "", "", rerouted, 1900 * time.Millisecond, true},
		{"plain, just before the end", "/read/x", "", "", notRerouted, time.Second, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, 2)
			r.StopAt(time.Now().Add(tc.rerouted), time.Now().Add(tc.left))
			request := callerRequest{method: http.MethodPost, path: tc.path, key: "k1", headers: map[string]string{"Deadline-Ms": "3000"}}
			if tc.usage != "" {
				request.headers["Token-Usage"] = tc.usage
			}
			if tc.hint != "" {
				request.headers["Length-Hint"] = tc.hint
			}
			got := r.do(t, request)
			if tc.isTaken {
				assert.Equal(t, got.status, http.StatusOK)
				return
			}
			assert.Equal(t, got.status, http.StatusServiceUnavailable)
			assert.Assert(t, got.header.Get("Retry-After") != "")
			assert.Equal(t, len(r.received()), 0)
		})
	}
}
