package site

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
	"github.com/tarragonspur/tarragonspur/internal/gossip"
	"github.com/tarragonspur/tarragonspur/internal/mirror"
	"github.com/tarragonspur/tarragonspur/internal/policy"
	"github.com/tarragonspur/tarragonspur/internal/settle"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
	"github.com/tarragonspur/tarragonspur/internal/watch"
	"github.com/tarragonspur/tarragonspur/pkg/config"
	"github.com/tarragonspur/tarragonspur/platform"
)

const (
	// drillKeyAge is the time after which a withdrawn key must be refused, drillRewrite the time from the store's return until the
	// operator writes again, and drillServe the time after that in which all hosts accept the keys that were kept.
	drillKeyAge  = 1500 * time.Millisecond
	drillRewrite = 2 * time.Second
	drillServe   = 2 * time.Second
)

// drillHost is a host that follows the table and reports the one in force to other hosts.
type drillHost struct {
	rig     *drillRig
	index   int
	address netip.AddrPort
	toStore *link
	// toOthers are its ways to the other hosts.
	toOthers []*link
	holder   atomic.Pointer[policy.Holder]
	mirror   atomic.Pointer[mirror.Mirror]
	stop     func()
}

// drillRig is a store and hosts.
type drillRig struct {
	store *plat.Store
	hosts []*drillHost
	// hasReader makes the first host read the store for the others while it runs.
	hasReader bool
	settings  config.Settings
}

func newDrillRig(t *testing.T, hosts int, hasReader bool, maxAge time.Duration) *drillRig {
	t.Helper()
	r := &drillRig{store: plat.NewStore(), hasReader: hasReader}
	t.Cleanup(r.store.Close)
	r.store.NameEras()
	r.settings = config.Settings{Region: "east", Platform: &config.Platform{KeyAge: config.Duration(maxAge), TableApply: config.Duration(leavingTime)}}
	r.put(1)
	for i := range hosts {
		l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", fmt.Sprintf("127.0.4.%d:0", rigsStarted.Add(1)))
		assert.NilError(t, err)
		r.hosts = append(r.hosts, &drillHost{rig: r, index: i, address: netip.MustParseAddrPort(l.Addr().String()), toStore: newLink(t, r.store.Address())})
		assert.NilError(t, l.Close())
	}
	for _, h := range r.hosts {
		for _, other := range r.hosts {
			h.toOthers = append(h.toOthers, newLink(t, other.address))
		}
		h.start(t)
	}
	t.Cleanup(func() {
		for _, h := range r.hosts {
			h.kill()
		}
	})
	r.await(t, 1)
	return r
}

func (r *drillRig) put(version int64) {
	r.store.Put("config", "main", map[string]any{"version": version, "routes": []any{}, "services": []any{}})
}

