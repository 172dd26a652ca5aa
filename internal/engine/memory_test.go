package engine_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/memory"
)

// heapInUse returns the bytes of live objects.
func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestManyFramesDoNotExceedTheHostsMemory guards against frames of which each is within its limit and which together take more memory
// than the host has.
func TestManyFramesDoNotExceedTheHostsMemory(t *testing.T) {
	const (
		streams, bound = 100, 16 << 20
		// openings is the number of streams that are opened at the same time.
		openings = 8
		// eachBytes allows for the goroutines and buffers of a stream at both of its ends.
		eachBytes = 96 << 10
		// samples is the number of samples in a row in which the memory held is below the bound.
		samples = 3
		small   = `{"request":"r","generation":"g","offset":0,"token":"a"}` + "\n"
	)
	for _, tc := range []struct{ name, text string }{
		{"frame that stops", `{"request":"` + strings.Repeat("r", 900<<10)},
		{"large frame before one that stops", `{"request":"r","generation":"g","token":"` + strings.Repeat("x", 900<<10) + "\"}\n{"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				// A resumed stream is a sound one.
				if r.Method == http.MethodGet {
					_, _ = io.WriteString(w, small)
					return
				}
				_, _ = io.WriteString(w, tc.text)
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
			}))
			defer server.Close()
			at := netip.MustParseAddrPort(server.Listener.Addr().String())
			answers := &memory.Pool{}
			c := engine.NewClient()
			defer c.Close()
			c.Memory = answers.NewAccount(bound)
			before := heapInUse()
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			var readers sync.WaitGroup
			var started atomic.Int32
			opening := make(chan struct{}, openings)
			for range streams {
				readers.Go(func() {
					opening <- struct{}{}
					s, err := c.Start(ctx, at, engine.Request{})
					<-opening
					if !assert.Check(t, err) {
						return
					}
					started.Add(1)
					defer s.Close()
					for err == nil {
						_, err = s.Next()
					}
					assert.Check(t, errors.Is(err, engine.ErrBroken), "%v", err)
				})
			}
			held, settled := int64(0), 0
			for end := time.Now().Add(20 * time.Second); settled < samples && time.Now().Before(end); {
				time.Sleep(100 * time.Millisecond)
				held = min(heapInUse(), heapInUse()) - before
				if started.Load() == streams && held < bound+streams*eachBytes {
					settled++
				} else {
					settled = 0
				}
			}
			s, err := c.Resume(t.Context(), at, "r", "g", 0)
			assert.NilError(t, err)
			f, err := s.Next()
			assert.NilError(t, err)
			assert.Equal(t, f.Token, "a", "other streams are read")
			s.Close()
			leave()
			readers.Wait()
			t.Logf("%d MiB held", held>>20)
			assert.Equal(t, settled, samples, "%d MiB held", held>>20)
			assert.Assert(t, answers.Take(bound, bound) && !answers.Take(1, bound), "all memory is free again")
		})
	}
}
