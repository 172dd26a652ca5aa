package watch

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/policy"
	"github.com/tarragonspur/tarragonspur/internal/pool"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

// Tables puts the newest table in force.
type Tables struct {
	Holder *policy.Holder
	Log    *slog.Logger
}

// Replace takes the table of a list.
func (t *Tables) Replace(b Batch[*policy.Table], confirmed time.Duration) { t.Apply(b, confirmed) }

// Apply takes the tables of a batch of changes.
func (t *Tables) Apply(b Batch[*policy.Table], confirmed time.Duration) {
	for _, table := range b.Changed {
		if t.Holder.Offer(table) {
			t.Log.Info("table in force", "version", table.Version, "revision", b.Revision, "age", ticks.Now()-confirmed)
		}
	}
	t.Holder.Confirm(confirmed)
}

// Servers keeps the pool of backend servers.
type Servers struct {
	Pool   *pool.Pool
	Health *Health
	Log    *slog.Logger
}

// Replace takes a full list.
func (s *Servers) Replace(b Batch[pool.Server], confirmed time.Duration) {
	now := time.Now()
	s.Pool.Replace(b.Changed, s.Health.GoneAt(now), now)
	s.Log.Info("backend servers listed", "count", len(b.Changed), "revision", b.Revision, "age", ticks.Now()-confirmed)
}

// Apply takes changes.
func (s *Servers) Apply(b Batch[pool.Server], _ time.Duration) {
	now := time.Now()
	for _, one := range b.Changed {
		s.Pool.Put(one, now)
		s.Log.Info("backend server changed", "server", one.ID, "service", one.Service, "address", one.Address,
			"draining", one.Draining, "cold", one.ColdRemaining, "revision", b.Revision)
	}
	for _, id := range b.Removed {
		at := s.Health.GoneAt(now)
		s.Pool.Remove(id, at, now)
		s.Log.Info("backend server gone", "server", id, "in", at.Sub(now), "revision", b.Revision)
	}
}

// Evacuations keeps the set of failure domains that operators have taken out.
type Evacuations struct {
	Pool *pool.Pool
	Log  *slog.Logger

	mu  sync.Mutex
	out []string
}

// Replace takes a full list.
func (e *Evacuations) Replace(b Batch[string], _ time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.set(b.Changed, b.Revision)
}

// Apply takes changes.
func (e *Evacuations) Apply(b Batch[string], _ time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := append(slices.Clone(e.out), b.Changed...)
	out = slices.DeleteFunc(out, func(d string) bool { return slices.Contains(b.Removed, d) })
	slices.Sort(out)
	e.set(slices.Compact(out), b.Revision)
}

func (e *Evacuations) set(out []string, revision int64) {
	if slices.Equal(e.out, out) {
		return
	}
	e.out = out
	e.Pool.SetEvacuated(out)
	e.Log.Info("failure domains out", "domains", out, "revision", revision)
}
