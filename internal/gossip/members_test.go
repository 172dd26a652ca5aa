package gossip

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/crash"
	"github.com/tarragonspur/tarragonspur/internal/pool"
	"github.com/tarragonspur/tarragonspur/internal/tally"
)

// TestSummariesFitADatagram brings about an outage in which every host reads the store itself, with many backend servers.
func TestSummariesFitADatagram(t *testing.T) {
	now := time.Now()
	g := New()
	g.Self, g.Domain, g.Region, g.Cores, g.peers = "edge-failure-domain-0-host-000", "failure-domain-0", "region-east", 0.8, make(map[string]*peer)
	g.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	for i := 1; i < 1000; i++ {
		name := fmt.Sprintf("edge-failure-domain-%d-host-%03d", i%6, i)
		p := &peer{
			name: name, domain: fmt.Sprintf("failure-domain-%d", i%6), region: "region-east", cores: 0.2, reading: true,
			lastSeen: now, firstSeen: now, reportedAt: now, address: g.Address,
		}
		p.isMember = true
		g.peers[name] = p
	}
	others := tally.Counts{Loads: make(map[string]pool.Load)}
	for i := range 1000 {
		others.Loads[fmt.Sprintf("i-%010x", i)] = pool.Load{Runs: 20, Tokens: 300000, PendingPromptTokens: 90000}
	}
	g.others = others
	marks := make([]crash.Mark, maxSummaryMarks)
	for i := range marks {
		marks[i] = crash.Mark{Fingerprint: 1 << 63, Server: "i-0123456789"}
	}
	parcels := g.parcels(others, g.reportingHosts(now), marks, now)
	assert.Assert(t, len(parcels) > 0)
	for _, p := range parcels {
		encoded, err := cbor.Marshal(p.summary)
		assert.NilError(t, err)
		payload, err := cbor.Marshal(message{Summary: encoded, Incarnation: now.UnixMilli(), Included: 1 << 40, Rank: 999})
		assert.NilError(t, err)
		assert.Assert(t, len(payload) <= maxDatagram, "part %d of %d has %d bytes", p.summary.Part, p.summary.Parts, len(payload))
	}
}
