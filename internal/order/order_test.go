package order_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/lease"
	"github.com/tarragonspur/tarragonspur/internal/order"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const loadTime = 20 * time.Second

// fakeEngines is a set of in-memory engines that take loadTime to load a model.
type fakeEngines struct {
	mu          sync.Mutex
	checksFence bool
	engines     map[string]*fakeEngine
	// maxLoading is the largest number of engines that loaded at the same time, loads the total number of loads.
	maxLoading int
	loads      int
}

type fakeEngine struct {
	fence    uint64
	ordered  engine.Order
	load     engine.Load
	loadedAt time.Time
	orders   []engine.Order
}

func newFakeEngines(n int, checksFence bool) *fakeEngines {
	f := &fakeEngines{checksFence: checksFence, engines: make(map[string]*fakeEngine)}
	for i := range n {
		f.engines[address(i).String()] = &fakeEngine{load: engine.Load{Boot: "1", Model: "old"}}
	}
	return f
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+i))
}

func (f *fakeEngines) Order(_ context.Context, addr netip.AddrPort, o engine.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[addr.String()]
	if f.checksFence && o.Fence < e.fence {
		return engine.ErrFenced
	}
	e.fence = max(e.fence, o.Fence)
	e.orders = append(e.orders, o)
	if o.Model != e.ordered.Model {
		f.loads++
		e.loadedAt = time.Now().Add(loadTime)
	}
	e.ordered = o
	return nil
}

// report writes the engines' load reports to the board, as the probe does.
func (f *fakeEngines) report(b *board.Board, backends []config.Backend) {
	f.mu.Lock()
	defer f.mu.Unlock()
	loading := 0
	for _, backend := range backends {
		e := f.engines[backend.Address.String()]
		if e.ordered.Model != "" && !time.Now().Before(e.loadedAt) {
			e.load.Model, e.load.Version, e.load.Role, e.load.Adapters = e.ordered.Model, e.ordered.Version, e.ordered.Role, e.ordered.Adapters
		} else if e.ordered.Model != "" {
			loading++
		}
		b.Backends.Update(backend.Name, func(s *board.BackendState) { s.Load, s.Reported = e.load, time.Now() })
	}
	f.maxLoading = max(f.maxLoading, loading)
}

func (f *fakeEngines) countLoaded(model string) int {
	n := 0
	for _, e := range f.engines {
		if e.load.Model == model {
			n++
		}
	}
	return n
}

// fakeLease is a lease that the test grants.
type fakeLease struct{ grant *lease.Grant }

func (h *fakeLease) Holds(now time.Time) (lease.Grant, bool) {
	if h.grant == nil || !now.Before(h.grant.Until) {
		return lease.Grant{}, false
	}
	return *h.grant, true
}

func newBoard(n int, checksFence bool, model string) (*board.Board, []config.Backend) {
	b := &board.Board{}
	t := config.Table{
		Services: []config.Service{{Name: "guide", Kind: config.ServiceModel, Model: model, Orders: &config.Orders{LoadsPerMinute: 2, AtOnce: 3}}},
	}
	for i := range n {
		t.Backends = append(t.Backends, config.Backend{
			Name: fmt.Sprintf("guide-%d", i), Service: "guide", Domain: "salta", Address: address(i),
			MaxRunning: 1, MemoryTokens: 1, ChecksFence: checksFence,
		})
	}
	b.Config.Advance(change.State{Version: 1, Table: t})
	return b, t.Backends
}

func newDriver(b *board.Board, f *fakeEngines, l order.Lease) *order.Driver {
	return &order.Driver{Board: b, Lease: l, Engines: f, Domain: "salta", Log: slog.New(slog.DiscardHandler)}
}

// runDrivers runs the drivers for d and writes load reports to the board twice a second.
func runDrivers(t *testing.T, d time.Duration, f *fakeEngines, b *board.Board, backends []config.Backend, drivers ...*order.Driver) {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), d)
	defer stop()
	ended := make(chan error, len(drivers))
	f.report(b, backends)
	for _, driver := range drivers {
		go func() { ended <- driver.Run(ctx) }()
	}
	for ctx.Err() == nil {
		time.Sleep(500 * time.Millisecond)
		f.report(b, backends)
	}
	for range drivers {
		assert.NilError(t, <-ended)
	}
}

func newGrant(fence uint64, d time.Duration) *lease.Grant {
	return &lease.Grant{Fence: fence, Acquired: time.Now(), Until: time.Now().Add(d)}
}

func TestEnginesReachTheDeclaredState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, backends := newBoard(6, true, "new")
		f := newFakeEngines(6, true)
		runDrivers(t, 90*time.Second, f, b, backends, newDriver(b, f, &fakeLease{newGrant(1, time.Hour)}))
		assert.Assert(t, f.loads <= 3, "%d loads in 90 s at 2 per minute", f.loads)
		runDrivers(t, 3*time.Minute, f, b, backends, newDriver(b, f, &fakeLease{newGrant(2, time.Hour)}))
		assert.Equal(t, f.countLoaded("new"), 6)
		assert.Equal(t, f.loads, 6)
		assert.Assert(t, f.maxLoading <= 3)
	})
}

