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
	"google.golang.org/grpc"

	"github.com/tarragonspur/tarragonspur/internal/assist"
	"github.com/tarragonspur/tarragonspur/internal/budget"
	"github.com/tarragonspur/tarragonspur/internal/canary"
	"github.com/tarragonspur/tarragonspur/internal/crash"
	"github.com/tarragonspur/tarragonspur/internal/epoch"
	"github.com/tarragonspur/tarragonspur/internal/front"
	"github.com/tarragonspur/tarragonspur/internal/gossip"
	"github.com/tarragonspur/tarragonspur/internal/httpd"
	"github.com/tarragonspur/tarragonspur/internal/intake"
	"github.com/tarragonspur/tarragonspur/internal/logs"
	"github.com/tarragonspur/tarragonspur/internal/metric"
	"github.com/tarragonspur/tarragonspur/internal/mirror"
	"github.com/tarragonspur/tarragonspur/internal/notice"
	"github.com/tarragonspur/tarragonspur/internal/policy"
	"github.com/tarragonspur/tarragonspur/internal/pool"
	"github.com/tarragonspur/tarragonspur/internal/queue"
	"github.com/tarragonspur/tarragonspur/internal/recall"
	"github.com/tarragonspur/tarragonspur/internal/settle"
	"github.com/tarragonspur/tarragonspur/internal/stall"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
	"github.com/tarragonspur/tarragonspur/internal/watch"
	"github.com/tarragonspur/tarragonspur/pkg/config"
	"github.com/tarragonspur/tarragonspur/platform"
)

const (
	// tableWait bounds the wait of one call for a newer table.
	tableWait = 800 * time.Millisecond
	// pollsPerKeyAge is the number of waits for a newer table that the maximum key age allows. A confirmation is up to two
	// waits old at the reading host and one more at a host that reads from it; a call may fail, or both hosts may be late.
	pollsPerKeyAge = 5
	// The parts of the time in which a table must be in force everywhere: the wait of a call for a newer one, the time that this
	// call has beyond its wait, the time that another host has for it, and the age up to which another host's table counts.
	// A silent or slow call, the pause after it and the next call fit within the time, and so do a table of that age and a call.
	tableWaitPart   = 0.2
	tableSlackPart  = 0.3
	readerDelayPart = 0.2
	readerAgePart   = 0.6
	// storePausePart is the same for the pause after calls to the store that failed, and maxStorePause bounds it where the time is
	// long: all hosts share the store's rate.
	storePausePart = 0.6
	maxStorePause  = 4 * time.Second
	// maxReaderAge bounds that age where the time is long.
	maxReaderAge = 2500 * time.Millisecond
	// serversWait bounds the wait of one call for changed backend servers and failure domains. It bounds the age at which a
	// reading host passes them on.
	serversWait = 2 * time.Second
	// The parts of the time in which all hosts must know that a backend server leaves: the wait of a call for changed ones, the time
	// that this call has beyond its wait, and the age up to which another host's servers count. A call that falls silent and the
	// next one fit within the time, and so do servers of that age and a call. The age is twice the wait and more, so that a slow
	// store does not make all hosts call it themselves.
	serversWaitPart  = 0.25
	serversSlackPart = 0.3
	serversAgePart   = 0.6
	// batchDelay is the pause that collects changes of backend servers into one call.
	batchDelay = 60 * time.Millisecond
	// keyAgeFraction is the fraction of the configured key age at which keys are refused; the rest is for the time that a
	// request takes to be decided.
	keyAgeFraction = 0.88
	// bodiesFraction is the fraction of the allowed memory for large request bodies.
	bodiesFraction = 0.25
	// answersFraction is the fraction of the allowed memory for large answers.
	answersFraction = 0.15
	// readersFraction is the fraction of the allowed memory for what callers have not read yet; readerGrace is the time without progress
	// from which a caller may be dropped for it.
	readersFraction = 0.1
	readerGrace     = 500 * time.Millisecond
	// sendBytes is the size of the kernel's buffer for a caller's answer, of which it takes twice as much.
	sendBytes = 64 << 10
	// coldOvercommit is the factor applied to a cold backend server's limit before the hosts divide it.
	coldOvercommit = 1.1
	// peersPart and checksPart divide the callers' limits of connections for the addresses for other hosts, and for readiness checks
	// and metrics, which have places of their own.
	peersPart  = 2
	checksPart = 4
)

