package bench

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/internal/commit"
	"github.com/tarragonspur/tarragonspur/internal/object"
	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/peer/peerpb"
	"github.com/tarragonspur/tarragonspur/internal/spread"
)

// changeHost is one host: its own code and what the rig observes of it.
type changeHost struct {
	rig    *changeRig
	name   string
	domain string
	core   *spread.Core
	board  *board.Board
	ready  bool
	// watching says that the store's watch is held; opening that it is being opened.
	watching, opening bool
	polled            time.Time
	// naive is the state that policyPollStore took last.
	naive change.State

	// highest is the highest version that the host served under its name.
	highest change.Version
	// sent counts the bytes of the messages that the host sent to peers.
	sent  int
	steps []step
	downs []time.Time
}

// step is a moment at which another version came into force.
type step struct {
	at      time.Time
	version change.Version
}

func (h *changeHost) boot() {
	g := h.rig
	h.board = &board.Board{}
	// As with the membership, a host knows all of its failure domain and a few contacts of each other one.
	contacts := make(map[string]int)
	for _, other := range g.hosts {
		contacts[other.domain]++
		if other.domain == h.domain || contacts[other.domain] <= changeContacts {
			h.board.Hosts.Put(board.Host{Name: other.name, Domain: other.domain, State: board.HostLive})
		}
	}
	h.core = &spread.Core{
		Self: h.name, Domain: h.domain, Board: h.board, Started: g.loop.Now(),
		Rand: rand.New(rand.NewPCG(g.rand.Uint64(), 1)),
	}
	h.ready, h.watching, h.opening, h.naive = false, false, false, change.State{}
	core := h.core
	g.loop.Every(spread.Period, func() bool {
		if h.core != core {
			return false
		}
		h.tick()
		return true
	})
}

func (h *changeHost) tick() {
	now := h.rig.loop.Now()
	p := h.core.Tick(now)
	if h.rig.policy != PolicyOwn {
		p = h.baseline(now)
	} else if h.core.IsReady() {
		h.ready = true
	}
	h.rig.send(h, p.Messages)
	if p.Fetch {
		h.fetch(func(error) {})
	}
	if h.watching && (h.rig.isDown() || h.rig.isCut(h.domain)) {
		h.watching = false
	}
	if p.Watch && !h.watching && !h.opening {
		h.watch()
	}
	h.observe()
}

// baseline plans without peers: reads at a fixed period, and a watch with policyWatchAll.
func (h *changeHost) baseline(now time.Time) spread.Plan {
	due := now.Sub(h.polled) >= time.Second
	if due {
		h.polled = now
	}
	if h.rig.policy == policyWatchAll {
		return spread.Plan{Watch: true, Fetch: due && !h.ready}
	}
	return spread.Plan{Fetch: due}
}

func (h *changeHost) fetch(then func(error)) {
	began := h.rig.loop.Now()
	var f spread.FetchResult
	// A call that is on its way when its host goes down still takes effect.
	core, b := h.core, h.board
	read := func(s *changeStore) error {
		have := b.Config.State()
		if h.rig.policy == policyPollStore {
			have = change.State{}
		}
		got, err := spread.Fetch(context.Background(), s, have, core.Entry)
		f = got
		return err
	}
	h.rig.call(h, read, func(err error) {
		now := h.rig.loop.Now()
		if err != nil {
			h.core.FetchFailed(now)
			then(err)
			return
		}
		h.take(f)
		h.rig.send(h, h.core.FetchSucceeded(now, began, f))
		if h.rig.policy != PolicyOwn {
			h.ready = true
		}
		h.observe()
		then(nil)
	})
}

// take keeps the whole state that a naive reader takes from one read.
func (h *changeHost) take(f spread.FetchResult) {
	if h.rig.policy != policyPollStore {
		return
	}
	h.naive = f.Snapshot
	for _, e := range f.Entries {
		if next, err := h.naive.Apply(e.Change); err == nil {
			h.naive = next
		}
	}
}

// watch opens the store's watch with a listing, as the adapter does.
func (h *changeHost) watch() {
	h.opening = true
	var listed []change.Entry
	core, b := h.core, h.board
	list := func(s *changeStore) error {
		l, err := s.List(context.Background(), change.Bucket(b.Config.State().Version+1))
		for _, o := range l.Objects {
			if e, err := change.Decode(o.Value); err == nil {
				listed = append(listed, e)
			}
		}
		h.watching = err == nil && h.core == core
		return err
	}
	h.rig.call(h, list, func(err error) {
		h.opening = false
		if err == nil {
			h.learn(listed)
		}
	})
}

