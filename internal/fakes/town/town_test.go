package town

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

func TestHostsNeverShareAnAddress(t *testing.T) {
	owners := make(map[netip.AddrPort]string)
	for i := range 150 {
		s, err := Settings(t.Context(), i, netip.MustParseAddrPort("127.0.0.1:1"))
		assert.NilError(t, err)
		for _, address := range []netip.AddrPort{s.Callers, s.Peers, s.Metrics, s.Platform.Ready} {
			owner, taken := owners[address]
			assert.Assert(t, !taken, "%s of %s was given to %s too", address, owner, s.Host)
			owners[address] = s.Host
		}
	}
}

func TestProcessesNeverShareAnAddress(t *testing.T) {
	const maxPID = 1 << 22
	seen := make(map[netip.Addr]int)
	for pid := 1; pid < maxPID; pid += 61 {
		address := processAddress(pid)
		other, taken := seen[address]
		assert.Assert(t, address.IsLoopback() && !taken, "processes %d and %d have %s", pid, other, address)
		seen[address] = pid
	}
}
