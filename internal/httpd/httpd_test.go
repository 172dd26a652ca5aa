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

func TestListenAll(t *testing.T) {
	addr1, addr2 := netip.MustParseAddrPort("127.0.0.1:0"), netip.MustParseAddrPort("127.0.0.1:0")
	var a, b net.Listener
	assert.NilError(t, ListenAll(t.Context(), Port{"a", &addr1, &a}, Port{"b", &addr2, &b}))
	assert.Assert(t, addr1.Port() != 0 && addr2.Port() != 0)
	taken, free := addr2, addr1
	Close(a, nil)
	var c, d net.Listener
	err := ListenAll(t.Context(), Port{"free", &free, &c}, Port{"taken", &taken, &d})
	assert.ErrorContains(t, err, "listen for taken")
	assert.Assert(t, c == nil && d == nil)
	reopened, err := Listen(t.Context(), free.String())
	assert.NilError(t, err, "listener left open after a failure")
	Close(reopened, b)
}

func TestAwaitOK(t *testing.T) {
	var requests atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) < 3 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer server.Close()
	assert.NilError(t, AwaitOK(t.Context(), server.URL, time.Millisecond))
	assert.Equal(t, requests.Load(), int32(3))
}
