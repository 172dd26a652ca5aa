package sched

import (
	"context"
	"sync"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/peer/peerpb"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// Sender queues messages to other hosts; it never blocks.
type Sender interface {
	Send(messages ...peer.Outgoing)
}

// Scheduler places requests on backend servers: it runs a Core in a host.
type Scheduler struct {
	Board *board.Board
	// Core must not be used by other code once the scheduler runs.
	Core   *Core
	Sender Sender

	mu       sync.Mutex
	view     *board.View
	waiters  map[string]chan placement
	reported map[string]time.Time
	actions  Actions
}

// placement is the outcome for a waiting request: a ticket or an error.
type placement struct {
	ticket *ticket
	err    *refuse.Error
}

// Name returns the controller's name.
func (s *Scheduler) Name() string { return "scheduler" }

// Run keeps the Core up to date until ctx ends.
func (s *Scheduler) Run(ctx context.Context) error {
	tick := time.NewTicker(TickPeriod)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			s.do(func(c *Core) {
				s.applyReports(now)
				c.Tick(now)
			})
		case <-ctx.Done():
			return nil
		}
	}
}

// do applies a changed configuration, runs one step of the Core under the lock and performs its actions.
func (s *Scheduler) do(step func(*Core)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := s.Board.Config.View(); v != s.view {
		s.view = v
		s.Core.Configure(v, time.Now())
	}
	step(s.Core)
	s.performActions()
}

// performActions delivers placements to waiters and sends messages; the caller holds the lock.
func (s *Scheduler) performActions() {
	s.Core.TakeActions(&s.actions)
	for _, one := range s.actions.Starts {
		t := &ticket{scheduler: s, id: one.ID, backend: one.Backend, priority: one.Priority}
		s.Board.Backends.Update(one.Backend.Name, func(b *board.BackendState) {
			b.Running++
			b.StartedSince++
		})
		s.deliver(one.ID, placement{ticket: t})
	}
	for _, one := range s.actions.Refusals {
		s.deliver(one.ID, placement{err: one.Error})
	}
	if len(s.actions.Sends) > 0 && s.Sender != nil {
		s.Sender.Send(s.actions.Sends...)
	}
}

func (s *Scheduler) deliver(id string, a placement) {
	if w := s.waiters[id]; w != nil {
		delete(s.waiters, id)
		w <- a
	}
}

// applyReports passes new load reports to the Core; the caller holds the lock.
func (s *Scheduler) applyReports(now time.Time) {
	if s.reported == nil {
		s.reported = make(map[string]time.Time)
	}
	for _, b := range s.view.Table.Backends {
		state := s.Board.Backends.Get(b.Name)
		if state.Reported.After(s.reported[b.Name]) {
			s.reported[b.Name] = state.Reported
			s.Core.Report(b.Name, state.Load, now)
		}
	}
}

// CacheAfter returns the sequence number after which cache events of a backend server are wanted.
func (s *Scheduler) CacheAfter(backend string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Core.CacheAfter(backend)
}

// CacheEvents records the cache events of a backend server after a sequence number; after zero, they are a snapshot.
func (s *Scheduler) CacheEvents(backend string, after uint64, events []engine.CacheEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Core.CacheEvents(backend, after, events)
}

// Receive passes a message of another host to the Core.
func (s *Scheduler) Receive(_ context.Context, from peer.Sender, m *peerpb.Message) []*peerpb.Message {
	s.do(func(c *Core) { c.Receive(from, m, time.Now()) })
	return nil
}

// Place waits until the request may start on a backend server.
// It returns a *refuse.Error when the request is refused, for example because it can't start before its deadline.
func (s *Scheduler) Place(ctx context.Context, r Request) (Ticket, error) {
	reply := make(chan placement, 1)
	s.do(func(c *Core) {
		if s.waiters == nil {
			s.waiters = make(map[string]chan placement)
		}
		s.waiters[r.ID] = reply
		c.Submit(r, time.Now())
	})
	select {
	case a := <-reply:
		return a.result()
	case <-ctx.Done():
	}
	s.do(func(c *Core) {
		delete(s.waiters, r.ID)
		c.Cancel(r.ID, time.Now())
	})
	select {
	case a := <-reply:
		if a.ticket != nil {
			a.ticket.Release(Outcome{Result: ResultCancelled})
		}
	default:
	}
	return nil, ctx.Err()
}

func (a placement) result() (Ticket, error) {
	if a.err != nil {
		return nil, a.err
	}
	return a.ticket, nil
}

type ticket struct {
	scheduler *Scheduler
	id        string
	backend   config.Backend
	priority  int
}

func (t *ticket) Backend() config.Backend { return t.backend }
func (t *ticket) Priority() int           { return t.priority }

func (t *ticket) Progress(tokens int) {
	t.scheduler.mu.Lock()
	defer t.scheduler.mu.Unlock()
	t.scheduler.Core.Progress(t.id, tokens, time.Now())
}

func (t *ticket) Release(o Outcome) {
	t.scheduler.Board.Backends.Update(t.backend.Name, func(b *board.BackendState) {
		b.Running--
		switch o.Result {
		case ResultOK:
			b.Failures = 0
		case ResultFailed:
			b.Failures++
			b.Failed = time.Now()
		case ResultRefused, ResultCancelled:
		}
	})
	t.scheduler.do(func(c *Core) { c.Release(t.id, o, time.Now()) })
}