// await waits until all hosts have a version in force and accept its keys.
func (r *drillRig) await(t *testing.T, version int64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, h := range r.hosts {
			if inForce, accepts := h.state(); inForce != version || !accepts {
				return poll.Continue("host %d has version %d in force, accepts keys: %t", h.index, inForce, accepts)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(drillServe), poll.WithDelay(5*time.Millisecond))
}

// OtherHosts implements settle.Hosts.
func (h *drillHost) OtherHosts(int) []mirror.Host {
	var all []mirror.Host
	for i, l := range h.toOthers {
		if i != h.index {
			all = append(all, mirror.Host{Name: fmt.Sprint("h", i), Address: l.address})
		}
	}
	return all
}

// reader returns the host that reads the store for this one.
func (h *drillHost) reader() (mirror.Host, bool) {
	first := h.rig.hosts[0].mirror.Load()
	if !h.rig.hasReader || h.index == 0 || first == nil || !first.IsReading(platform.KindTables) {
		return mirror.Host{}, false
	}
	return mirror.Host{Name: "h0", Address: h.toOthers[0].address}, true
}

func (h *drillHost) start(t *testing.T) {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	ctx, cancel := context.WithCancel(context.Background())
	readers := rigReaders{hosts: len(h.rig.hosts), isPreferred: h.index == 0, reader: h.reader}
	store := platform.NewStore(h.toStore.address, log)
	m := newTestMirror(h.rig.settings, store, readers, log)
	g, holder := gossip.New(), &policy.Holder{}
	g.Region, g.Log = h.rig.settings.Region, log
	g.IsReading = func() bool { return m.IsReading(platform.KindTables) }
	settler := newSettler(h.rig.settings, store, holder, g, log)
	settler.Hosts, settler.IsReader = h, func() bool { return m.IsReading(platform.KindTables) && !hasPeer(readers) }
	tables := newTables(h.rig.settings, m, holder, settler, &watch.Health{Log: log}, g, log)
	tables.HasReader = func() bool { return hasPeer(readers) }
	server := &mirror.Server{Mirror: m, Address: h.address, Register: func(to grpc.ServiceRegistrar) { (&settle.Server{Settler: settler}).Register(to) }}
	loops := []func(context.Context) error{tables.Run, settler.Run, server.Run}
	ended := make(chan error, len(loops))
	for _, run := range loops {
		go func() { ended <- run(ctx) }()
	}
	h.holder.Store(holder)
	h.mirror.Store(m)
	h.stop = func() {
		cancel()
		for range loops {
			assert.NilError(t, <-ended)
		}
		m.Link.Close()
	}
}

// kill ends the host; it does nothing if the host does not run.
func (h *drillHost) kill() {
	h.holder.Store(nil)
	h.mirror.Store(nil)
	if h.stop != nil {
		h.stop()
		h.stop = nil
	}
}

func (h *drillHost) restart(t *testing.T) {
	t.Helper()
	h.kill()
	h.start(t)
}

// cutOff cuts the host off from the store and the other hosts, or undoes it.
func (h *drillHost) cutOff(isCut bool) {
	for _, l := range append([]*link{h.toStore}, h.toOthers...) {
		l.isCut.Store(isCut)
	}
}

// state returns the version in force, 0 for none, and whether the host accepts its keys.
func (h *drillHost) state() (version int64, acceptsKeys bool) {
	holder := h.holder.Load()
	if holder == nil {
		return 0, false
	}
	table, confirmed := holder.View()
	if table == nil {
		return 0, false
	}
	return table.Version, ticks.Now()-confirmed <= keyAge(h.rig.settings)
}

// comeBack makes the store come back from a copy; meanwhile happens while it is away.
func (r *drillRig) comeBack(copied *plat.Copy, meanwhile func()) {
	r.store.SetOutage(plat.Busy)
	time.Sleep(150 * time.Millisecond)
	meanwhile()
	time.Sleep(150 * time.Millisecond)
	r.store.Return(copied)
	r.store.SetOutage(plat.Up)
}

// checkWithdrawn checks for a time that no host accepts keys of version 1, and that none which has started since the copy has it in force:
// a table takes routes away too.
func (r *drillRig) checkWithdrawn(t *testing.T, started func(h *drillHost) bool, d time.Duration) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		for _, h := range r.hosts {
			version, accepts := h.state()
			assert.Assert(t, version != 1 || !accepts, "host %d accepts the keys of version 1", h.index)
			assert.Assert(t, version != 1 || !started(h), "host %d, which has started, has version 1 in force", h.index)
		}
	}
}

