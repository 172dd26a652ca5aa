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

// TestOnlyOneCallFailsOnUnresponsiveConnections makes two pooled connections unresponsive: only the first call after
// that may use one of them.
func TestOnlyOneCallFailsOnUnresponsiveConnections(t *testing.T) {
	var unresponsive atomic.Bool
	var bothConnected sync.WaitGroup
	bothConnected.Add(2)
	seenAddrs := sync.Map{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, reused := seenAddrs.LoadOrStore(r.RemoteAddr, true)
		if unresponsive.Load() && reused {
			<-r.Context().Done()
			return
		}
		if !unresponsive.Load() {
			bothConnected.Done()
			bothConnected.Wait()
		}
		_, _ = w.Write([]byte("{}"))
	}))
	defer server.Close()
	c := store.NewClient(netip.MustParseAddrPort(server.Listener.Addr().String()))
	defer c.Close()
	var firstCalls sync.WaitGroup
	for range 2 {
		firstCalls.Go(func() { _, _ = c.Get(t.Context(), "k") })
	}
	firstCalls.Wait()
	unresponsive.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := c.Get(ctx, "k")
	assert.Assert(t, err != nil)
	_, err = c.Get(t.Context(), "k")
	assert.NilError(t, err)
}
