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

// changeHost is a host with the product's code, and what the rig recorded of it.
type changeHost struct {
	rig    *changeRig
	name   string
	domain string
	core   *spread.Core
	board  *board.Board
	ready  bool
	// watching is true while the store's watch is open, opening while it is being opened.
	watching, opening bool
	lastPoll          time.Time
	// polledState is the state that policyPollStore read last.
	polledState change.State

	// highest is the highest version that the host has had in force, restarts included.
	highest change.Version
	// sent counts the bytes of the messages that the host sent to peers.
	sent           int
	versionChanges []versionChange
	stoppedAt      []time.Time
}

// versionChange is the time at which another version came into force.
type versionChange struct {
	at      time.Time
	version change.Version
}

// start resets the host to the state of a new process.
func (h *changeHost) start() {
	g := h.rig
	h.board = &board.Board{}
	// As in the membership, a host's local view has its whole failure domain and a few contacts in each other one.
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
	h.ready, h.watching, h.opening, h.polledState = false, false, false, change.State{}
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
	if h.watching && (h.rig.isDown() || h.rig.isPartitioned(h.domain)) {
		h.watching = false
	}
	if p.Watch && !h.watching && !h.opening {
		h.watch()
	}
	h.observe()
}

// baseline returns the plan of a baseline: a read every second, or a watch with policyWatchAll.
func (h *changeHost) baseline(now time.Time) spread.Plan {
	due := now.Sub(h.lastPoll) >= time.Second
	if due {
		h.lastPoll = now
	}
	if h.rig.policy == policyWatchAll {
		return spread.Plan{Watch: true, Fetch: due && !h.ready}
	}
	return spread.Plan{Fetch: due}
}

// fetch reads the store, applies the result and calls done.
func (h *changeHost) fetch(done func(error)) {
	started := h.rig.loop.Now()
	var f spread.FetchResult
	// A call in flight when its host goes down still takes effect.
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
			done(err)
			return
		}
		h.applyFetch(f)
		h.rig.send(h, h.core.FetchSucceeded(now, started, f))
		if h.rig.policy != PolicyOwn {
			h.ready = true
		}
		h.observe()
		done(nil)
	})
}

// applyFetch adopts the state of one read with policyPollStore, also if it is older than the last one.
func (h *changeHost) applyFetch(f spread.FetchResult) {
	if h.rig.policy != policyPollStore {
		return
	}
	h.polledState = f.Snapshot
	for _, e := range f.Entries {
		if next, err := h.polledState.Apply(e.Change); err == nil {
			h.polledState = next
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

// notify delivers a change over the host's watch, if one is open; the fault lostNotifications drops half of them.
func (h *changeHost) notify(e change.Entry) {
	core := h.core
	if core == nil || !h.watching {
		return
	}
	g := h.rig
	if g.faults.lostNotifications.contains(g.elapsed()) && g.rand.IntN(2) == 0 {
		return
	}
	g.loop.After(g.storeDelay(), func() {
		if h.core == core {
			h.learn([]change.Entry{e})
		}
	})
}

func (h *changeHost) learn(entries []change.Entry) {
	h.rig.send(h, h.core.Apply(h.rig.loop.Now(), entries))
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

// commit submits a change as the product's committer does: it reads the store, prepares an attempt and performs its
// steps until the deadline.
func (h *changeHost) commit(s *submission, r commit.Request, deadline time.Time) {
	g := h.rig
	if h.core == nil {
		return
	}
	h.fetch(func(err error) {
		if err != nil {
			g.handleAnswer(s, commit.OutcomeNotAccepted)
			return
		}
		if _, ok := h.board.Config.State().VersionOf(r.ID); ok {
			g.handleAnswer(s, commit.OutcomeAccepted)
			return
		}
		a, err := commit.Prepare(h.board.Config.State(), r, h.rig.loop.Now())
		if err != nil || a == nil {
			g.handleAnswer(s, commit.OutcomeNotAccepted)
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
		g.handleAnswer(s, a.Outcome())
		if s.done {
			h.learn([]change.Entry{a.Entry})
			h.saveSnapshot(a.Entry.Change.Version)
		}
	case a.Next() == commit.StepPut:
		put := func(store *changeStore) error {
			_, err := store.Put(context.Background(), key, a.Entry.Raw, 0)
			if g.rand.Float64() < answerLossRate {
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
			g.loop.After(commitRetryPause, func() { h.attempt(s, r, a, deadline) })
		})
	}
}

func (h *changeHost) saveSnapshot(v change.Version) {
	if v%change.BucketSize != 0 {
		return
	}
	state := h.board.Config.State()
	save := func(s *changeStore) error {
		return spread.SaveSnapshot(context.Background(), s, state)
	}
	h.rig.call(h, save, func(error) {})
}

// observe records the version in force at this host; a version lower than an earlier one counts as a revert.
func (h *changeHost) observe() {
	if h.core == nil || !h.ready {
		return
	}
	v := h.board.Config.State().Version
	if h.rig.policy == policyPollStore {
		v = h.polledState.Version
	}
	if n := len(h.versionChanges); n > 0 && h.versionChanges[n-1].version == v {
		return
	}
	if v < h.highest {
		h.rig.reverts++
	}
	h.highest = max(h.highest, v)
	h.versionChanges = append(h.versionChanges, versionChange{at: h.rig.loop.Now(), version: v})
}

// lag returns the time from an acceptance until it was in force at the host, or false if the host stopped meanwhile.
func (h *changeHost) lag(a acceptance, end time.Time) (time.Duration, bool) {
	inForceAt := end
	for _, s := range h.versionChanges {
		if s.version >= a.version && !s.at.Before(a.at) {
			inForceAt = s.at
			break
		}
	}
	for _, d := range h.stoppedAt {
		if !d.Add(hostRestartDuration+time.Second).Before(a.at) && d.Before(inForceAt) {
			return 0, false
		}
	}
	return inForceAt.Sub(a.at), true
}
