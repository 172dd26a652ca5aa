package site

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/dig"

	"github.com/tarragonspur/tarragonspur/internal/budget"
	"github.com/tarragonspur/tarragonspur/internal/crash"
	"github.com/tarragonspur/tarragonspur/internal/front"
	"github.com/tarragonspur/tarragonspur/internal/gossip"
	"github.com/tarragonspur/tarragonspur/internal/httpd"
	"github.com/tarragonspur/tarragonspur/internal/logs"
	"github.com/tarragonspur/tarragonspur/internal/metric"
	"github.com/tarragonspur/tarragonspur/internal/mirror"
	"github.com/tarragonspur/tarragonspur/internal/policy"
	"github.com/tarragonspur/tarragonspur/internal/pool"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
	"github.com/tarragonspur/tarragonspur/internal/watch"
	"github.com/tarragonspur/tarragonspur/pkg/config"
	"github.com/tarragonspur/tarragonspur/platform"
)

const (
	// tableWait is the longest wait of one call for a newer table.
	tableWait = 800 * time.Millisecond
	// waitsPerKeyAge is the number of waits within which keys are refused. A confirmation is up to two waits old at the
	// host that reads, two more at a host that asks it, and one call may fail.
	waitsPerKeyAge = 5
	// serversWait bounds the age at which a reading host hands on backend servers and failure domains.
	serversWait = 2 * time.Second
	// collect gathers changes of backend servers into one call.
	collect = 60 * time.Millisecond
	// keyMargin is the part of the bound on keys that a table may age.
	keyMargin = 0.88
	// coldMargin is the part of a cold backend server's bound that the hosts use together.
	coldMargin = 1.1
)

// constructors is the visible list of all that a host is made of.
var constructors = [...]any{
	newStore,
	newMirror,
	newMirrorServer,
	newHolder,
	newPool,
	newHealth,
	newSyncStatus,
	newCrashes,
	newGossip,
	newBudget,
	newFront,
	metric.New,
	metric.NewFront,
	newTables,
	newServers,
	newEvacuations,
	newControllers,
	newListeners,
}

// Build composes a host from its settings and opens its listeners.
func Build(ctx context.Context, s config.Settings, lines *logs.Writer, log *slog.Logger) (*Site, error) {
	c := dig.New()
	values := []any{
		func() context.Context { return ctx },
		func() config.Settings { return s },
		func() *logs.Writer { return lines },
		func() *slog.Logger { return log },
	}
	for _, constructor := range append(values, constructors[:]...) {
		if err := c.Provide(constructor); err != nil {
			return nil, errors.Wrap(err, "compose host")
		}
	}
	var built *Site
	err := c.Invoke(func(p parts) error {
		built = &Site{parts: p}
		return built.addGauges(p.Metrics)
	})
	return built, errors.Wrap(err, "compose host")
}

func newStore(s config.Settings, log *slog.Logger) *platform.Store {
	return platform.NewStore(s.Store, log)
}

func newMirror(st *platform.Store, g *gossip.Gossip, health *watch.Health, log *slog.Logger) *mirror.Mirror {
	m := &mirror.Mirror{Store: st, Readers: g, Link: &mirror.Link{}, Log: log}
	g.IsReading = func() bool { return m.IsReading(platform.KindTables) && !health.IsUnreachable() }
	return m
}

func newMirrorServer(s config.Settings, m *mirror.Mirror) *mirror.Server {
	return &mirror.Server{Mirror: m, Address: s.Peers}
}

func newHolder() *policy.Holder { return &policy.Holder{} }

func newPool(s config.Settings) *pool.Pool { return &pool.Pool{Domain: s.Domain, Region: s.Region} }

func newHealth(log *slog.Logger) *watch.Health { return &watch.Health{Log: log} }

func newSyncStatus() *watch.SyncStatus { return &watch.SyncStatus{} }

// notices tells whether notices of backend servers that end may have been missed: by this host, or by the one that
// reads for it.
type notices struct {
	gossip     *gossip.Gossip
	syncStatus *watch.SyncStatus
}

// IsUnreachable makes notices a front.Store.
func (n notices) IsUnreachable() bool {
	return n.syncStatus.IsOutOfSync() || n.gossip.IsReaderMissing()
}

// readable reports whether a host reads the store for this one.
func readable(g *gossip.Gossip) func() bool {
	return func() bool {
		_, ok := g.Reader()
		return ok
	}
}

func newCrashes(log *slog.Logger) *crash.Table { return &crash.Table{Log: log} }

func newGossip(s config.Settings, st *platform.Store, p *pool.Pool, t *crash.Table, log *slog.Logger) *gossip.Gossip {
	g := gossip.New()
	g.Self, g.Region, g.Address, g.Cores = s.Host, s.Region, s.Peers, s.Platform.Cores
	g.Registry, g.Pool, g.Crashes, g.Log = platform.Hosts{Store: st}, p, t, log
	for _, seed := range s.Platform.Seeds {
		g.Seeds = append(g.Seeds, netip.AddrPortFrom(seed.Addr(), s.Peers.Port()))
	}
	p.OnClaim = g.BroadcastNow
	p.ColdShare = func(server string, perSecond float64) float64 { return g.ColdShare(server, coldMargin*perSecond) }
	return g
}

