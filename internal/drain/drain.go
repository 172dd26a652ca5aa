// Package drain stops a host without interrupting requests in progress.
package drain

import (
	"context"
	"log/slog"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

const pollPeriod = 20 * time.Millisecond

// Members announces the state of this host to the other hosts.
type Members interface {
	// AnnounceLeaving announces that this host is about to stop and must not own anything any more.
	AnnounceLeaving()
	// AnnounceStopped announces that this host starts nothing any more.
	AnnounceStopped()
}

// Grants holds the leases by which this host, as an owner of backend servers, may start requests.
type Grants interface {
	// Stop gives the leases back.
	Stop()
}

// Drain drains a host that is about to stop.
type Drain struct {
	Board   *board.Board
	Members Members
	Grants  Grants
	// BalancerLag is the time that the load balancer needs to notice a failed readiness check.
	BalancerLag time.Duration
	// Limit is the maximum duration of Wait.
	Limit time.Duration
	// FlushDelay is how long Wait waits at the end so that the last messages to the other hosts are sent.
	FlushDelay time.Duration
	Log        *slog.Logger
}

// Wait makes the readiness check fail, announces that the host leaves, gives its leases back, waits for the load
// balancer and returns when no request is in progress and the other hosts have been notified. It returns early when
// ctx ends or Limit is reached.
func (d *Drain) Wait(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, d.Limit)
	defer cancel()
	d.Board.Process.SetDraining()
	d.Log.Info("draining", "active", d.Board.Process.Active(), "balancer_lag", d.BalancerLag)
	d.Members.AnnounceLeaving()
	d.Grants.Stop()
	if !ticks.Sleep(limited, d.BalancerLag) || !d.awaitIdle(limited) {
		d.Log.Warn("drain limit reached", "active", d.Board.Process.Active())
		return
	}
	d.Members.AnnounceStopped()
	if !ticks.Sleep(limited, d.FlushDelay) {
		return
	}
	d.Log.Info("drained")
}

// awaitIdle waits until no request is in progress; it returns false if ctx ends before that.
func (d *Drain) awaitIdle(ctx context.Context) bool {
	for d.Board.Process.Active() > 0 {
		if !ticks.Sleep(ctx, pollPeriod) {
			return false
		}
	}
	return true
}