func TestFormerHolderSendsNothingAfterTakeover(t *testing.T) {
	tests := []struct {
		name        string
		checksFence bool
	}{
		{"engines refuse outdated fencing tokens", true},
		{"engines ignore fencing tokens", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				oldBoard, backends := newBoard(4, tt.checksFence, "old-wish")
				b, _ := newBoard(4, tt.checksFence, "new")
				f := newFakeEngines(4, tt.checksFence)
				oldLease := &fakeLease{newGrant(1, 10*time.Second)}
				go func() { _ = newDriver(oldBoard, f, oldLease).Run(t.Context()) }()
				f.report(oldBoard, backends)
				time.Sleep(11 * time.Second)
				// The old holder's lease has ended; a new holder takes over.
				runDrivers(t, 5*time.Minute, f, b, backends, newDriver(b, f, &fakeLease{newGrant(2, time.Hour)}))
				assert.Equal(t, f.countLoaded("new"), 4)
				for _, e := range f.engines {
					i := slices.IndexFunc(e.orders, func(o engine.Order) bool { return o.Fence == 2 })
					assert.Assert(t, i >= 0)
					for _, o := range e.orders[i:] {
						assert.Equal(t, o.Fence, uint64(2))
					}
				}
			})
		})
	}
}

// TestStaleOrderIsCorrected delivers an order of a former holder to an engine that ignores fencing tokens.
func TestStaleOrderIsCorrected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, backends := newBoard(2, false, "new")
		f := newFakeEngines(2, false)
		d := newDriver(b, f, &fakeLease{newGrant(2, time.Hour)})
		runDrivers(t, 3*time.Minute, f, b, backends, d)
		assert.Equal(t, f.countLoaded("new"), 2)
		assert.NilError(t, f.Order(t.Context(), address(0), engine.Order{Fence: 1, Model: "stale"}))
		runDrivers(t, 3*time.Minute, f, b, backends, d)
		assert.Equal(t, f.countLoaded("new"), 2)
	})
}

func TestNoOrderIsSentThatCouldOutlastTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, backends := newBoard(2, true, "new")
		f := newFakeEngines(2, true)
		runDrivers(t, 5*time.Minute, f, b, backends, newDriver(b, f, &fakeLease{newGrant(1, order.SendTimeout-time.Millisecond)}))
		assert.Equal(t, f.loads, 0)
	})
}

func TestPlacementFollowsDemandSlowly(t *testing.T) {
	now := time.Unix(0, 0)
	engines := map[string][]string{"a": nil, "b": nil, "c": nil, "d": nil}
	demands := func(x, y float64) []order.AdapterDemand { return []order.AdapterDemand{{"x", x}, {"y", y}} }
	count := func(assigned map[string][]string, adapter string) int {
		n := 0
		for _, list := range assigned {
			if slices.Contains(list, adapter) {
				n++
			}
		}
		return n
	}
	var p order.Placement
	steps := []struct {
		name string
		wait time.Duration
		x, y float64
		want int
	}{
		{"equal demand", 0, 1, 1, 2},
		{"a short burst", 10 * time.Second, 5, 1, 2},
		{"the burst ends", 10 * time.Second, 1, 1, 2},
		{"demand changes", 10 * time.Second, 5, 1, 2},
		{"the new demand persists", time.Minute, 5, 1, 3},
		{"each adapter keeps a replica", 2 * time.Minute, 1000, 1, 3},
	}
	for _, s := range steps {
		now = now.Add(s.wait)
		assigned := p.Assign(now, engines, 1, demands(s.x, s.y))
		assert.Equal(t, count(assigned, "x"), s.want, s.name)
		assert.Equal(t, count(assigned, "x")+count(assigned, "y"), 4, s.name)
	}
}

// BenchmarkPlan measures one planning cycle in a failure domain of the size expected in two years.
func BenchmarkPlan(b *testing.B) {
	const engines = 384
	now := time.Unix(0, 0)
	var states []order.EngineState
	loaded := make(map[string][]string)
	for i := range engines {
		name := fmt.Sprintf("engine-%03d", i)
		loaded[name] = []string{"x"}
		states = append(states, order.EngineState{
			Backend: config.Backend{Name: name, Service: "guide"}, Desired: order.DesiredState{Model: "m", Adapters: []string{"x"}},
			Load: engine.Load{Model: "m", Adapters: []string{"x"}}, Reported: now,
		})
	}
	var planner order.Planner
	var placement order.Placement
	for b.Loop() {
		placement.Assign(now, loaded, 1, []order.AdapterDemand{{Adapter: "x", Demand: 1}})
		planner.Next(now, config.Orders{}, states)
	}
}