// constructors lists the constructors of all components of a host.
var constructors = [...]any{
	newEras,
	newStore,
	newMirror,
	newMirrorServer,
	newHolder,
	newSettler,
	newPool,
	newHealth,
	newSyncStatus,
	newCrashes,
	newKeeper,
	newNotices,
	newRollouts,
	newGossip,
	newBudget,
	newQueue,
	newEngines,
	newAssist,
	newFront,
	newReaders,
	metric.New,
	metric.NewFront,
	metric.NewIntake,
	newTables,
	newServers,
	newEvacuations,
	newRolloutFollower,
	newControllers,
	newListeners,
}

// Build builds a host from its settings and opens its listeners.
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
			return nil, errors.Wrap(err, "build host")
		}
	}
	var built *Site
	err := c.Invoke(func(p components) error {
		built = &Site{components: p, builtAt: time.Now()}
		return built.addGauges(p.Metrics)
	})
	return built, errors.Wrap(err, "build host")
}

func newEras(log *slog.Logger) *epoch.Tracker { return &epoch.Tracker{Log: log} }

func newStore(s config.Settings, eras *epoch.Tracker, log *slog.Logger) *platform.Store {
	st := platform.NewStore(s.Store, log)
	st.Eras = eras
	return st
}

func newMirror(s config.Settings, st *platform.Store, g *gossip.Gossip, health *watch.Health, log *slog.Logger) *mirror.Mirror {
	m := &mirror.Mirror{Store: st, Eras: st.Eras, Readers: g, Link: &mirror.Link{}, ReaderKind: platform.KindTables, Log: log}
	boundTableAge(s, m)
	boundServersAge(s, m)
	g.IsReading = func() bool { return m.IsReading(platform.KindTables) && !health.IsUnreachable() }
	return m
}

func newMirrorServer(s config.Settings, m *mirror.Mirror, a *assist.Server, t *settle.Settler, meter *metric.Intake, log *slog.Logger) *mirror.Server {
	wrap := func(l net.Listener) (*intake.Calls, error) {
		listener, err := intake.New(l, "peers", intake.NewLimits(s).Part(peersPart), meter, log)
		return intake.NewCalls(listener, time.Duration(s.Limits.HeaderRead)), err
	}
	register := func(to grpc.ServiceRegistrar) {
		a.Register(to)
		(&settle.Server{Settler: t}).Register(to)
	}
	return &mirror.Server{Mirror: m, Address: s.Peers, Register: register, Wrap: wrap}
}

func newEngines(p *pool.Pool, n *notice.Table) platform.Engines {
	return platform.Engines{Heard: heardAt(p, n)}
}

func newAssist(e platform.Engines, p *pool.Pool, log *slog.Logger) *assist.Server {
	return &assist.Server{Mover: e, Servers: p, Log: log}
}

func newHolder() *policy.Holder { return &policy.Holder{} }

func newSettler(s config.Settings, st *platform.Store, h *policy.Holder, g *gossip.Gossip, log *slog.Logger) *settle.Settler {
	return &settle.Settler{
		Holder: h, Hosts: g, Marks: platform.Marks{Store: st}, MaxGap: keyAge(s), Decode: platform.DecodeTable, Log: log,
		IsReader: func() bool { return g.IsReading() && !hasReader(g)() },
	}
}

func newPool(s config.Settings) *pool.Pool {
	return &pool.Pool{Domain: s.Domain, Region: s.Region, EvenLoad: s.Platform.EvenLoad}
}

func newHealth(log *slog.Logger) *watch.Health { return &watch.Health{Log: log} }

