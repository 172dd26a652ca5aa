package engine_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/engine"
)

// TestHeadsWithoutEndTakeLittleMemory guards against heads that are bounded, and whose short lines take many times their size.
func TestHeadsWithoutEndTakeLittleMemory(t *testing.T) {
	const maxAllocated = 4 << 20
	var text strings.Builder
	text.WriteString("HTTP/1.1 200 OK\r\n")
	for n := range 1 << 20 {
		fmt.Fprintf(&text, "%x:\r\n", n)
	}
	head := []byte(text.String())
	for _, tc := range []struct {
		name string
		call func(ctx context.Context, c *engine.Client, at netip.AddrPort) error
	}{
		{"generation", func(ctx context.Context, c *engine.Client, at netip.AddrPort) error {
			s, err := c.Start(ctx, at, engine.Request{})
			if err == nil {
				s.Close()
			}
			return err
		}},
		{"progress", func(ctx context.Context, c *engine.Client, at netip.AddrPort) error {
			_, err := c.Progress(ctx, at, "r1")
			return err
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
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
			c := engine.NewClient()
			defer c.Close()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err = tc.call(t.Context(), c, netip.MustParseAddrPort(l.Addr().String()))
			runtime.ReadMemStats(&after)
			assert.Assert(t, errors.Is(err, engine.ErrBroken), "%v", err)
			allocated := after.TotalAlloc - before.TotalAlloc
			assert.Assert(t, allocated < maxAllocated, "%d MiB allocated", allocated>>20)
		})
	}
}