// notify sends one change along the watch.
func (h *changeHost) notify(e change.Entry) {
	core := h.core
	if core == nil || !h.watching {
		return
	}
	g := h.rig
	if g.faults.silent.holds(g.elapsed()) && g.rand.IntN(2) == 0 {
		return
	}
	g.loop.After(g.storeDelay(), func() {
		if h.core == core {
			h.learn([]change.Entry{e})
		}
	})
}

func (h *changeHost) learn(entries []change.Entry) {
	h.rig.send(h, h.core.Learn(h.rig.loop.Now(), entries))
	h.observe()
}

func (h *changeHost) receive(from *changeHost, m *peerpb.Message) {
	if h.core == nil {
		return
	}
	answers, others := h.core.Receive(h.rig.loop.Now(), from.name, m)
	for _, a := range answers {
		h.rig.send(h, []peer.Outgoing{{To: from.name, Message: a}})
	}
	h.rig.send(h, others)
	h.observe()
}

// commit follows the committer: read, prepare, and the steps of an attempt until a deadline.
func (h *changeHost) commit(s *submission, r commit.Request, deadline time.Time) {
	g := h.rig
	if h.core == nil {
		return
	}
	h.fetch(func(err error) {
		if err != nil {
			g.answer(s, commit.OutcomeNotAccepted)
			return
		}
		if _, ok := h.board.Config.State().VersionOf(r.ID); ok {
			g.answer(s, commit.OutcomeAccepted)
			return
		}
		a, err := commit.Prepare(h.board.Config.State(), r, h.rig.loop.Now())
		if err != nil || a == nil {
			g.answer(s, commit.OutcomeNotAccepted)
			return
		}
		h.attempt(s, r, a, deadline)
	})
}

func (h *changeHost) attempt(s *submission, r commit.Request, a *commit.Attempt, deadline time.Time) {
	g := h.rig
	key := change.Key(a.Entry.Change.Version)
	switch {
	case a.Next() == commit.StepDone && a.Outcome() == commit.OutcomeConflict && g.loop.Now().Before(deadline):
		h.commit(s, r, deadline)
	case a.Next() == commit.StepDone || !g.loop.Now().Before(deadline):
		g.answer(s, a.Outcome())
		if s.done {
			h.learn([]change.Entry{a.Entry})
			h.saveBase(a.Entry.Change.Version)
		}
	case a.Next() == commit.StepPut:
		put := func(store *changeStore) error {
			_, err := store.Put(context.Background(), key, a.Entry.Raw, 0)
			if g.rand.Float64() < lostAnswers {
				return object.ErrUnknown
			}
			return err
		}
		g.call(h, put, func(err error) {
			a.Put(err)
			h.attempt(s, r, a, deadline)
		})
	default:
		var o object.Object
		get := func(store *changeStore) (err error) {
			o, err = store.Get(context.Background(), key)
			return err
		}
		g.call(h, get, func(err error) {
			a.Get(o, err)
			g.loop.After(submitRetry, func() { h.attempt(s, r, a, deadline) })
		})
	}
}

func (h *changeHost) saveBase(v change.Version) {
	if v%change.BucketSize != 0 {
		return
	}
	state := h.board.Config.State()
	save := func(s *changeStore) error {
		return spread.SaveSnapshot(context.Background(), s, state)
	}
	h.rig.call(h, save, func(error) {})
}

// observe notes the version that callers of this host are served under.
func (h *changeHost) observe() {
	if h.core == nil || !h.ready {
		return
	}
	v := h.board.Config.State().Version
	if h.rig.policy == policyPollStore {
		v = h.naive.Version
	}
	if n := len(h.steps); n > 0 && h.steps[n-1].version == v {
		return
	}
	if v < h.highest {
		h.rig.reverts++
	}
	h.highest = max(h.highest, v)
	h.steps = append(h.steps, step{at: h.rig.loop.Now(), version: v})
}

// lag returns the time from an acceptance until the host had it in force, unless the host went down before.
func (h *changeHost) lag(a acceptance, end time.Time) (time.Duration, bool) {
	until := end
	for _, s := range h.steps {
		if s.version >= a.version && !s.at.Before(a.at) {
			until = s.at
			break
		}
	}
	for _, d := range h.downs {
		if !d.Add(restartTakes+time.Second).Before(a.at) && d.Before(until) {
			return 0, false
		}
	}
	return until.Sub(a.at), true
}
