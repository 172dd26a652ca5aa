package spread

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/peer/peerpb"
)

// Period is the time between two calls of Core.Tick.
const Period = 100 * time.Millisecond

const (
	rosterPeriod = 500 * time.Millisecond
	digestPeriod = time.Second
	startPeriod  = 300 * time.Millisecond
	startPeers   = 5
	// peerWait is the time after its start for which a host waits for peers if the store has already answered.
	peerWait = time.Second
	// gatherWait is the time for which a starting host collects answers from peers when the store does not answer.
	gatherWait  = 300 * time.Millisecond
	fetchPeriod = time.Second
	// peerSilenceLimit is the time without messages from peers after which a host that is no relay reads the store.
	peerSilenceLimit = 2 * time.Second
	backoffMin       = 100 * time.Millisecond
	backoffMax       = 2 * time.Second
	keptEntries      = 512
)

// Plan is what a host should do after a tick.
type Plan struct {
	Messages []peer.Outgoing
	// Fetch requests one read of the store; its result is passed to FetchSucceeded or FetchFailed.
	Fetch bool
	// Watch is true while the host should watch the store.
	Watch bool
}

// Core decides how one host obtains and relays configuration changes. It does no I/O and isn't safe for concurrent use.
// Changes are pushed along relays; about one version digest per second repairs losses.
type Core struct {
	Self   string
	Domain string
	Board  *board.Board
	// Rand adds jitter to periods and chooses peers.
	Rand *rand.Rand
	// Started is the time at which the host started.
	Started time.Time

	recent       []change.Entry
	peerVersions map[string]change.Version
	roster       roster
	rosterAt     time.Time
	nextDigest   time.Time
	relayTurn    int
	nextFetch    time.Time
	fetching     bool
	backoff      time.Duration
	storeRead    bool
	firstPeerAt  time.Time
	lastPeerAt   time.Time
	requestedAt  time.Time
	ready        bool
	forked       bool
	// encoded is the snapshot of the state after the change encodedID.
	encoded   []byte
	encodedID string
}

// Tick returns the steps that are due now; it is called every Period.
func (c *Core) Tick(now time.Time) Plan {
	if now.Sub(c.rosterAt) >= rosterPeriod {
		c.roster = newRoster(c.Self, c.Domain, c.Board.Hosts.All())
		c.rosterAt = now
	}
	c.checkReady(now)
	p := Plan{Watch: c.roster.isRelay()}
	if !now.Before(c.nextDigest) {
		p.Messages = c.digests(now)
	}
	if c.wantsFetch(now) {
		c.fetching = true
		p.Fetch = true
	}
	return p
}

// IsReady reports whether the host has obtained the configuration from the store or from peers since its start.
func (c *Core) IsReady() bool { return c.ready }

// IsForked reports whether the host has seen a change history that conflicts with its own.
func (c *Core) IsForked() bool { return c.forked }

func (c *Core) checkReady(now time.Time) {
	if c.ready {
		return
	}
	hasPeer := !c.firstPeerAt.IsZero()
	peersAsked := hasPeer || c.peerCount() == 0 || now.Sub(c.Started) >= peerWait
	waitedEnough := hasPeer && now.Sub(c.firstPeerAt) >= gatherWait
	c.ready = c.storeRead && peersAsked || waitedEnough && c.Board.Config.State().Version > 0
}

func (c *Core) peerCount() int {
	n := len(c.roster.members)
	for _, d := range c.roster.domains {
		n += len(c.roster.relays[d])
	}
	return n
}

func (c *Core) wantsFetch(now time.Time) bool {
	if c.fetching || now.Before(c.nextFetch) {
		return false
	}
	lastPeer := c.lastPeerAt
	if lastPeer.IsZero() {
		lastPeer = c.Started
	}
	return c.roster.isRelay() || !c.storeRead && !c.ready || now.Sub(lastPeer) >= peerSilenceLimit
}

// digests returns the version digests that are due: one to a relay of the own failure domain, round-robin, and from a
// relay also one to another failure domain. A starting host asks several hosts.
func (c *Core) digests(now time.Time) []peer.Outgoing {
	if !c.ready {
		c.nextDigest = now.Add(startPeriod)
		h := c.digest(now, false)
		h.DigestOnly = true
		return c.send(c.sample(startPeers), h)
	}
	c.nextDigest = now.Add(c.jitter(digestPeriod))
	c.relayTurn++
	var targets []string
	if local := without(c.roster.relays[c.Domain], c.Self); len(local) > 0 {
		targets = append(targets, local[c.relayTurn%len(local)])
	}
	if c.roster.isRelay() || len(targets) == 0 {
		targets = append(targets, c.remoteRelay()...)
	}
	return c.send(targets, c.digest(now, false))
}

func (c *Core) remoteRelay() []string {
	if len(c.roster.domains) == 0 {
		return nil
	}
	remote := c.roster.relays[c.roster.domains[c.Rand.IntN(len(c.roster.domains))]]
	return []string{remote[c.Rand.IntN(len(remote))]}
}

