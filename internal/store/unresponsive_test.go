package store_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/store"
)

// TestCallAfterASilentConnection lets two pooled connections go silent: only the first call may meet one.
func TestCallAfterASilentConnection(t *testing.T) {
	var silent atomic.Bool
	var together sync.WaitGroup
	together.Add(2)
	known := sync.Map{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, old := known.LoadOrStore(r.RemoteAddr, true)
		if silent.Load() && old {
			<-r.Context().Done()
			return
		}
		if !silent.Load() {
			together.Done()
			together.Wait()
		}
		_, _ = w.Write([]byte("{}"))
	}))
	defer server.Close()
	c := store.NewClient(netip.MustParseAddrPort(server.Listener.Addr().String()))
	defer c.Close()
	var first sync.WaitGroup
	for range 2 {
		first.Go(func() { _, _ = c.Get(t.Context(), "k") })
	}
	first.Wait()
	silent.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := c.Get(ctx, "k")
	assert.Assert(t, err != nil)
	_, err = c.Get(t.Context(), "k")
	assert.NilError(t, err)
}
