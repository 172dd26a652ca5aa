package httpd

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestOpen(t *testing.T) {
	any1, any2 := netip.MustParseAddrPort("127.0.0.1:0"), netip.MustParseAddrPort("127.0.0.1:0")
	var a, b net.Listener
	assert.NilError(t, ListenAll(t.Context(), Port{"a", &any1, &a}, Port{"b", &any2, &b}))
	assert.Assert(t, any1.Port() != 0 && any2.Port() != 0)
	taken, free := any2, any1
	Close(a, nil)
	var c, d net.Listener
	err := ListenAll(t.Context(), Port{"free", &free, &c}, Port{"taken", &taken, &d})
	assert.ErrorContains(t, err, "listen for taken")
	assert.Assert(t, c == nil && d == nil)
	again, err := Listen(t.Context(), free.String())
	assert.NilError(t, err, "a failure leaves nothing open")
	Close(again, b)
}

func TestAwaitOK(t *testing.T) {
	var asked atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if asked.Add(1) < 3 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer server.Close()
	assert.NilError(t, AwaitOK(t.Context(), server.URL, time.Millisecond))
	assert.Equal(t, asked.Load(), int32(3))
}
