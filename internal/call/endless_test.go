package call_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/call"
)

// TestHeadsWithoutEndTakeLittleMemory guards against heads that are bounded, and whose short lines take many times their size.
func TestHeadsWithoutEndTakeLittleMemory(t *testing.T) {
	const maxAllocated = 8 << 20
	var text strings.Builder
	text.WriteString("HTTP/1.1 200 OK\r\n")
	for n := range 1 << 20 {
		fmt.Fprintf(&text, "%x:\r\n", n)
	}
	head := []byte(text.String())
	for _, isNew := range []bool{false, true} {
		t.Run(fmt.Sprintf("new connection %t", isNew), func(t *testing.T) {
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
			h := call.NewHTTPSender()
			defer h.Close()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			got := h.Send(t.Context(), netip.MustParseAddrPort(l.Addr().String()), call.Call{Method: http.MethodGet, Path: "/"},
				call.SendOptions{Limit: 10 * time.Second, NewConnection: isNew})
			runtime.ReadMemStats(&after)
			assert.Equal(t, got.Event, call.EventLost, "%v", got.Err)
			allocated := after.TotalAlloc - before.TotalAlloc
			assert.Assert(t, allocated < maxAllocated, "%d MiB allocated", allocated>>20)
		})
	}
}
