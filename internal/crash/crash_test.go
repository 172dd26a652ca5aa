package crash

import (
	"io"
	"log/slog"
	"net"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

func newTable() *Table { return &Table{Log: slog.New(slog.NewTextHandler(io.Discard, nil))} }

// deadAddress returns an address that nothing listens on.
func deadAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	l := listen(t)
	address := netip.MustParseAddrPort(l.Addr().String())
	assert.NilError(t, l.Close())
	return address
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func TestTwoDeathsQuarantineARequest(t *testing.T) {
	table, dead := newTable(), deadAddress(t)
	table.Probe(t.Context(), 7, "a", dead)
	table.Probe(t.Context(), 7, "a", dead)
	assert.Assert(t, !table.IsQuarantined(7), "two deaths of one backend server count once")
	table.Probe(t.Context(), 7, "b", dead)
	assert.Assert(t, table.IsQuarantined(7))
	assert.Assert(t, !table.IsQuarantined(8))
}

func TestBrokenConnectionsOfLivingServersDoNotCount(t *testing.T) {
	table := newTable()
	alive := netip.MustParseAddrPort(listen(t).Addr().String())
	for _, server := range []string{"a", "b", "c"} {
		table.Probe(t.Context(), 7, server, alive)
	}
	assert.Assert(t, !table.IsQuarantined(7))
}

func TestMarksOfOtherHostsCount(t *testing.T) {
	local, remote := newTable(), newTable()
	local.Probe(t.Context(), 7, "a", deadAddress(t))
	remote.Probe(t.Context(), 7, "b", deadAddress(t))
	remote.Merge(local.Own())
	assert.Assert(t, remote.IsQuarantined(7))
	assert.Equal(t, len(remote.Own()), 1, "another host's marks are not announced again")
}
