package devel

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/change"
	modelfake "github.com/tarragonspur/tarragonspur/internal/fakes/model"
	"github.com/tarragonspur/tarragonspur/internal/fakes/objapi"
	plainfake "github.com/tarragonspur/tarragonspur/internal/fakes/plain"
	"github.com/tarragonspur/tarragonspur/internal/host"
	"github.com/tarragonspur/tarragonspur/internal/httpd"
	"github.com/tarragonspur/tarragonspur/internal/object"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const (
	engineMemoryTokens = 65536
	engineMaxRunning   = 64
	serverMaxRunning   = 32
	// heartbeat is a short gossip interval, so that a deployment serves soon after its start.
	heartbeat = 50 * time.Millisecond
	workspace = "workshop"
)

// The bearer keys of callers and of operators; they are not secret.
const (
	CallerKey   = "dev-caller-key"
	OperatorKey = "dev-operator-key"
)

// Deployment is a deployment that runs in this process.
type Deployment struct {
	Spec Spec
	// CallerAddrs and OperatorAddrs are the hosts' addresses for callers and operators, one for each failure domain.
	CallerAddrs   []netip.AddrPort
	OperatorAddrs []netip.AddrPort
	// Store, Engines and PlainServers are the stand-ins; RunLog records the calls that the plain servers ran.
	Store        *objapi.Server
	Engines      []*modelfake.Server
	PlainServers []*plainfake.Server
	RunLog       *plainfake.RunLog

	log *slog.Logger
	// runCtx ends when Stop begins, abortCtx when all parts have stopped; results holds a channel for each part's error.
	stop     context.CancelFunc
	runCtx   context.Context
	abort    context.CancelFunc
	abortCtx context.Context
	results  []chan error
}

// Start starts the stand-ins and one entry host in each failure domain. The end of ctx stops them.
func Start(ctx context.Context, spec Spec, log *slog.Logger) (*Deployment, error) {
	v := &Deployment{Spec: spec, log: log, RunLog: &plainfake.RunLog{}}
	v.runCtx, v.stop = context.WithCancel(ctx)
	v.abortCtx, v.abort = context.WithCancel(context.WithoutCancel(ctx))
	if err := v.start(); err != nil {
		v.Stop()
		return nil, err
	}
	return v, nil
}

// Stop drains the hosts, stops the stand-ins, waits for all of them and logs their errors.
func (v *Deployment) Stop() {
	v.stop()
	for _, e := range v.results {
		if err := <-e; err != nil {
			v.log.Error("part of the deployment failed", "error", err)
		}
	}
	v.abort()
}

func (v *Deployment) start() error {
	v.Store = &objapi.Server{Memory: &objapi.Memory{}}
	store, err := v.serve(v.Store.Handler())
	if err != nil {
		return err
	}
	table, err := v.startBackends()
	if err != nil {
		return err
	}
	if err := v.seed(table); err != nil {
		return err
	}
	for _, r := range v.Spec.Regions {
		for _, domain := range r.Domains {
			if err := v.startHost(r.Name, domain, store); err != nil {
				return err
			}
		}
	}
	return nil
}

// run calls f in a goroutine that Stop waits for.
func (v *Deployment) run(f func(context.Context) error) {
	result := make(chan error, 1)
	v.results = append(v.results, result)
	go func() { result <- f(v.runCtx) }()
}

