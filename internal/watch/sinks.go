package watch

import (
	"log/slog"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/canary"
	"github.com/tarragonspur/tarragonspur/internal/policy"
	"github.com/tarragonspur/tarragonspur/internal/pool"
	"github.com/tarragonspur/tarragonspur/internal/settle"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

// Settler decides whether the store's table counts: the store may have come back from a copy that lacks the newest one.
type Settler interface {
	Read(r settle.Reading) bool
}

// Tables puts the newest table in force.
type Tables struct {
	Holder *policy.Holder
	// Settler decides whether the table of an era counts; nil means that it does unless it is older than the one in force.
	Settler Settler
	Log     *slog.Logger

	// stored is the table that the store holds; nil if it holds none.
	stored *policy.Table
	// isBehind is set while the store holds an older table than the one in force.
	isBehind bool
}

// Replace applies the table of a full list.
func (t *Tables) Replace(b Batch[*policy.Table], confirmed time.Duration) {
	t.stored = nil
	t.take(b, confirmed, false)
}

// Apply applies a table that has been written, or confirms the one in force.
func (t *Tables) Apply(b Batch[*policy.Table], confirmed time.Duration) { t.take(b, confirmed, true) }

// take puts the newest table of a batch in force, and confirms the one in force if the store holds it. A store that holds an older one
// does not confirm it: the operator may have withdrawn keys since, and writes again. Until the table of an era counts, a host without a
// table takes none, and one that has a table takes a newer one without confirming it.
func (t *Tables) take(b Batch[*policy.Table], confirmed time.Duration, isChange bool) {
	for _, table := range b.Changed {
		t.stored = table
	}
	counts := t.counts(b, isChange)
	inForce, _ := t.Holder.View()
	if t.stored != nil && (counts || inForce != nil) && t.Holder.PutIfNewer(t.stored) {
		t.Log.Info("table in force", "version", t.stored.Version, "revision", b.At, "age", ticks.Now()-confirmed)
	}
	t.checkBehind(b)
	if counts && !t.isBehind {
		t.Holder.Confirm(confirmed)
	}
}

// counts reports whether the store's table counts.
func (t *Tables) counts(b Batch[*policy.Table], isChange bool) bool {
	if t.Settler == nil {
		return true
	}
	r := settle.Reading{Era: b.At.Era, IsWritten: isChange && len(b.Changed) > 0}
	if t.stored != nil {
		r.Version = t.stored.Version
	}
	return t.Settler.Read(r)
}

// checkBehind compares the store's table with the one in force. A store that names no era never holds an older one.
func (t *Tables) checkBehind(b Batch[*policy.Table]) {
	wasBehind := t.isBehind
	inForce, _ := t.Holder.View()
	t.isBehind = b.At.Era > 0 && inForce != nil && (t.stored == nil || t.stored.Version < inForce.Version)
	if t.isBehind && !wasBehind {
		t.Log.Warn("store holds an older table than the one in force", "stored", t.stored != nil, "in_force", inForce.Version, "revision", b.At)
	}
}

// Servers keeps the pool of backend servers up to date.
type Servers struct {
	Pool   *pool.Pool
	Health *Health
	Log    *slog.Logger
	// Now returns the time; nil means time.Now.
	Now func() time.Time

	lessons lessons
	era     int64
	// eraSince is when this host learned that the store has come back from a copy; zero before.
	eraSince time.Time
}

// Replace sets the backend servers to those of a full list.
func (s *Servers) Replace(b Batch[pool.Server], confirmed time.Duration) {
	now := timeOf(s.Now)
	if s.era != 0 && b.At.Era > s.era {
		s.eraSince = now
	}
	s.era = b.At.Era
	list, heldBack := s.lessons.list(b.Changed, b.At.Era, now)
	s.Pool.Replace(list, s.removalTime(now), now)
	s.Log.Info("backend servers listed", "count", len(b.Changed), "held_back", heldBack, "revision", b.At, "age", ticks.Now()-confirmed)
}

// removalTime returns the time from which an entry that disappears now counts as removed. Backend servers whose entries a copy of the
// store lacks write them again.
func (s *Servers) removalTime(now time.Time) time.Time {
	at := s.Health.RemovalTime(now)
	if until := s.eraSince.Add(returnGrace); until.After(at) {
		return until
	}
	return at
}

// Apply adds, changes and removes backend servers.
func (s *Servers) Apply(b Batch[pool.Server], _ time.Duration) {
	now := timeOf(s.Now)
	for _, server := range b.Changed {
		s.lessons.learn(server, b.At.Era)
		s.Pool.Put(server, now)
		s.Log.Info("backend server changed", "server", server.ID, "service", server.Service, "address", server.Address,
			"draining", server.Draining, "cold", server.ColdRemaining, "revision", b.At)
	}
	for _, id := range b.Removed {
		at := s.removalTime(now)
		s.lessons.remove(id, b.At.Era, now)
		s.Pool.Remove(id, at, now)
		s.Log.Info("backend server gone", "server", id, "in", at.Sub(now), "revision", b.At)
	}
	for _, server := range s.lessons.due(b.At.Era, now) {
		s.Pool.Put(server, now)
		s.Log.Info("backend server back", "server", server.ID, "service", server.Service, "revision", b.At)
	}
}

// timeOf returns the time of a clock, of time.Now for nil.
func timeOf(now func() time.Time) time.Time {
	if now == nil {
		return time.Now()
	}
	return now()
}

// Rollouts keeps the operators' orders for roll-outs.
type Rollouts struct{ Table *canary.Table }

// Replace sets the orders to those of a full list.
func (r *Rollouts) Replace(b Batch[canary.Order], _ time.Duration) {
	r.Table.SetOrders(b.Changed, b.At.Ordinal())
}

// Apply adds, changes and removes orders.
func (r *Rollouts) Apply(b Batch[canary.Order], _ time.Duration) {
	r.Table.ChangeOrders(b.Changed, b.Removed, b.At.Ordinal())
}
