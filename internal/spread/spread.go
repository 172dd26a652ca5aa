// Package spread distributes configuration changes: each host reads them from the object API or receives them from
// peers, applies them and relays them.
package spread

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/internal/object"
	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/peer/peerpb"
)

// Sender queues messages for peers.
type Sender interface {
	Send(messages ...peer.Outgoing)
}

// Syncer keeps a host's configuration up to date: it runs a Core against the store and the peers.
type Syncer struct {
	Self   string
	Domain string
	Board  *board.Board
	Store  Store
	Peers  Sender
	Log    *slog.Logger

	mu   sync.Mutex
	core *Core
}

// Name names the controller.
func (s *Syncer) Name() string { return "spread" }

// lock acquires the lock and returns the core; the caller unlocks.
func (s *Syncer) lock() *Core {
	s.mu.Lock()
	if s.core == nil {
		seed := uint64(time.Now().UnixNano())
		s.core = &Core{
			Self: s.Self, Domain: s.Domain, Board: s.Board,
			Rand: rand.New(rand.NewPCG(seed, seed)), Started: time.Now(),
		}
	}
	return s.core
}

// IsForked reports whether the host has seen a change history that conflicts with its own.
func (s *Syncer) IsForked() bool {
	c := s.lock()
	defer s.mu.Unlock()
	return c.IsForked()
}

// Apply applies changes that this host made, and relays them.
func (s *Syncer) Apply(entries ...change.Entry) {
	s.update("own", func(c *Core) []peer.Outgoing { return c.Apply(time.Now(), entries) })
}

// update runs f on the core, logs a new version with its source and sends the messages that f returns.
func (s *Syncer) update(source string, f func(*Core) []peer.Outgoing) {
	c := s.lock()
	before := s.Board.Config.State().Version
	messages := f(c)
	after := s.Board.Config.State().Version
	s.mu.Unlock()
	if after != before {
		s.Log.Info("configuration in force", "version", after, "before", before, "source", source)
	}
	s.Peers.Send(messages...)
}

// Receive handles a peer's message about the configuration and returns the answers; other messages are ignored.
func (s *Syncer) Receive(_ context.Context, from peer.Sender, m *peerpb.Message) []*peerpb.Message {
	if m.GetConfigHave() == nil && m.GetConfigNews() == nil {
		return nil
	}
	var answers []*peerpb.Message
	s.update(from.Host, func(c *Core) []peer.Outgoing {
		a, others := c.Receive(time.Now(), from.Host, m)
		answers = a
		return others
	})
	return answers
}

// Sync reads the store once and applies its new changes.
func (s *Syncer) Sync(ctx context.Context) error {
	began := time.Now()
	f, err := Fetch(ctx, s.Store, s.Board.Config.State(), s.entry)
	if err != nil {
		return err
	}
	if f.Restored > 0 {
		s.Log.Warn("restored changes that the store had lost", "restored", f.Restored)
	}
	if f.Forked {
		s.Log.Error("store holds a conflicting change", "version", s.Board.Config.State().Version)
	}
	s.update("store", func(c *Core) []peer.Outgoing { return c.FetchSucceeded(time.Now(), began, f) })
	return nil
}

func (s *Syncer) entry(v change.Version) (change.Entry, bool) {
	c := s.lock()
	defer s.mu.Unlock()
	return c.Entry(v)
}

// SaveSnapshot writes the state in force to the store as the snapshot from which hosts start.
func (s *Syncer) SaveSnapshot(ctx context.Context) error {
	return SaveSnapshot(ctx, s.Store, s.Board.Config.State())
}

// Run keeps the configuration up to date until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	fetched := make(chan error, 1)
	fetching := false
	w := watcher{spread: s}
	defer w.stop()
	tick := time.NewTicker(Period)
	defer tick.Stop()
	for {
		p := s.tick()
		s.Peers.Send(p.Messages...)
		if p.Fetch && !fetching {
			fetching = true
			go func() { fetched <- s.fetch(ctx) }()
		}
		w.update(ctx, p.Watch)
		select {
		case err := <-fetched:
			fetching = false
			s.logFetch(ctx, err)
		case <-tick.C:
		case <-ctx.Done():
			if fetching {
				s.logFetch(ctx, <-fetched)
			}
			return nil
		}
	}
}

func (s *Syncer) logFetch(ctx context.Context, err error) {
	if err != nil && ctx.Err() == nil {
		s.Log.Warn("reading the store failed", "error", err)
	}
}

func (s *Syncer) tick() Plan {
	c := s.lock()
	defer s.mu.Unlock()
	p := c.Tick(time.Now())
	if c.IsReady() {
		s.Board.Process.SetReady()
	}
	s.Board.Process.SetOut(s.Board.Config.View().IsOut(s.Domain))
	return p
}

func (s *Syncer) fetch(ctx context.Context) error {
	err := s.Sync(ctx)
	if err != nil {
		c := s.lock()
		defer s.mu.Unlock()
		c.FetchFailed(time.Now())
	}
	return err
}

// watch applies the changes in the store as they are written, until the watch ends.
func (s *Syncer) watch(ctx context.Context) error {
	next := s.Board.Config.State().Version + 1
	l, err := s.Store.List(ctx, change.Bucket(next))
	if err != nil {
		return err
	}
	for _, o := range l.Objects {
		s.applyObject(o)
	}
	return s.Store.Watch(ctx, object.PrefixAudit, l.Version, func(e object.Event) {
		if !e.Deleted {
			s.applyObject(e.Object)
		}
	})
}

func (s *Syncer) applyObject(o object.Object) {
	e, err := change.Decode(o.Value)
	if err != nil {
		s.Log.Error("change can't be decoded", "key", o.Key, "error", err)
		return
	}
	s.update("watch", func(c *Core) []peer.Outgoing { return c.Apply(time.Now(), []change.Entry{e}) })
}

// watcher runs the store's watch in its own goroutine while the host is a relay.
type watcher struct {
	spread *Syncer
	cancel context.CancelFunc
	ended  chan error
	// began is the time at which the last watch began; next is the earliest time for the next one.
	began time.Time
	next  time.Time
	pause time.Duration
}

// update starts, restarts or stops the watch as wanted; it doesn't wait for a running watch unless it stops it.
func (w *watcher) update(ctx context.Context, want bool) {
	if w.cancel != nil {
		select {
		case err := <-w.ended:
			w.handleEnd(err)
		default:
			if !want {
				w.stop()
			}
			return
		}
	}
	if !want || time.Now().Before(w.next) {
		return
	}
	watch, cancel := context.WithCancel(ctx)
	ended := make(chan error, 1)
	w.cancel, w.ended = cancel, ended
	w.began = time.Now()
	go func() { ended <- w.spread.watch(watch) }()
}

func (w *watcher) handleEnd(err error) {
	w.cancel()
	w.cancel = nil
	if time.Since(w.began) > backoffMax {
		w.pause = 0
	}
	w.pause = min(max(2*w.pause, backoffMin), backoffMax)
	w.next = time.Now().Add(w.pause/2 + rand.N(w.pause/2))
	if !errors.Is(err, context.Canceled) {
		w.spread.Log.Warn("watch ended", "error", err)
	}
}

func (w *watcher) stop() {
	if w.cancel == nil {
		return
	}
	w.cancel()
	w.handleEnd(<-w.ended)
}