// serve starts an HTTP server on a free loopback port and returns its address.
func (v *Deployment) serve(handler http.Handler) (netip.AddrPort, error) {
	l, err := httpd.Listen(v.abortCtx, "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	v.run(func(ctx context.Context) error { return httpd.Serve(ctx, server, l) })
	return netip.MustParseAddrPort(l.Addr().String()), nil
}

// startBackends starts the model engines and plain servers and returns a table that lists them.
func (v *Deployment) startBackends() (config.Table, error) {
	spec := v.Spec
	domains := spec.Domains()
	t := config.Table{
		Services: []config.Service{
			{Name: spec.ModelService, Kind: config.ServiceModel, Model: spec.ModelService},
			{Name: spec.PlainService, Kind: config.ServicePlain, Routes: []config.Route{
				{Method: http.MethodPost, Path: spec.ClassifyPath, Repeatable: true},
				{Method: http.MethodGet, Path: spec.CataloguePath, Repeatable: true},
			}},
		},
		Workspaces: []config.Workspace{{Name: workspace, KeyHashes: []string{HashKey(CallerKey)}}},
		Rows: []config.Row{
			{Workspace: workspace, Service: spec.ModelService, Weight: 1, Lend: true},
			{Workspace: workspace, Service: spec.PlainService, Weight: 1, Lend: true},
		},
	}
	for i := range spec.Engines {
		engine := modelfake.NewServer(modelfake.DefaultParams(spec.ModelService))
		addr, err := v.serve(engine.Handler())
		if err != nil {
			return t, err
		}
		v.run(engine.Run)
		v.Engines = append(v.Engines, engine)
		t.Backends = append(t.Backends, config.Backend{
			Name: fmt.Sprintf("%s-%d", spec.ModelService, i), Service: spec.ModelService, Domain: domains[i%len(domains)], Address: addr,
			MaxRunning: engineMaxRunning, MemoryTokens: engineMemoryTokens, ChecksFence: true,
		})
	}
	for i := range spec.Servers {
		name := fmt.Sprintf("%s-%d", spec.PlainService, i)
		server := &plainfake.Server{Name: name, RunLog: v.RunLog}
		addr, err := v.serve(server.Handler())
		if err != nil {
			return t, err
		}
		v.PlainServers = append(v.PlainServers, server)
		t.Backends = append(t.Backends, config.Backend{
			Name: name, Service: spec.PlainService, Domain: domains[i%len(domains)], Address: addr, MaxRunning: serverMaxRunning,
		})
	}
	return t, nil
}

// HashKey returns the SHA-256 of a key in lower-case hexadecimal, as settings and the table hold it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// seed writes the table and the failure domains to the store as the first change of the configuration.
func (v *Deployment) seed(t config.Table) error {
	initial := change.State{Table: t}
	for _, r := range v.Spec.Regions {
		for _, domain := range r.Domains {
			initial.Domains = append(initial.Domains, config.Domain{Name: domain, Region: r.Name, State: config.DomainIn})
		}
	}
	return Seed(v.Store.Memory, initial)
}

// Seed writes a state to the store as the first change of the configuration, version 1.
func Seed(memory *objapi.Memory, state change.State) error {
	first, err := change.Encode(change.Change{
		Version: 1, ID: change.NewID(), Operator: "dev", At: time.Now().UTC(), Edits: change.Diff(change.State{}, state),
	})
	if err != nil {
		return err
	}
	_, err = memory.Put(change.Key(1), first.Raw, 0)
	return errors.Wrap(err, "seed the configuration")
}

func (v *Deployment) startHost(region, domain string, store netip.AddrPort) error {
	loopback := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
	s := config.Default()
	s.Host = "entry-" + domain
	s.Domain = domain
	s.Region = region
	s.Callers, s.Operators, s.Peers, s.Metrics = loopback, loopback, loopback, loopback
	s.Store = store
	s.Timing.BalancerLag = 0
	s.Timing.Heartbeat = config.Duration(heartbeat)
	s.OperatorKeys = []config.OperatorKey{{Name: "dev", Hash: HashKey(OperatorKey), Scopes: []string{"read", "table", "domains"}}}
	l, err := host.Listen(v.abortCtx, &s)
	if err != nil {
		return err
	}
	h, err := host.Build(s, l, v.log.With("host", s.Host))
	if err != nil {
		l.Close()
		return err
	}
	v.Store.Hosts.Put(object.Host{Name: s.Host, Domain: domain, Region: region, Address: s.Peers}, time.Now())
	v.CallerAddrs = append(v.CallerAddrs, s.Callers)
	v.OperatorAddrs = append(v.OperatorAddrs, s.Operators)
	v.run(func(ctx context.Context) error { return h.Run(ctx, v.abortCtx) })
	return nil
}

// WaitReady waits until each entry host passes its readiness check or ctx ends.
func (v *Deployment) WaitReady(ctx context.Context) error {
	for _, addr := range v.CallerAddrs {
		if err := httpd.AwaitOK(ctx, "http://"+addr.String()+"/readyz", readyPollInterval); err != nil {
			return err
		}
	}
	return nil
}
