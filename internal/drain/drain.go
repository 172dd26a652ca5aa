// Package drain stops a host without cutting off a request.
package drain

import (
	"context"
	"log/slog"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

const pollPeriod = 20 * time.Millisecond

// Members tells the other hosts about this one.
type Members interface {
	// Leave says that this host is about to stop and takes on no duties.
	Leave()
	// Left says that this host starts nothing any more.
	Left()
}

// Grants holds what this host may start as an owner of backend servers.
type Grants interface {
	// Stop gives back what this host was lent.
	Stop()
}

// Drain waits until a stopping host has nothing left to do.
type Drain struct {
	Board   *board.Board
	Members Members
	Grants  Grants
	// BalancerLag is the time that the balancer needs to notice a failed readiness check.
	BalancerLag time.Duration
	// Limit bounds the whole stop.
	Limit time.Duration
	// FlushDelay is the time in which the last messages to the other hosts are sent.
	FlushDelay time.Duration
	Log        *slog.Logger
}

// Wait fails the readiness check, hands the host's duties on, waits out the balancer and returns when no
// request is in progress and the other hosts have been told. It returns at once when ctx ends.
func (d *Drain) Wait(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, d.Limit)
	defer cancel()
	d.Board.Process.SetDraining()
	d.Log.Info("draining", "active", d.Board.Process.Active(), "balancer_lag", d.BalancerLag)
	d.Members.Leave()
	d.Grants.Stop()
	if !ticks.Sleep(limited, d.BalancerLag) || !d.finish(limited) {
		d.Log.Warn("drain limit reached", "active", d.Board.Process.Active())
		return
	}
	d.Members.Left()
	if !ticks.Sleep(limited, d.FlushDelay) {
		return
	}
	d.Log.Info("drained")
}

// finish waits until no request is in progress and reports whether it came to that.
func (d *Drain) finish(ctx context.Context) bool {
	for d.Board.Process.Active() > 0 {
		if !ticks.Sleep(ctx, pollPeriod) {
			return false
		}
	}
	return true
}
