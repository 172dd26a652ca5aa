package site

import (
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/canary"
	"github.com/tarragonspur/tarragonspur/internal/gossip"
	"github.com/tarragonspur/tarragonspur/internal/metric"
	"github.com/tarragonspur/tarragonspur/internal/mirror"
	"github.com/tarragonspur/tarragonspur/internal/pool"
	"github.com/tarragonspur/tarragonspur/internal/watch"
	"github.com/tarragonspur/tarragonspur/pkg/config"
	"github.com/tarragonspur/tarragonspur/platform"
)

// rolloutsWait bounds how long a host that starts waits for the store's orders before it is ready: it would send nothing to versions
// that appear beside another one anyway.
const rolloutsWait = 3 * time.Second

// newRollouts returns nil where roll-outs are not switched on.
func newRollouts(s config.Settings, p *pool.Pool, log *slog.Logger) *canary.Table {
	r := s.Platform.Rollout
	if r == nil {
		return nil
	}
	return &canary.Table{
		Config: canary.Config{Share: r.Share, Tolerance: r.Tolerance, Revert: time.Duration(r.Revert)},
		Host:   s.Host, Domain: s.Domain, Incarnation: time.Now().UnixMilli(), Servers: p.Snapshot, Log: log,
	}
}

// rolloutControllers are the controllers of roll-outs; none where they are not switched on.
type rolloutControllers []Controller

func newRolloutFollower(r *canary.Table, m *mirror.Mirror, st *platform.Store, health *watch.Health, g *gossip.Gossip, log *slog.Logger) rolloutControllers {
	if r == nil {
		return nil
	}
	store := platform.Rollouts{Store: m, Writer: st, Log: log}
	return rolloutControllers{
		&watch.Follower[canary.Order]{
			Kind: "roll-outs", Source: store, Sink: &watch.Rollouts{Table: r}, Wait: serversWait, BatchDelay: batchDelay,
			Health: health, HasReader: hasReader(g), Log: log,
		},
		&canary.Controller{
			Table: r, Store: store, Hosts: g.LiveCount, Log: log,
			IsReader: func() bool { return g.IsReading() && !hasReader(g)() },
		},
	}
}

// addRolloutGauges registers the gauges of roll-outs.
func (s *Site) addRolloutGauges(m *metric.Set) error {
	if s.Rollouts == nil {
		return nil
	}
	gauges := []struct {
		name, description string
		read              func(canary.Status) float64
	}{
		{"rollouts_in_force", "Orders for roll-outs that are in force.", func(c canary.Status) float64 { return float64(c.InForce) }},
		{"rollouts_completed", "Orders whose target has replaced the old version.", func(c canary.Status) float64 { return float64(c.Completed) }},
		{"rollouts_reverted", "Orders whose target has been given up.", func(c canary.Status) float64 { return float64(c.Reverted) }},
		{"rollout_step", "Highest step of the orders in force: 0 trial, 1 quarter, 2 half, 3 all; -1 without any.", func(c canary.Status) float64 { return float64(c.Step) }},
		{"rollout_target_sent", "Requests sent to targets of orders in force, by all hosts as far as known.", func(c canary.Status) float64 { return float64(c.Target.Sent) }},
		{"rollout_target_failures", "Failures and broken answers among them.", func(c canary.Status) float64 { return float64(c.Target.Failures + c.Target.Breaks) }},
		{"rollout_target_slow", "Slow answers among them.", func(c canary.Status) float64 { return float64(c.Target.Slow) }},
		{"rollout_old_sent", "Requests sent to the versions that served before, by all hosts as far as known.", func(c canary.Status) float64 { return float64(c.Old.Sent) }},
		{"rollout_old_failures", "Failures and broken answers among them.", func(c canary.Status) float64 { return float64(c.Old.Failures + c.Old.Breaks) }},
		{"rollout_old_slow", "Slow answers among them.", func(c canary.Status) float64 { return float64(c.Old.Slow) }},
	}
	for _, g := range gauges {
		if err := m.Gauge(g.name, g.description, func() float64 { return g.read(s.Rollouts.Status()) }); err != nil {
			return errors.Wrap(err, "add gauges of roll-outs")
		}
	}
	return nil
}