func newSyncStatus() *watch.SyncStatus { return &watch.SyncStatus{} }

// storeState reports whether removals of backend servers may have been missed, by this host or by the host that reads
// the store for it.
type storeState struct {
	gossip     *gossip.Gossip
	syncStatus *watch.SyncStatus
}

// IsUnreachable implements front.Store.
func (s storeState) IsUnreachable() bool {
	return s.syncStatus.IsOutOfSync() || s.gossip.IsReaderMissing()
}

// hasReader returns a function that reports whether another host reads the store for this one.
func hasReader(g *gossip.Gossip) func() bool {
	return func() bool {
		_, ok := g.Reader()
		return ok
	}
}

func newCrashes(s config.Settings, log *slog.Logger) *crash.Table {
	return &crash.Table{Host: s.Host, Log: log}
}

func newKeeper(st *platform.Store, t *crash.Table, log *slog.Logger) *recall.Keeper {
	return &recall.Keeper{Table: t, Store: platform.Quarantines{Store: st}, Eras: st.Eras, Log: log}
}

func newNotices(log *slog.Logger) *notice.Table { return &notice.Table{Log: log} }

func newGossip(s config.Settings, st *platform.Store, p *pool.Pool, t *crash.Table, n *notice.Table, r *canary.Table, w *queue.Queue, log *slog.Logger) *gossip.Gossip {
	g := gossip.New()
	g.Self, g.Domain, g.Region, g.Address, g.Cores = s.Host, s.Domain, s.Region, s.Peers, s.Platform.Cores
	g.Queue, w.Remote = w, g
	g.Registry, g.Eras, g.Pool, g.Crashes, g.Log = platform.Hosts{Store: st}, st.Eras, p, t, log
	for _, seed := range s.Platform.Seeds {
		g.Seeds = append(g.Seeds, netip.AddrPortFrom(seed.Addr(), s.Peers.Port()))
	}
	p.OnClaim, p.Unseen, p.OtherStarts = g.BroadcastNow, g.Unseen, g.OtherStarts
	p.View = func() (time.Duration, bool) { return g.View(time.Now()) }
	g.Notices, p.Notices = n, n
	if r != nil {
		g.Rollouts, r.OnChange = r, g.BroadcastNow
	}
	t.OnChange, n.OnChange = g.BroadcastNow, g.BroadcastNow
	p.ColdShare = func(server string, perSecond float64) float64 { return g.ColdShare(server, coldOvercommit*perSecond) }
	return g
}

func newBudget(s config.Settings, g *gossip.Gossip, n *notice.Table) *budget.Shared {
	b := &budget.Shared{
		Ratio: s.Platform.RetryRatio, Extra: s.Platform.RetryExtra, Window: time.Duration(s.Platform.RetryWindow),
		Hosts: g.Hosts, RemoteCounts: g.Sends, Now: ticks.Now,
	}
	g.Budget = b
	n.Share = g.LimitShare
	return b
}

func newQueue(s config.Settings) *queue.Queue {
	return &queue.Queue{Now: time.Now, IsFair: s.Platform.FairShares}
}

func newFront(s config.Settings, e platform.Engines, h *policy.Holder, p *pool.Pool, b *budget.Shared, w *queue.Queue, t *crash.Table, n *notice.Table, r *canary.Table, g *gossip.Gossip, syncStatus *watch.SyncStatus, m *metric.Front, log *slog.Logger) *front.Front {
	f := &front.Front{
		RoutingState: front.RoutingState{Tables: h, Pool: p},
		HeaderCodec:  platform.HeaderCodec{}, Copies: e, Others: &assist.Client{Hosts: g, Log: log},
		Store: storeState{g, syncStatus}, Budget: b, Queue: w, Guard: t, Notices: n, Meter: m, Log: log,
		MaxBodiesBytes:  int64(bodiesFraction * float64(s.Platform.MemoryMB) * megabyte),
		MaxAnswersBytes: int64(answersFraction * float64(s.Platform.MemoryMB) * megabyte),
	}
	if r != nil {
		f.Rollouts = r
	}
	f.CallerConn = func(ctx context.Context) front.CallerConn {
		if c := intake.ConnOf(ctx); c != nil {
			return c
		}
		return nil
	}
	f.SetMaxKeyAge(keyAge(s))
	return f
}

