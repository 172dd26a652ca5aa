// Package order brings engines to the state that the table declares.
//
// Orders are level-triggered: the actual state of each engine is read from its load reports and compared with the
// desired one periodically, so that the next comparison corrects a lost, repeated or stale order. One host of a
// failure domain sends the orders, under a lease with a fencing token.
package order

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const (
	// maxReportAge is the age from which a load report is stale; the engine then receives no orders.
	maxReportAge = 10 * time.Second
	// loadTimeout is the time after which an order without effect is sent again.
	loadTimeout = 5 * time.Minute
	// minResendInterval is the minimum time between two orders to one engine.
	minResendInterval = 10 * time.Second
	// maxLoadCredit is the maximum number of loads that unused credit accumulates to.
	maxLoadCredit = 1
)

// DesiredState is the model, adapters and role that one engine is to have.
type DesiredState struct {
	Model string
	// Version and Role are empty if any is accepted.
	Version string
	Role    string
	// Adapters are sorted.
	Adapters []string
}

// IsMet reports whether an engine with the reported load is in the desired state.
func (w DesiredState) IsMet(l engine.Load) bool {
	return !w.needsWeights(l) && (w.Role == "" || w.Role == l.Role)
}

// needsWeights reports whether the engine must load weights to reach the desired state.
func (w DesiredState) needsWeights(l engine.Load) bool {
	if w.Model != l.Model || w.Version != "" && w.Version != l.Version {
		return true
	}
	return !slices.Equal(w.Adapters, slices.Sorted(slices.Values(l.Adapters)))
}

func (w DesiredState) equal(o DesiredState) bool {
	return w.Model == o.Model && w.Version == o.Version && w.Role == o.Role && slices.Equal(w.Adapters, o.Adapters)
}

// EngineState is the desired and the last reported state of one engine.
type EngineState struct {
	Backend config.Backend
	Desired DesiredState
	Load    engine.Load
	// Reported is the time at which the load report arrived; zero means never.
	Reported time.Time
}

// Planner decides which orders to send to one service's engines in one failure domain, never to more than half of
// them at once, except that one is always allowed. It does no I/O and is not safe for concurrent use; the zero value
// is ready to use.
type Planner struct {
	pending    map[string]pending
	loadCredit float64
	refilledAt time.Time
}

type pending struct {
	desired DesiredState
	boot    string
	sentAt  time.Time
}

// Reset discards the orders of an earlier lease. The load credit starts at zero, because the former holder may have
// used all of it.
func (p *Planner) Reset(now time.Time) { *p = Planner{refilledAt: now} }

// Next returns the engines to send orders to now, and records these orders as sent.
func (p *Planner) Next(now time.Time, limits config.Orders, engines []EngineState) []EngineState {
	p.refill(now, limits)
	engines = slices.SortedFunc(slices.Values(engines), func(a, b EngineState) int { return cmp.Compare(a.Backend.Name, b.Backend.Name) })
	p.clearCompleted(now, engines)
	bound := min(maxPending(limits), max(1, len(engines)/2))
	var chosen []EngineState
	for _, e := range engines {
		if !p.isDue(now, e) {
			continue
		}
		if _, resend := p.pending[e.Backend.Name]; len(p.pending) >= bound && !resend {
			continue
		}
		if !p.takeCredit(e) {
			continue
		}
		if p.pending == nil {
			p.pending = make(map[string]pending)
		}
		p.pending[e.Backend.Name] = pending{e.Desired, e.Load.Boot, now}
		chosen = append(chosen, e)
	}
	return chosen
}

// MarkFailed records that an order did not reach its engine, so that it is sent again after minResendInterval.
func (p *Planner) MarkFailed(name string) {
	if order, ok := p.pending[name]; ok {
		order.desired = DesiredState{}
		p.pending[name] = order
	}
}

// clearCompleted removes the pending orders that took effect, and those of engines that left or whose report is stale.
func (p *Planner) clearCompleted(now time.Time, engines []EngineState) {
	known := make(map[string]bool, len(engines))
	for _, e := range engines {
		name := e.Backend.Name
		known[name] = true
		order, ok := p.pending[name]
		isStale := now.Sub(e.Reported) >= maxReportAge
		if ok && (isStale || e.Reported.After(order.sentAt) && e.Desired.IsMet(e.Load)) {
			delete(p.pending, name)
		}
	}
	for name := range p.pending {
		if !known[name] {
			delete(p.pending, name)
		}
	}
}

// isDue reports whether an order to the engine is due now.
func (p *Planner) isDue(now time.Time, e EngineState) bool {
	if e.Reported.IsZero() || now.Sub(e.Reported) >= maxReportAge || e.Desired.IsMet(e.Load) {
		return false
	}
	order, ok := p.pending[e.Backend.Name]
	if !ok {
		return true
	}
	if now.Sub(order.sentAt) < minResendInterval {
		return false
	}
	return !order.desired.equal(e.Desired) || order.boot != e.Load.Boot || now.Sub(order.sentAt) >= loadTimeout
}

// refill adds the load credit for the time since the last call.
func (p *Planner) refill(now time.Time, limits config.Orders) {
	if p.refilledAt.IsZero() {
		p.refilledAt = now
	}
	perMinute := limits.LoadsPerMinute
	if perMinute == 0 {
		perMinute = config.DefaultLoadsPerMinute
	}
	p.loadCredit = min(maxLoadCredit, p.loadCredit+perMinute*now.Sub(p.refilledAt).Minutes())
	p.refilledAt = now
}

// takeCredit takes the credit for one load and reports whether there was enough; an order without loads is free.
func (p *Planner) takeCredit(e EngineState) bool {
	if !e.Desired.needsWeights(e.Load) {
		return true
	}
	if p.loadCredit < 1 {
		return false
	}
	p.loadCredit--
	return true
}

// maxPending returns the maximum number of pending orders that the limits allow.
func maxPending(limits config.Orders) int {
	if limits.AtOnce == 0 {
		return config.DefaultOrdersAtOnce
	}
	return limits.AtOnce
}
