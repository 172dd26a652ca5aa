package store_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/object"
	"github.com/tarragonspur/tarragonspur/internal/store"
)

// TestWatchEventsWithoutEnd brings about a store in trouble that sends an event without end, of at most 64 MiB for the sake of the
// machine that runs the test.
func TestWatchEventsWithoutEnd(t *testing.T) {
	const sentBytes, maxHeld = 64 << 20, 16 << 20
	for _, tc := range []struct{ name, text, filler string }{
		{"value", `{"object":{"key":"a","value":"`, strings.Repeat("x", 32<<10)},
		{"space", "", strings.Repeat(" ", 32<<10)},
		{"unknown fields", "{", strings.Repeat(`"a":1,`, 4<<10)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sent := 0
			ended := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				defer close(ended)
				_, err := w.Write([]byte(tc.text))
				for err == nil && sent < sentBytes {
					var n int
					n, err = w.Write([]byte(tc.filler))
					sent += n
				}
			}))
			defer server.Close()
			c := store.NewClient(netip.MustParseAddrPort(server.Listener.Addr().String()))
			defer c.Close()
			err := c.Watch(t.Context(), "", 0, func(object.Event) {})
			assert.Assert(t, errors.Is(err, object.ErrUnavailable), "%v", err)
			<-ended
			assert.Assert(t, sent < maxHeld, "%d bytes taken", sent)
		})
	}
}

// TestLongWatchesGoOn checks that the bound on one event is none on a watch.
func TestLongWatchesGoOn(t *testing.T) {
	const events = 40
	value := strings.Repeat("QUFB", object.MaxValueBytes/3)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range events {
			_, _ = fmt.Fprintf(w, "{\"object\":{\"key\":\"a\",\"value\":%q}}\n", value)
		}
	}))
	defer server.Close()
	c := store.NewClient(netip.MustParseAddrPort(server.Listener.Addr().String()))
	defer c.Close()
	seen := 0
	err := c.Watch(t.Context(), "", 0, func(object.Event) { seen++ })
	assert.Assert(t, errors.Is(err, object.ErrUnavailable), "%v", err)
	assert.Equal(t, seen, events)
}

// TestHeadsWithoutEndTakeLittleMemory guards against heads that are bounded, and whose short lines take many times their size.
func TestHeadsWithoutEndTakeLittleMemory(t *testing.T) {
	const maxAllocated = 4 << 20
	var text strings.Builder
	text.WriteString("HTTP/1.1 200 OK\r\n")
	for n := range 1 << 20 {
		fmt.Fprintf(&text, "%x:\r\n", n)
	}
	head := []byte(text.String())
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = conn.Write(head)
		}
	}()
	c := store.NewClient(netip.MustParseAddrPort(l.Addr().String()))
	defer c.Close()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err = c.List(t.Context(), "")
	runtime.ReadMemStats(&after)
	assert.Assert(t, errors.Is(err, object.ErrUnavailable), "%v", err)
	allocated := after.TotalAlloc - before.TotalAlloc
	assert.Assert(t, allocated < maxAllocated, "%d MiB allocated", allocated>>20)
}