func newReaders(s config.Settings, f *front.Front, m *metric.Front) *front.Readers {
	limits := stall.Limits{
		Stopped: time.Duration(s.Limits.ReaderStall), Grace: min(readerGrace, time.Duration(s.Limits.ReaderStall)),
		HeldBytes: int64(readersFraction * float64(s.Platform.MemoryMB) * megabyte),
	}
	return &front.Readers{Front: f, Limits: limits, Meter: m}
}

// heardAt returns a function that records what the backend server at an address states.
func heardAt(p *pool.Pool, n *notice.Table) func(netip.AddrPort, notice.Statement) {
	return func(at netip.AddrPort, states notice.Statement) {
		if s, found := p.ServerAt(at); found {
			n.Heard(notice.Server{ID: s.ID, Service: s.Service, StartedMS: s.StartedMS}, states)
		}
	}
}

// keyAge returns the age of the table at which keys are refused.
func keyAge(s config.Settings) time.Duration {
	return time.Duration(keyAgeFraction * float64(s.Platform.KeyAge))
}

// tableWaitFor returns the wait of one call for a newer table.
func tableWaitFor(s config.Settings) time.Duration {
	wait := tableWait
	if s.Platform.KeyAge > 0 {
		wait = min(wait, keyAge(s)/pollsPerKeyAge)
	}
	if s.Platform.TableApply > 0 {
		wait = min(wait, applyPart(s, tableWaitPart))
	}
	return wait
}

// applyPart returns a part of the time in which a table must be in force.
func applyPart(s config.Settings, part float64) time.Duration {
	return time.Duration(part * float64(s.Platform.TableApply))
}

// serversPart returns a part of the time in which all hosts must know that a backend server leaves.
func serversPart(s config.Settings, part float64) time.Duration {
	return time.Duration(part * float64(s.Platform.ServerApply))
}

// serversWaitFor returns the wait of one call for changed backend servers.
func serversWaitFor(s config.Settings) time.Duration {
	if s.Platform.ServerApply == 0 {
		return serversWait
	}
	return min(serversWait, serversPart(s, serversWaitPart))
}

// boundServersAge bounds how long a host relies on another one for the backend servers.
func boundServersAge(s config.Settings, m *mirror.Mirror) {
	if s.Platform.ServerApply > 0 {
		m.MaxAges = map[string]time.Duration{platform.KindServers: min(maxReaderAge, serversPart(s, serversAgePart))}
	}
}

// boundTableAge bounds how long a host relies on another one for the table.
func boundTableAge(s config.Settings, m *mirror.Mirror) {
	m.MaxReaderAge = min(maxReaderAge, applyPart(s, readerAgePart))
	m.MaxReaderDelay = applyPart(s, readerDelayPart)
	m.MaxPause = min(maxStorePause, applyPart(s, storePausePart))
}

func newTables(s config.Settings, m *mirror.Mirror, h *policy.Holder, t *settle.Settler, health *watch.Health, g *gossip.Gossip, log *slog.Logger) *watch.Follower[*policy.Table] {
	return &watch.Follower[*policy.Table]{
		Kind: "table", Source: platform.Tables{Store: m, Log: log}, Sink: &watch.Tables{Holder: h, Settler: t, Log: log},
		Wait: tableWaitFor(s), Slack: applyPart(s, tableSlackPart), BatchDelay: batchDelay / 2, Health: health, HasReader: hasReader(g), Log: log,
	}
}

