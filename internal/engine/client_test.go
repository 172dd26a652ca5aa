package engine_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/engine"
)

func TestRecoveryCallsAvoidPooledConnections(t *testing.T) {
	var opened atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("{}"))
	}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	addr := netip.MustParseAddrPort(server.Listener.Addr().String())
	c := engine.NewClient()
	defer c.Close()
	load := func() error { _, err := c.Load(t.Context(), addr); return err }
	progress := func() error { _, err := c.Progress(t.Context(), addr, "req"); return err }
	cancel := func() error { return c.Cancel(t.Context(), addr, "req") }
	loadAfterDiscard := func() error { c.DiscardPool(addr); return load() }
	steps := []struct {
		name string
		run  func() error
		want int32
	}{
		{"load", load, 1},
		{"load again", load, 1},
		{"progress", progress, 2},
		{"cancel", cancel, 3},
		{"load on the pooled connection", load, 3},
		{"load after a failure", loadAfterDiscard, 4},
	}
	for _, s := range steps {
		assert.NilError(t, s.run(), s.name)
		assert.Equal(t, opened.Load(), s.want, s.name)
	}
}

// TestEnginesThatDoNotAnswer checks that only a refused connection shows that nothing runs at an address.
func TestEnginesThatDoNotAnswer(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed := netip.MustParseAddrPort(l.Addr().String())
	assert.NilError(t, l.Close())
	closing := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer closing.Close()
	tests := []struct {
		name         string
		addr         netip.AddrPort
		notListening bool
	}{
		{"the connection is refused", closed, true},
		{"the connection is closed without an answer", netip.MustParseAddrPort(closing.Listener.Addr().String()), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := engine.NewClient()
			defer c.Close()
			err := c.Cancel(t.Context(), tt.addr, "req")
			assert.Assert(t, err != nil)
			assert.Equal(t, errors.Is(err, engine.ErrNotListening), tt.notListening, "%v", err)
		})
	}
}

func TestFinishedStreamReusesConnection(t *testing.T) {
	var opened atomic.Int32
	closing := make(chan struct{}, 1)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(wholeStream))
		_ = http.NewResponseController(w).Flush()
		<-closing
	}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	c := engine.NewClient()
	defer c.Close()
	for range 3 {
		s, err := c.Start(t.Context(), netip.MustParseAddrPort(server.Listener.Addr().String()), engine.Request{ID: "r"})
		assert.NilError(t, err)
		for f := (engine.Frame{}); f.Finish == ""; {
			f, err = s.Next()
			assert.NilError(t, err)
		}
		closing <- struct{}{}
		s.Close()
		s.Close()
	}
	assert.Equal(t, opened.Load(), int32(1))
}