func (c *Core) sample(n int) []string {
	all := append([]string(nil), c.roster.members...)
	for _, d := range c.roster.domains {
		all = append(all, c.roster.relays[d]...)
	}
	c.Rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

func without(list []string, name string) []string {
	var kept []string
	for _, other := range list {
		if other != name {
			kept = append(kept, other)
		}
	}
	return kept
}

// jitter returns a random duration between 3/4 and 5/4 of d.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(c.Rand.Int64N(int64(d/2)))
}

func (c *Core) digest(now time.Time, reply bool) *peerpb.ConfigHave {
	s := c.Board.Config.State()
	h := &peerpb.ConfigHave{Version: uint64(s.Version), Id: s.ID, Reply: reply}
	if at := c.Board.Config.Confirmed(); !at.IsZero() {
		h.Confirmed = true
		h.AgeMs = uint64(max(0, now.Sub(at).Milliseconds()))
	}
	return h
}

func (c *Core) send(to []string, h *peerpb.ConfigHave) []peer.Outgoing {
	out := make([]peer.Outgoing, 0, len(to))
	for _, name := range to {
		out = append(out, peer.Outgoing{To: name, Message: digestMessage(h)})
	}
	return out
}

// Apply applies changes that the host read from the store or made itself, and returns the messages that relay them.
func (c *Core) Apply(now time.Time, entries []change.Entry) []peer.Outgoing {
	return c.apply(now, "", entries)
}

// FetchSucceeded applies the result of a read of the store that began at the time began.
func (c *Core) FetchSucceeded(now, began time.Time, f FetchResult) []peer.Outgoing {
	c.fetching = false
	c.storeRead = true
	c.backoff = 0
	c.nextFetch = now.Add(c.jitter(fetchPeriod))
	c.forked = c.forked || f.Forked
	c.adopt(f.Snapshot)
	out := c.apply(now, "", f.Entries)
	c.Board.Config.Confirm(began)
	return out
}

// FetchFailed records that a read of the store failed; retries back off up to backoffMax.
func (c *Core) FetchFailed(now time.Time) {
	c.fetching = false
	c.backoff = min(max(2*c.backoff, backoffMin), backoffMax)
	c.nextFetch = now.Add(c.backoff/2 + time.Duration(c.Rand.Int64N(int64(c.backoff/2))))
}

// Refetch makes the next read of the store due immediately.
func (c *Core) Refetch(now time.Time) { c.nextFetch = now }

// Entry returns the change of a version, and false if the host no longer keeps it.
func (c *Core) Entry(v change.Version) (change.Entry, bool) {
	if len(c.recent) == 0 || v < c.recent[0].Change.Version || v > c.recent[len(c.recent)-1].Change.Version {
		return change.Entry{}, false
	}
	return c.recent[v-c.recent[0].Change.Version], true
}

// adopt replaces the state by a higher one of the same history and drops the kept changes, which don't lead up to it.
func (c *Core) adopt(s change.State) {
	mine := c.Board.Config.State()
	if s.Version <= mine.Version {
		return
	}
	if !s.Extends(mine) {
		c.forked = true
		return
	}
	if c.Board.Config.Advance(s) {
		c.recent = nil
	}
}

// apply applies the changes that follow the state and relays them.
func (c *Core) apply(now time.Time, from string, entries []change.Entry) []peer.Outgoing {
	state := c.Board.Config.State()
	first := state.Version + 1
	gap := false
	for _, e := range entries {
		next, err := state.Apply(e.Change)
		switch {
		case err == nil:
			state = next
			c.keep(e)
		case errors.Is(err, change.ErrGap):
			gap = true
		case errors.Is(err, change.ErrFork):
			c.forked = true
		}
	}
	if gap {
		c.nextFetch = now
		c.nextDigest = now
	}
	if !c.Board.Config.Advance(state) {
		return nil
	}
	return c.relay(now, from, first, state.Version)
}

func (c *Core) keep(e change.Entry) {
	c.recent = append(c.recent, e)
	if len(c.recent) > 2*keptEntries {
		c.recent = append([]change.Entry(nil), c.recent[len(c.recent)-keptEntries:]...)
	}
}

// relay returns the messages that push changes: a relay pushes to its pushTargets, another host to its own relays, unless
// a member of its failure domain sent the changes. Changes that the host made or read from the store also go to one
// relay of each other failure domain.
func (c *Core) relay(now time.Time, from string, first, last change.Version) []peer.Outgoing {
	var targets []string
	switch {
	case c.roster.isRelay():
		targets = append(targets, c.roster.pushTargets()...)
		if from == "" {
			targets = append(targets, c.roster.gateways()...)
		}
	case from == "":
		targets = append(targets, c.roster.relays[c.Domain]...)
		targets = append(targets, c.roster.gateways()...)
	case !slices.Contains(c.roster.members, from):
		targets = append(targets, c.roster.relays[c.Domain]...)
	}
	var out []peer.Outgoing
	for _, to := range targets {
		known, isKnown := c.peerVersions[to]
		if to == from || isKnown && known >= last {
			continue
		}
		after := first - 1
		if isKnown && known < after {
			after = known
		}
		out = append(out, peer.Outgoing{To: to, Message: c.news(now, after)})
	}
	return out
}