func newServers(s config.Settings, m *mirror.Mirror, p *pool.Pool, health *watch.Health, syncStatus *watch.SyncStatus, g *gossip.Gossip, log *slog.Logger) *watch.Follower[pool.Server] {
	return &watch.Follower[pool.Server]{
		Kind: "backend servers", Source: platform.Servers{Store: m, Log: log, Regions: s.Platform.Regions, HasVersions: s.Platform.Rollout != nil},
		Sink: &watch.Servers{Pool: p, Health: health, Log: log}, Wait: serversWaitFor(s), Slack: serversPart(s, serversSlackPart), BatchDelay: batchDelay, Health: health,
		SyncStatus: syncStatus, HasReader: hasReader(g), Log: log,
	}
}

func newEvacuations(m *mirror.Mirror, p *pool.Pool, health *watch.Health, g *gossip.Gossip, log *slog.Logger) *watch.Follower[watch.Evacuation] {
	return &watch.Follower[watch.Evacuation]{
		Kind: "failure domains", Source: platform.Evacuations{Store: m}, Sink: &watch.Evacuations{Pool: p, Log: log},
		Wait: serversWait, BatchDelay: batchDelay, Health: health, HasReader: hasReader(g), Log: log,
	}
}

// newControllers lists the host's controllers.
func newControllers(t *watch.Follower[*policy.Table], s *watch.Follower[pool.Server], e *watch.Follower[watch.Evacuation], g *gossip.Gossip, m *mirror.Server, k *recall.Keeper, f *front.Readers, c *settle.Settler, r rolloutControllers) []Controller {
	return append([]Controller{t, s, e, g, m, k, f, c}, r...)
}

// listeners are the open listeners of a host.
type listeners struct{ callers, ready, metrics *intake.Listener }

func newListeners(ctx context.Context, s config.Settings, meter *metric.Intake, log *slog.Logger) (listeners, error) {
	var callers, ready, metrics net.Listener
	err := httpd.ListenAll(ctx,
		httpd.Port{Name: "callers", Address: &s.Callers, Listener: &callers},
		httpd.Port{Name: "readiness", Address: &s.Platform.Ready, Listener: &ready},
		httpd.Port{Name: "metrics", Address: &s.Metrics, Listener: &metrics},
	)
	if err != nil {
		return listeners{}, err
	}
	var l listeners
	var errs [3]error
	limits := intake.NewLimits(s)
	l.callers, errs[0] = intake.New(callers, "callers", limits, meter, log)
	l.callers.SendBytes = sendBytes
	l.ready, errs[1] = intake.New(ready, "readiness", limits.Part(checksPart), meter, log)
	l.metrics, errs[2] = intake.New(metrics, "metrics", limits.Part(checksPart), meter, log)
	if err := errors.Join(errs[:]...); err != nil {
		httpd.Close(callers, ready, metrics)
		return listeners{}, err
	}
	return l, nil
}

// components are the parts of a site.
type components struct {
	dig.In

	Settings    config.Settings
	Listeners   listeners
	Front       *front.Front
	Holder      *policy.Holder
	Pool        *pool.Pool
	Gossip      *gossip.Gossip
	Rollouts    *canary.Table
	Eras        *epoch.Tracker
	Metrics     *metric.Set
	Lines       *logs.Writer
	Controllers []Controller
	Log         *slog.Logger
}

// callerServer returns the HTTP server for callers.
func (s *Site) callerServer() *http.Server {
	server := s.server(s.Listeners.callers, s.Front)
	server.DisableGeneralOptionsHandler = true
	return server
}

// server returns an HTTP server for a listener.
func (s *Site) server(l *intake.Listener, handler http.Handler) *http.Server {
	limits := s.Settings.Limits
	return &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    limits.HeaderBytes,
		ReadHeaderTimeout: time.Duration(limits.HeaderRead),
		// Go's server reads the rest of a body that its handler left before it answers, and removes the deadline after a whole body.
		ReadTimeout: time.Duration(limits.HeaderRead + limits.BodyRead),
		IdleTimeout: idleTimeout,
		ConnState:   l.Track,
		ConnContext: intake.WithConn,
		ErrorLog:    slog.NewLogLogger(s.Log.Handler(), slog.LevelDebug),
	}
}