func newBudget(s config.Settings, g *gossip.Gossip) *budget.Shared {
	b := &budget.Shared{
		Ratio: s.Platform.RetryRatio, Extra: s.Platform.RetryExtra, Window: time.Duration(s.Platform.RetryWindow),
		Hosts: g.Hosts, RemoteCounts: g.Sends, Now: ticks.Now,
	}
	g.Budget = b
	return b
}

func newFront(s config.Settings, h *policy.Holder, p *pool.Pool, b *budget.Shared, t *crash.Table, g *gossip.Gossip, syncStatus *watch.SyncStatus, m *metric.Front, log *slog.Logger) *front.Front {
	f := &front.Front{
		RoutingState: front.RoutingState{Tables: h, Pool: p},
		Dialect:      platform.Dialect{}, Copies: platform.Engines{},
		Store: notices{g, syncStatus}, Budget: b, Guard: t, Meter: m, Log: log,
	}
	f.SetKeyAge(keyAge(s))
	return f
}

// keyAge is the age of the table at which keys are refused: the time that a request takes to be decided is left of the bound.
func keyAge(s config.Settings) time.Duration {
	return time.Duration(keyMargin * float64(s.Platform.KeyAge))
}

// waitForTable is the wait of one call for a newer table.
func waitForTable(s config.Settings) time.Duration {
	if s.Platform.KeyAge == 0 {
		return tableWait
	}
	return min(tableWait, keyAge(s)/waitsPerKeyAge)
}

func newTables(s config.Settings, m *mirror.Mirror, h *policy.Holder, health *watch.Health, g *gossip.Gossip, log *slog.Logger) *watch.Follower[*policy.Table] {
	return &watch.Follower[*policy.Table]{
		Kind: "table", Source: platform.Tables{Store: m, Log: log}, Sink: &watch.Tables{Holder: h, Log: log},
		Wait: waitForTable(s), BatchDelay: collect / 2, Health: health, HasReader: readable(g), Log: log,
	}
}

func newServers(s config.Settings, m *mirror.Mirror, p *pool.Pool, health *watch.Health, syncStatus *watch.SyncStatus, g *gossip.Gossip, log *slog.Logger) *watch.Follower[pool.Server] {
	return &watch.Follower[pool.Server]{
		Kind: "backend servers", Source: platform.Servers{Store: m, Log: log, Regions: s.Platform.Regions},
		Sink: &watch.Servers{Pool: p, Health: health, Log: log}, Wait: serversWait, BatchDelay: collect, Health: health,
		SyncStatus: syncStatus, HasReader: readable(g), Log: log,
	}
}

func newEvacuations(m *mirror.Mirror, p *pool.Pool, health *watch.Health, g *gossip.Gossip, log *slog.Logger) *watch.Follower[string] {
	return &watch.Follower[string]{
		Kind: "failure domains", Source: platform.Evacuations{Store: m}, Sink: &watch.Evacuations{Pool: p, Log: log},
		Wait: serversWait, BatchDelay: collect, Health: health, HasReader: readable(g), Log: log,
	}
}

// newControllers is the visible list of the host's activities.
func newControllers(t *watch.Follower[*policy.Table], s *watch.Follower[pool.Server], e *watch.Follower[string], g *gossip.Gossip, m *mirror.Server) []Controller {
	return []Controller{t, s, e, g, m}
}

// listeners are the open listeners of a host.
type listeners struct{ callers, ready, metrics net.Listener }

func newListeners(ctx context.Context, s config.Settings) (listeners, error) {
	var l listeners
	err := httpd.Open(ctx,
		httpd.Port{Name: "callers", Address: &s.Callers, Listener: &l.callers},
		httpd.Port{Name: "readiness", Address: &s.Platform.Ready, Listener: &l.ready},
		httpd.Port{Name: "metrics", Address: &s.Metrics, Listener: &l.metrics},
	)
	return l, err
}

// parts are what a site is composed of.
type parts struct {
	dig.In

	Settings    config.Settings
	Listeners   listeners
	Front       *front.Front
	Holder      *policy.Holder
	Pool        *pool.Pool
	Gossip      *gossip.Gossip
	Metrics     *metric.Set
	Lines       *logs.Writer
	Controllers []Controller
	Log         *slog.Logger
}

// callerServer returns the server towards callers.
func (s *Site) callerServer() *http.Server {
	limits := s.Settings.Limits
	return &http.Server{
		Handler:                      s.Front,
		DisableGeneralOptionsHandler: true,
		MaxHeaderBytes:               limits.HeaderBytes,
		ReadHeaderTimeout:            time.Duration(limits.HeaderRead),
		IdleTimeout:                  idleTimeout,
		ErrorLog:                     slog.NewLogLogger(s.Log.Handler(), slog.LevelDebug),
	}
}
