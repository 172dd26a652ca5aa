package idem

import (
	"context"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/object"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const (
	// Retention is the age after which a record may be deleted; a key is valid at least that long.
	Retention = 24 * time.Hour
	// flushPeriod is the time between two flushes of pending writes.
	flushPeriod = time.Second
	// finalFlushLimit bounds the last flush before the host stops.
	finalFlushLimit = 2 * time.Second
	// sweepEvery is the number of flush periods between the sweeps of two slices.
	sweepEvery = 30
	// sweepDeletes bounds the deletions in one sweep.
	sweepDeletes = 64
	hexDigits    = "0123456789abcdef"
)

// Lister is the part of the object API that Sweeper needs besides Store.
type Lister interface {
	List(ctx context.Context, prefix string) (object.Listing, error)
}

// Sweeper is the controller that retries pending writes and deletes old records, one slice of the key hashes at a time.
type Sweeper struct {
	Registry *Registry
	Lister   Lister
	Board    *board.Board
	Log      *slog.Logger

	next int
}

// Name names the controller in logs.
func (s *Sweeper) Name() string { return "sweep of idempotency records" }

// Run flushes and sweeps until ctx ends.
func (s *Sweeper) Run(ctx context.Context) error {
	for pass := 1; ; pass++ {
		if s.Registry.Clock.Sleep(ctx, flushPeriod) != nil {
			s.finalFlush(context.WithoutCancel(ctx))
			return nil
		}
		s.Registry.Flush(ctx)
		if pass%sweepEvery == 0 {
			s.sweepNext(ctx)
		}
	}
}

// finalFlush flushes the pending writes once more before the host stops.
func (s *Sweeper) finalFlush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, finalFlushLimit)
	defer cancel()
	s.Registry.Flush(ctx)
}

// sweepNext sweeps the next of this host's slices.
func (s *Sweeper) sweepNext(ctx context.Context) {
	owned := s.slices()
	if len(owned) == 0 {
		return
	}
	s.next = (s.next + 1) % len(owned)
	deleted, err := s.sweep(ctx, owned[s.next])
	if err != nil {
		s.Log.Warn("sweep failed", "prefix", owned[s.next], "error", err)
		return
	}
	if deleted > 0 {
		s.Log.Info("old idempotency records deleted", "prefix", owned[s.next], "count", deleted)
	}
}

// slices returns the key prefixes that this host sweeps, assigned by rendezvous hashing over the live hosts.
// Two hosts may sweep the same slice while their local views differ: each deletion expects the record's version.
func (s *Sweeper) slices() []string {
	view := s.Board.Config.View()
	hosts := s.Board.Hosts.All()
	var owned []string
	for _, w := range view.Table.Workspaces {
		for _, service := range view.Table.Services {
			if service.Kind != config.ServicePlain {
				continue
			}
			for _, digit := range hexDigits {
				slice := prefix(w.Name, service.Name) + string(digit)
				if isOwner(s.Registry.Self.Host, hosts, slice) {
					owned = append(owned, slice)
				}
			}
		}
	}
	return owned
}

func isOwner(self string, hosts []board.Host, slice string) bool {
	own := xxhash.Sum64String(self + slice)
	for _, h := range hosts {
		if h.Name != self && h.State == board.HostLive && xxhash.Sum64String(h.Name+slice) > own {
			return false
		}
	}
	return true
}

// sweep deletes the old records of one slice and returns their number.
func (s *Sweeper) sweep(ctx context.Context, slice string) (int, error) {
	l, err := s.Lister.List(ctx, slice)
	if err != nil {
		return 0, err
	}
	deleted := 0
	for _, o := range l.Objects {
		r, err := decode(o)
		// A record that can't be decoded may have been written by a later version of the program.
		if err != nil || s.Registry.Clock.Now().Sub(r.Created) < Retention {
			continue
		}
		if deleted == sweepDeletes {
			break
		}
		if err := s.Registry.Store.Delete(ctx, o.Key, o.Version); err != nil {
			return deleted, err
		}
		deleted++
	}
	return deleted, nil
}
