// Package spread brings changes of the configuration from the object API and from peers into force.
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

// Syncer runs a Core against the store and the peers.
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

// lock returns the core with the lock held.
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

// IsForked reports whether the host has seen a history that contradicts its own.
func (s *Syncer) IsForked() bool {
	c := s.lock()
	defer s.mu.Unlock()
	return c.IsForked()
}

// Learn puts changes in force that this host made, and relays them.
func (s *Syncer) Learn(entries ...change.Entry) {
	s.change("own", func(c *Core) []peer.Outgoing { return c.Learn(time.Now(), entries) })
}

// change runs f on the core, logs a new version and sends the messages that f returns.
func (s *Syncer) change(source string, f func(*Core) []peer.Outgoing) {
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

// Receive takes the messages of peers that concern the configuration.
func (s *Syncer) Receive(_ context.Context, from peer.Sender, m *peerpb.Message) []*peerpb.Message {
	if m.GetConfigHave() == nil && m.GetConfigNews() == nil {
		return nil
	}
	var answers []*peerpb.Message
	s.change(from.Host, func(c *Core) []peer.Outgoing {
		a, others := c.Receive(time.Now(), from.Host, m)
		answers = a
		return others
	})
	return answers
}

// CatchUp reads the store once and puts what is new in force.
func (s *Syncer) CatchUp(ctx context.Context) error {
	began := time.Now()
	f, err := Fetch(ctx, s.Store, s.Board.Config.State(), s.entry)
	if err != nil {
		return err
	}
	if f.Restored > 0 {
		s.Log.Warn("store had lost changes", "restored", f.Restored)
	}
	if f.Forked {
		s.Log.Error("store holds another history", "version", s.Board.Config.State().Version)
	}
	s.change("store", func(c *Core) []peer.Outgoing { return c.FetchSucceeded(time.Now(), began, f) })
	return nil
}

func (s *Syncer) entry(v change.Version) (change.Entry, bool) {
	c := s.lock()
	defer s.mu.Unlock()
	return c.Entry(v)
}

// SaveBase writes the state in force as the snapshot for starting hosts.
func (s *Syncer) SaveBase(ctx context.Context) error {
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
		w.hold(ctx, p.Watch)
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
		s.Log.Warn("store not read", "error", err)
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
	err := s.CatchUp(ctx)
	if err != nil {
		c := s.lock()
		defer s.mu.Unlock()
		c.FetchFailed(time.Now())
	}
	return err
}

// watch follows the log of changes until the watch breaks off.
func (s *Syncer) watch(ctx context.Context) error {
	next := s.Board.Config.State().Version + 1
	l, err := s.Store.List(ctx, change.Bucket(next))
	if err != nil {
		return err
	}
	for _, o := range l.Objects {
		s.take(o)
	}
	return s.Store.Watch(ctx, object.PrefixAudit, l.Version, func(e object.Event) {
		if !e.Deleted {
			s.take(e.Object)
		}
	})
}

func (s *Syncer) take(o object.Object) {
	e, err := change.Decode(o.Value)
	if err != nil {
		s.Log.Error("change refused", "key", o.Key, "error", err)
		return
	}
	s.change("watch", func(c *Core) []peer.Outgoing { return c.Learn(time.Now(), []change.Entry{e}) })
}

// watcher holds the store's watch in a goroutine of its own while the host is a relay.
type watcher struct {
	spread *Syncer
	cancel context.CancelFunc
	ended  chan error
	// began is the time at which the last watch began; next is the earliest time for another one.
	began time.Time
	next  time.Time
	pause time.Duration
}

// hold starts, restarts or ends the watch; it never waits for the store.
func (w *watcher) hold(ctx context.Context, want bool) {
	if w.cancel != nil {
		select {
		case err := <-w.ended:
			w.fail(err)
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

func (w *watcher) fail(err error) {
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
	w.fail(<-w.ended)
}
