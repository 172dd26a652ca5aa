// Package probe polls model engines for their load reports and cache events.
package probe

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const (
	workers     = 8
	pollTimeout = time.Second
)

// LoadReader reads load reports from engines.
type LoadReader interface {
	Load(ctx context.Context, addr netip.AddrPort) (engine.Load, error)
}

// CacheEventReader reads cache events from engines.
type CacheEventReader interface {
	// CacheEvents returns the events after a sequence number.
	CacheEvents(ctx context.Context, addr netip.AddrPort, after uint64) ([]engine.CacheEvent, error)
}

// CacheIndex records which prefixes the engines have cached.
type CacheIndex interface {
	// CacheAfter returns the sequence number of the last recorded cache event of a backend server; zero asks for a
	// snapshot.
	CacheAfter(backend string) uint64
	// CacheEvents records the events after a sequence number.
	CacheEvents(backend string, after uint64, events []engine.CacheEvent)
}

// Probe is the controller that polls the engines of the host's failure domain and updates the board.
type Probe struct {
	Board *board.Board
	Loads LoadReader
	// Events and Index may be nil; then no cache events are read.
	Events CacheEventReader
	Index  CacheIndex
	// Domain is the host's failure domain.
	Domain string
	// Period is the time between two polls of an engine.
	Period time.Duration
}

// Name returns the controller's name for log lines.
func (p *Probe) Name() string { return "probe" }

// Run polls the engines of the host's failure domain that have MemoryTokens set, once per period and up to `workers` at a
// time, until ctx ends. A failed poll leaves the last report in place.
func (p *Probe) Run(ctx context.Context) error {
	jobs := make(chan config.Backend)
	var pool sync.WaitGroup
	for range workers {
		pool.Go(func() {
			for b := range jobs {
				p.poll(ctx, b)
			}
		})
	}
	defer pool.Wait()
	defer close(jobs)
	tick := time.NewTicker(p.Period)
	defer tick.Stop()
	for {
		for _, b := range p.Board.Config.View().Table.Backends {
			if b.Domain != p.Domain || b.MemoryTokens == 0 {
				continue
			}
			select {
			case jobs <- b:
			case <-ctx.Done():
				return nil
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (p *Probe) poll(ctx context.Context, b config.Backend) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := p.Loads.Load(ctx, b.Address)
	if err != nil {
		return
	}
	p.Board.Backends.Update(b.Name, func(s *board.BackendState) {
		s.Load = load
		s.Reported = time.Now()
		s.StartedSince = 0
	})
	p.pollCache(ctx, b)
}

// pollCache passes new cache events to Index. If reading them fails, the next poll reads them again.
func (p *Probe) pollCache(ctx context.Context, b config.Backend) {
	if p.Index == nil || p.Events == nil {
		return
	}
	after := p.Index.CacheAfter(b.Name)
	events, err := p.Events.CacheEvents(ctx, b.Address, after)
	if err != nil {
		return
	}
	p.Index.CacheEvents(b.Name, after, events)
}
