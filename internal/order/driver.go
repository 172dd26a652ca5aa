package order

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/lease"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const (
	// reconcileInterval is the time between two comparisons of the actual with the desired state.
	reconcileInterval = time.Second
	// SendTimeout is the timeout of sending one order; none is sent when the lease might end before the timeout.
	SendTimeout = 2 * time.Second
	// TakeoverDelay is the time after a change of holder in which no order is sent to an engine that ignores fencing
	// tokens. It covers the former holder's last order in flight.
	TakeoverDelay = 2 * SendTimeout
)

// Lease gives its holder the right to send orders.
type Lease interface {
	Holds(now time.Time) (lease.Grant, bool)
}

// Engines sends orders to engines.
type Engines interface {
	Order(ctx context.Context, addr netip.AddrPort, o engine.Order) error
}

// Driver sends orders to the engines of one failure domain while it holds the lease.
type Driver struct {
	Board   *board.Board
	Lease   Lease
	Engines Engines
	Domain  string
	// Demand returns the demand for an adapter of a service; nil means equal demand.
	Demand func(service, adapter string) float64
	Log    *slog.Logger

	fence    uint64
	services map[string]*serviceState
}

// Name returns the controller's name for logs.
func (d *Driver) Name() string { return "orders" }

// Run reconciles the engines every reconcileInterval until ctx ends.
func (d *Driver) Run(ctx context.Context) error {
	tick := time.NewTicker(reconcileInterval)
	defer tick.Stop()
	for {
		d.reconcile(ctx, time.Now())
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// reconcile sends the orders that are due if the lease is held.
func (d *Driver) reconcile(ctx context.Context, now time.Time) {
	grant, ok := d.Lease.Holds(now)
	if !ok {
		return
	}
	if grant.Fence != d.fence {
		d.fence = grant.Fence
		d.services = make(map[string]*serviceState)
	}
	view := d.Board.Config.View()
	for _, s := range view.Table.Services {
		if s.Orders == nil {
			continue
		}
		p := d.serviceState(s.Name, now)
		for _, e := range p.planner.Next(now, *s.Orders, d.engines(view, s, now, grant)) {
			d.send(ctx, &p.planner, e)
		}
	}
}

// serviceState is the lease holder's state of one service.
type serviceState struct {
	planner   Planner
	placement Placement
}

// serviceState returns the state of a service; a new one starts without load credit.
func (d *Driver) serviceState(service string, now time.Time) *serviceState {
	p := d.services[service]
	if p == nil {
		p = &serviceState{}
		p.planner.Reset(now)
		d.services[service] = p
	}
	return p
}

// engines returns the service's engines that may receive orders under the grant, with their desired states.
func (d *Driver) engines(view *board.View, s config.Service, now time.Time, grant lease.Grant) []EngineState {
	var list []EngineState
	loaded := make(map[string][]string)
	for _, b := range view.ByService[s.Name] {
		if b.Domain != d.Domain {
			continue
		}
		state := d.Board.Backends.Get(b.Name)
		loaded[b.Name] = state.Load.Adapters
		list = append(list, EngineState{Backend: b, Load: state.Load, Reported: state.Reported})
	}
	assigned := d.services[s.Name].placement.Assign(now, loaded, s.AdapterSlots, d.adapterDemands(s))
	for i := range list {
		b := list[i].Backend
		list[i].Desired = DesiredState{Model: s.Model, Version: s.Version, Role: b.Role, Adapters: assigned[b.Name]}
	}
	return slices.DeleteFunc(list, func(e EngineState) bool {
		return !e.Backend.ChecksFence && now.Sub(grant.Acquired) < TakeoverDelay
	})
}

// adapterDemands returns the demand for each adapter of a service.
func (d *Driver) adapterDemands(s config.Service) []AdapterDemand {
	demands := make([]AdapterDemand, len(s.Adapters))
	for i, a := range s.Adapters {
		demands[i] = AdapterDemand{Adapter: a, Demand: 1}
		if d.Demand != nil {
			demands[i].Demand = d.Demand(s.Name, a)
		}
	}
	return demands
}

// send sends one order. It checks the lease once more right before: the lease must outlast SendTimeout.
func (d *Driver) send(ctx context.Context, p *Planner, e EngineState) {
	now := time.Now()
	grant, ok := d.Lease.Holds(now)
	if !ok || grant.Fence != d.fence || now.Add(SendTimeout).After(grant.Until) {
		p.MarkFailed(e.Backend.Name)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, SendTimeout)
	defer cancel()
	w := e.Desired
	err := d.Engines.Order(ctx, e.Backend.Address, engine.Order{Fence: grant.Fence, Model: w.Model, Version: w.Version, Adapters: w.Adapters, Role: w.Role})
	switch {
	case err == nil:
		d.Log.Info("engine ordered", "backend", e.Backend.Name, "model", w.Model, "version", w.Version, "adapters", w.Adapters, "role", w.Role, "fence", grant.Fence)
	case errors.Is(err, engine.ErrFenced):
		d.Log.Warn("order refused: fencing token is outdated", "backend", e.Backend.Name, "fence", grant.Fence)
	default:
		d.Log.Warn("order failed", "backend", e.Backend.Name, "error", err)
		p.MarkFailed(e.Backend.Name)
	}
}
