package front_test

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLargeBodiesDoNotExceedTheHostsMemory guards against bodies that together take more memory than the host has.
func TestLargeBodiesDoNotExceedTheHostsMemory(t *testing.T) {
	const atOnce, callers = 3, 12
	for _, tc := range []struct {
		name string
		// limit is the route's for a body, size that of each body.
		limit, size int
		// hold is how long a backend server takes.
		hold time.Duration
		// isChunked leaves out the length.
		isChunked  bool
		minServed  int
		minRefused int
	}{
		{"served one after the other", 256 << 10, 256 << 10, 20 * time.Millisecond, false, callers, 0},
		{"some refused at once", 256 << 10, 256 << 10, 400 * time.Millisecond, false, atOnce, 1},
		{"without a length", 256 << 10, 256 << 10, 20 * time.Millisecond, true, callers, 0},
		{"without a length, far below the limit", 1 << 20, 100 << 10, time.Second, true, callers, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, 2)
			next := table()
			next.Version, next.Limits.BodyBytes = 2, int64(tc.limit)
			r.Tables.PutIfNewer(next)
			r.MaxBodiesBytes = int64(atOnce * tc.limit)
			for _, e := range r.engines {
				e.Delay = tc.hold
			}
			var mu sync.Mutex
			statuses := make(map[int]int)
			var senders sync.WaitGroup
			for range callers {
				senders.Go(func() {
					var body io.Reader = bytes.NewReader(make([]byte, tc.size))
					if tc.isChunked {
						body = struct{ io.Reader }{body}
					}
					req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, r.server.URL+"/once/x", body)
					assert.Check(t, err)
					req.Host = "h.example"
					req.Header.Set("Attempt-Id", attempt)
					req.Header.Set("Key", "k1")
					req.Header.Set("Deadline-Ms", "4000")
					began := time.Now()
					resp, err := http.DefaultTransport.RoundTrip(req)
					if !assert.Check(t, err) {
						return
					}
					defer func() { _ = resp.Body.Close() }()
					mu.Lock()
					defer mu.Unlock()
					statuses[resp.StatusCode]++
					if resp.StatusCode == http.StatusTooManyRequests {
						assert.Check(t, time.Since(began) < time.Second, "a refusal comes soon")
						assert.Check(t, resp.Header.Get("Retry-After") != "")
					}
				})
			}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				senders.Wait()
			}()
			most := 0
			for isEnded := false; !isEnded; {
				select {
				case <-ended:
					isEnded = true
				case <-time.After(time.Millisecond):
					most = max(most, r.engines[1].InProgress())
				}
			}
			assert.Assert(t, most <= (atOnce*tc.limit)/tc.size+1, "%d bodies at a time", most)
			assert.Equal(t, statuses[http.StatusOK]+statuses[http.StatusTooManyRequests], callers, "%v", statuses)
			assert.Assert(t, statuses[http.StatusOK] >= tc.minServed && statuses[http.StatusTooManyRequests] >= tc.minRefused, "%v", statuses)
			small := callerRequest{method: http.MethodPost, path: "/once/x", key: "k1", body: strings.Repeat("x", 60<<10)}
			assert.Equal(t, r.do(t, small).status, http.StatusOK)
		})
	}
}

// TestBodiesAreForwardedWhole checks bodies around the sizes at which they are read in another way.
func TestBodiesAreForwardedWhole(t *testing.T) {
	const small, limit = 64 << 10, 100 << 10
	for _, size := range []int{0, 1, small - 1, small, small + 1, limit - 1, limit, limit + 1} {
		for _, isChunked := range []bool{false, true} {
			r := newRig(t, 2)
			next := table()
			next.Version, next.Limits.BodyBytes = 2, limit
			r.Tables.PutIfNewer(next)
			text := strings.Repeat("0123456789", size/10+1)[:size]
			var body io.Reader = strings.NewReader(text)
			if isChunked {
				body = struct{ io.Reader }{body}
			}
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, r.server.URL+"/once/x", body)
			assert.NilError(t, err)
			req.Host = "h.example"
			req.Header.Set("Attempt-Id", attempt)
			req.Header.Set("Key", "k1")
			resp, err := http.DefaultTransport.RoundTrip(req)
			assert.NilError(t, err)
			_ = resp.Body.Close()
			if size > limit {
				assert.Equal(t, resp.StatusCode, http.StatusRequestEntityTooLarge, "%d bytes", size)
				continue
			}
			assert.Equal(t, resp.StatusCode, http.StatusOK, "%d bytes", size)
			assert.Assert(t, r.received()[0].Text == text, "%d bytes", size)
		}
	}
}
