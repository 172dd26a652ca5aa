package change_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/internal/object"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// largeState returns a configuration of 1,400 workspaces, 5 models and 2,300 backend servers.
func largeState() change.State {
	const (
		workspaces = 1400
		models     = 5
		backends   = 2300
		domains    = 6
	)
	random := rand.New(rand.NewPCG(1, 1))
	s := change.State{Version: 1, ID: "a"}
	for i := range models {
		name := fmt.Sprintf("model-%d", i)
		s.Table.Services = append(s.Table.Services, config.Service{Name: name, Kind: config.ServiceModel, Model: name})
	}
	for i := range domains {
		s.Domains = append(s.Domains, config.Domain{Name: fmt.Sprintf("domain-%d", i), Region: fmt.Sprintf("region-%d", i%2), State: config.DomainIn})
	}
	for i := range workspaces {
		name := fmt.Sprintf("workspace-%04d", i)
		hash := fmt.Sprintf("%016x%016x%016x%016x", random.Uint64(), random.Uint64(), random.Uint64(), random.Uint64())
		s.Table.Workspaces = append(s.Table.Workspaces, config.Workspace{Name: name, KeyHashes: []string{hash}})
		for m := range models {
			s.Table.Rows = append(s.Table.Rows, config.Row{
				Workspace: name, Service: fmt.Sprintf("model-%d", m), Weight: float64(1 + random.IntN(20)),
				MaxRunning: random.IntN(500), TokensPerSecond: float64(random.IntN(9000)), Lend: true,
			})
		}
	}
	for i := range backends {
		s.Table.Backends = append(s.Table.Backends, config.Backend{
			Name: fmt.Sprintf("backend-%04d", i), Service: fmt.Sprintf("model-%d", i%models), Domain: fmt.Sprintf("domain-%d", i%domains),
			Address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 7}), 8000),
			MaxRunning: 64, MemoryTokens: 65536, ChecksFence: i%2 == 0,
		})
	}
	return s
}

func largeChange(i int) change.Change {
	row := config.Row{Workspace: fmt.Sprintf("workspace-%04d", i%1400), Service: "model-1", Weight: 3, MaxRunning: 40, TokensPerSecond: 900, Lend: true}
	next := row
	next.Weight = 4
	return change.Change{
		Version: 2, ID: change.NewID(), Previous: "a", Operator: "ana", At: time.Unix(1, 0).UTC(),
		Edits: []change.Edit{{From: &change.Item{Row: &row}, To: &change.Item{Row: &next}}},
	}
}

func TestLargeStateFitsOneObject(t *testing.T) {
	s := largeState()
	plain, err := json.Marshal(s)
	assert.NilError(t, err)
	raw, err := s.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, len(plain) > object.MaxValueBytes, "the uncompressed state has %d bytes", len(plain))
	assert.Assert(t, len(raw) < object.MaxValueBytes/3, "the snapshot has %d bytes", len(raw))
	first, err := change.Encode(change.Change{Version: 1, ID: "a", Edits: change.Diff(change.State{}, s)})
	assert.NilError(t, err, "import the whole table as one change")
	assert.Assert(t, len(first.Raw) < object.MaxValueBytes/3, "the change has %d bytes", len(first.Raw))
}

func BenchmarkApplyOneChange(b *testing.B) {
	s := largeState()
	e, err := change.Encode(largeChange(0))
	assert.NilError(b, err)
	for b.Loop() {
		decoded, err := change.Decode(e.Raw)
		assert.NilError(b, err)
		_, err = s.Apply(decoded.Change)
		assert.NilError(b, err)
	}
	b.ReportMetric(float64(len(e.Raw)), "bytes/change")
}

func BenchmarkSnapshot(b *testing.B) {
	s := largeState()
	size := 0
	for b.Loop() {
		raw, err := s.Snapshot()
		assert.NilError(b, err)
		size = len(raw)
	}
	b.ReportMetric(float64(size), "bytes/snapshot")
}

func BenchmarkDecodeSnapshot(b *testing.B) {
	raw, err := largeState().Snapshot()
	assert.NilError(b, err)
	for b.Loop() {
		_, err := change.DecodeSnapshot(raw)
		assert.NilError(b, err)
	}
}

func BenchmarkAdvanceBoard(b *testing.B) {
	s := largeState()
	var c board.Config
	for b.Loop() {
		s.Version++
		c.Advance(s)
	}
}
