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
	engineMemory  = 65536
	engineBatch   = 64
	serverRunning = 32
	// heartbeat is short, so that a deployment serves soon after its start.
	heartbeat = 50 * time.Millisecond
	workspace = "workshop"
)

// Keys of the embedded deployment; they are not secret.
const (
	CallerKey   = "dev-caller-key"
	OperatorKey = "dev-operator-key"
)

// Devel is a running deployment.
type Devel struct {
	Deployment Deployment
	// Callers and Operators are the addresses of the entry hosts, one for each failure domain.
	Callers   []netip.AddrPort
	Operators []netip.AddrPort
	// Store, Engines and Ledger give access to the stand-ins.
	Store   *objapi.Server
	Engines []*modelfake.Server
	Plains  []*plainfake.Server
	Ledger  *plainfake.RunLog

	log   *slog.Logger
	stop  context.CancelFunc
	work  context.Context
	abort context.CancelFunc
	hard  context.Context
	ended []chan error
}

// Start starts the stand-ins and one entry host in each failure domain.
func Start(ctx context.Context, d Deployment, log *slog.Logger) (*Devel, error) {
	v := &Devel{Deployment: d, log: log, Ledger: &plainfake.RunLog{}}
	v.work, v.stop = context.WithCancel(ctx)
	v.hard, v.abort = context.WithCancel(context.WithoutCancel(ctx))
	if err := v.start(); err != nil {
		v.Stop()
		return nil, err
	}
	return v, nil
}

// Stop drains the hosts, ends the stand-ins and waits for both.
func (v *Devel) Stop() {
	v.stop()
	for _, e := range v.ended {
		if err := <-e; err != nil {
			v.log.Error("part of the deployment failed", "error", err)
		}
	}
	v.abort()
}

func (v *Devel) start() error {
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
	for _, r := range v.Deployment.Regions {
		for _, domain := range r.Domains {
			if err := v.startHost(r.Name, domain, store); err != nil {
				return err
			}
		}
	}
	return nil
}

// run starts one goroutine whose end Stop waits for.
func (v *Devel) run(f func(context.Context) error) {
	ended := make(chan error, 1)
	v.ended = append(v.ended, ended)
	go func() { ended <- f(v.work) }()
}

func (v *Devel) serve(handler http.Handler) (netip.AddrPort, error) {
	l, err := httpd.Listen(v.hard, "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	v.run(func(ctx context.Context) error { return httpd.Serve(ctx, server, l) })
	return netip.MustParseAddrPort(l.Addr().String()), nil
}

func (v *Devel) startBackends() (config.Table, error) {
	d := v.Deployment
	domains := d.Domains()
	t := config.Table{
		Services: []config.Service{
			{Name: d.Model, Kind: config.ServiceModel, Model: d.Model},
			{Name: d.Plain, Kind: config.ServicePlain, Routes: []config.Route{
				{Method: http.MethodPost, Path: d.Classify, Repeatable: true},
				{Method: http.MethodGet, Path: d.Catalogue, Repeatable: true},
			}},
		},
		Workspaces: []config.Workspace{{Name: workspace, KeyHashes: []string{HashKey(CallerKey)}}},
		Rows: []config.Row{
			{Workspace: workspace, Service: d.Model, Weight: 1, Lend: true},
			{Workspace: workspace, Service: d.Plain, Weight: 1, Lend: true},
		},
	}
	for i := range d.Engines {
		engine := modelfake.NewServer(modelfake.DefaultParams(d.Model))
		addr, err := v.serve(engine.Handler())
		if err != nil {
			return t, err
		}
		v.run(engine.Run)
		v.Engines = append(v.Engines, engine)
		t.Backends = append(t.Backends, config.Backend{
			Name: fmt.Sprintf("%s-%d", d.Model, i), Service: d.Model, Domain: domains[i%len(domains)], Address: addr,
			MaxRunning: engineBatch, MemoryTokens: engineMemory, ChecksFence: true,
		})
	}
	for i := range d.Servers {
		name := fmt.Sprintf("%s-%d", d.Plain, i)
		server := &plainfake.Server{Name: name, RunLog: v.Ledger}
		addr, err := v.serve(server.Handler())
		if err != nil {
			return t, err
		}
		v.Plains = append(v.Plains, server)
		t.Backends = append(t.Backends, config.Backend{
			Name: name, Service: d.Plain, Domain: domains[i%len(domains)], Address: addr, MaxRunning: serverRunning,
		})
	}
	return t, nil
}

// HashKey returns the hash under which a key is kept.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// seed writes the first change of the configuration.
func (v *Devel) seed(t config.Table) error {
	next := change.State{Table: t}
	for _, r := range v.Deployment.Regions {
		for _, domain := range r.Domains {
			next.Domains = append(next.Domains, config.Domain{Name: domain, Region: r.Name, State: config.DomainIn})
		}
	}
	return Seed(v.Store.Memory, next)
}

// Seed writes the first change of a configuration.
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

func (v *Devel) startHost(region, domain string, store netip.AddrPort) error {
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
	l, err := host.Listen(v.hard, &s)
	if err != nil {
		return err
	}
	h, err := host.Build(s, l, v.log.With("host", s.Host))
	if err != nil {
		l.Close()
		return err
	}
	v.Store.Hosts.Put(object.Host{Name: s.Host, Domain: domain, Region: region, Address: s.Peers}, time.Now())
	v.Callers = append(v.Callers, s.Callers)
	v.Operators = append(v.Operators, s.Operators)
	v.run(func(ctx context.Context) error { return h.Run(ctx, v.hard) })
	return nil
}

// WaitReady returns when each entry host passes its readiness check.
func (v *Devel) WaitReady(ctx context.Context) error {
	for _, addr := range v.Callers {
		if err := httpd.AwaitOK(ctx, "http://"+addr.String()+"/readyz", readyPoll); err != nil {
			return err
		}
	}
	return nil
}