// TestHostsThatKnowLessAcceptNoWithdrawnKeys guards against hosts that take a copy for the newest table after the store's return: hosts that
// start, or that were cut off since before a key was withdrawn. It also guards against hosts that refuse the keys that were kept for longer
// than it takes the operator to write again.
func TestHostsThatKnowLessAcceptNoWithdrawnKeys(t *testing.T) {
	for _, tc := range []struct {
		name      string
		hosts     int
		hasReader bool
		// isolated are the hosts that are cut off from before the key is withdrawn until the store is back.
		isolated []int
		// away happens while the store is away, back once it has come back.
		away, back func(t *testing.T, r *drillRig)
		// returns is the number of times that the store comes back.
		returns int
	}{
		{name: "one starts while the store is away", hosts: 3, away: func(t *testing.T, r *drillRig) { r.hosts[1].restart(t) }},
		{name: "one starts while the store is away, with a reader", hosts: 3, hasReader: true, away: func(t *testing.T, r *drillRig) { r.hosts[1].restart(t) }},
		{name: "the reader starts while the store is away", hosts: 3, hasReader: true, away: func(t *testing.T, r *drillRig) { r.hosts[0].restart(t) }},
		{name: "one starts after the return", hosts: 3, back: func(t *testing.T, r *drillRig) { r.hosts[1].restart(t) }},
		{name: "one starts after the return, with a reader", hosts: 3, hasReader: true, back: func(t *testing.T, r *drillRig) { r.hosts[2].restart(t) }},
		{name: "two start", hosts: 3, away: func(t *testing.T, r *drillRig) { r.hosts[0].restart(t); r.hosts[1].restart(t) }},
		{name: "two start, with a reader", hosts: 3, hasReader: true, away: func(t *testing.T, r *drillRig) { r.hosts[0].restart(t); r.hosts[1].restart(t) }},
		{name: "all start", hosts: 3, away: func(t *testing.T, r *drillRig) {
			for _, h := range r.hosts {
				h.kill()
			}
			for _, h := range r.hosts {
				h.start(t)
			}
		}},
		{name: "all start, with a reader", hosts: 3, hasReader: true, away: func(t *testing.T, r *drillRig) {
			for _, h := range r.hosts {
				h.kill()
			}
			for _, h := range r.hosts {
				h.start(t)
			}
		}},
		{name: "the only host starts", hosts: 1, away: func(t *testing.T, r *drillRig) { r.hosts[0].restart(t) }},
		{name: "one was cut off", hosts: 3, isolated: []int{1}},
		{name: "one was cut off, with a reader", hosts: 3, hasReader: true, isolated: []int{1}},
		{name: "the reader was cut off", hosts: 3, hasReader: true, isolated: []int{0}},
		{name: "two were cut off", hosts: 3, isolated: []int{0, 2}},
		{name: "one starts between two returns", hosts: 3, returns: 2, back: func(t *testing.T, r *drillRig) {
			if r.store.Era() == 2 {
				r.hosts[1].restart(t)
			}
		}},
		{name: "all start between two returns, with a reader", hosts: 3, hasReader: true, returns: 2, back: func(t *testing.T, r *drillRig) {
			for _, h := range r.hosts {
				if r.store.Era() == 2 {
					h.restart(t)
				}
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			r := newDrillRig(t, tc.hosts, tc.hasReader, drillKeyAge)
			// The record that an era counts is in the copy.
			time.Sleep(markTime)
			for _, i := range tc.isolated {
				r.hosts[i].cutOff(true)
			}
			copied := r.store.Copy()
			r.put(2)
			time.Sleep(drillKeyAge)
			first := make(map[*drillHost]*policy.Holder)
			for _, h := range r.hosts {
				first[h] = h.holder.Load()
			}
			for range max(1, tc.returns) {
				r.comeBack(copied, func() {
					if tc.away != nil {
						tc.away(t, r)
					}
				})
				for _, i := range tc.isolated {
					r.hosts[i].cutOff(false)
				}
				if tc.back != nil {
					tc.back(t, r)
				}
				time.Sleep(300 * time.Millisecond)
			}
			r.checkWithdrawn(t, func(h *drillHost) bool { return h.holder.Load() != first[h] }, drillRewrite)
			r.store.WriteAgain(copied)
			r.await(t, 2)
		})
	}
}

// markTime is the time in which a host records in the store that the table counts.
const markTime = 1200 * time.Millisecond

// TestReturnWithoutLossInterruptsNoKeys guards against hosts that refuse keys after a return that has lost nothing, which the operator's
// second write does not show: it changes nothing.
func TestReturnWithoutLossInterruptsNoKeys(t *testing.T) {
	for _, hasReader := range []bool{false, true} {
		t.Run(fmt.Sprint("reader ", hasReader), func(t *testing.T) {
			t.Parallel()
			r := newDrillRig(t, 3, hasReader, 5*time.Second)
			r.comeBack(r.store.Copy(), func() {})
			for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
				for _, h := range r.hosts {
					version, accepts := h.state()
					assert.Assert(t, version == 1 && accepts, "host %d: version %d, accepts keys: %t", h.index, version, accepts)
				}
			}
			r.hosts[1].restart(t)
			r.await(t, 1)
		})
	}
}
