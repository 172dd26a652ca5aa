package sched

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/peer/peerpb"
	"github.com/tarragonspur/tarragonspur/internal/route"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const (
	scaleServices = 5
	scaleDomains  = 6
	scaleOwned    = 7
)

// ownsFirst is a Capacity that owns the first few backend servers and leaves the others to another host.
type ownsFirst struct{ owned int }

func (f ownsFirst) Owner(backend string) (string, bool) {
	n, _ := strconv.Atoi(backend[1:])
	if n < f.owned {
		return "self", true
	}
	return "other", true
}

func (ownsFirst) Headroom(string, time.Time) int           { return 1 }
func (ownsFirst) Started(string, string, time.Time)        {}
func (ownsFirst) Ended(string, string, Outcome, time.Time) {}
func serviceOf(i int) string                               { return "service-" + strconv.Itoa(i%scaleServices) }

func scaleKey(i int) board.RowKey {
	return board.RowKey{Workspace: "w" + strconv.Itoa(i), Service: serviceOf(i)}
}

// scaleCore returns a host of a large fleet: every workspace waits at the backend server b0.
func scaleCore(backends, workspaces int) (*Core, time.Time) {
	now := time.Unix(1_800_000_000, 0)
	v := &board.View{
		Rows: make(map[board.RowKey]config.Row), Backends: make(map[string]config.Backend), Domains: make(map[string]config.Domain),
	}
	for i := range scaleDomains {
		name := "d" + strconv.Itoa(i)
		v.Domains[name] = config.Domain{Name: name, Region: "r" + strconv.Itoa(i%2)}
	}
	for i := range backends {
		b := config.Backend{
			Name: "b" + strconv.Itoa(i), Service: serviceOf(i), Domain: "d" + strconv.Itoa(i/scaleServices%scaleDomains),
			MaxRunning: 128, MemoryTokens: 65_536,
		}
		v.Table.Backends = append(v.Table.Backends, b)
		v.Backends[b.Name] = b
	}
	for i := range workspaces {
		k := scaleKey(i)
		v.Rows[k] = config.Row{Workspace: k.Workspace, Service: k.Service, Weight: float64(1 + i%16), Lend: true}
	}
	c := &Core{Host: "self", Domain: "d0", Region: "r0", Capacity: ownsFirst{scaleOwned}}
	c.Configure(v, now)
	for i, b := range v.Table.Backends {
		c.Report(b.Name, engine.Load{At: now, Running: 20 + i%40, UsedTokens: 20_000 + i%30_000, TotalTokens: 65_536, TokenGap: 30 * time.Millisecond}, now)
	}
	from := peer.Sender{Host: "other", Incarnation: 1}
	for i := 0; i < workspaces; i++ {
		k := scaleKey(i)
		for n := range 2 {
			c.receiveClaim(from.Host, &peerpb.Claim{
				Id: fmt.Sprintf("%d/%d", i, n), Backend: "b" + strconv.Itoa(i%scaleServices), Service: k.Service, Workspace: k.Workspace,
				PromptTokens: 400, MaxTokens: 4096,
			}, now)
		}
	}
	c.refreshMemory(now)
	return c, now
}

func sizes() [][2]int {
	return [][2]int{{575, 1400}, {1150, 1400}, {2300, 1400}, {2300, 350}, {2300, 700}}
}

// BenchmarkDecision measures both sides of one decision: the choice of two backend servers for a request, and the
// choice of the next row at an owned backend server, including the memory check.
func BenchmarkDecision(b *testing.B) {
	for _, size := range sizes() {
		b.Run(fmt.Sprintf("backends=%d/workspaces=%d", size[0], size[1]), func(b *testing.B) {
			c, now := scaleCore(size[0], size[1])
			pool, owned := c.pools[serviceOf(0)], c.backends["b0"]
			list := make([]*route.Backend, 0, furtherClaims)
			b.ReportAllocs()
			for b.Loop() {
				list = pool.Choose(list[:0], furtherClaims, route.Criteria{Prefix: 7, LinkAllowed: true, Random: 5}, now)
				if q := c.nextQueue(owned, now); q != nil {
					c.fits(owned, q)
				}
			}
		})
	}
}

// BenchmarkTick measures the periodic work of a host, which is done fifty times a second.
func BenchmarkTick(b *testing.B) {
	for _, size := range sizes() {
		b.Run(fmt.Sprintf("backends=%d/workspaces=%d", size[0], size[1]), func(b *testing.B) {
			c, now := scaleCore(size[0], size[1])
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(TickPeriod)
				c.Tick(now)
			}
		})
	}
}
