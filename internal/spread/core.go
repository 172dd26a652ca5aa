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
	havePeriod   = time.Second
	startPeriod  = 300 * time.Millisecond
	startPeers   = 5
	// peerWait bounds the time for which a starting host waits for peers after the store has answered.
	peerWait = time.Second
	// gatherTime is the time for which a starting host gathers answers of peers when the store does not answer.
	gatherTime  = 300 * time.Millisecond
	fetchPeriod = time.Second
	// lonelyAfter is the silence of all peers after which a host that is no relay asks the store itself.
	lonelyAfter = 2 * time.Second
	backoffMin  = 100 * time.Millisecond
	backoffMax  = 2 * time.Second
	ringLength  = 512
)

// Plan is what a host should do after a tick.
type Plan struct {
	Messages []peer.Outgoing
	// Fetch asks for one read of the store; its end is reported to FetchSucceeded or FetchFailed.
	Fetch bool
	// Watch says that the host should hold the store's watch.
	Watch bool
}

// Core decides how one host learns and relays changes of the configuration. It does no I/O and isn't
// safe for concurrent use. Changes move by push along relays; a version digest a second repairs losses.
type Core struct {
	Self   string
	Domain string
	Board  *board.Board
	// Rand spreads the periods of hosts.
	Rand *rand.Rand
	// Started is the time at which the host started.
	Started time.Time

	ring       []change.Entry
	known      map[string]change.Version
	roster     roster
	rosterAt   time.Time
	nextHave   time.Time
	turn       int
	nextFetch  time.Time
	fetching   bool
	backoff    time.Duration
	stored     bool
	firstHeard time.Time
	lastHeard  time.Time
	askedAt    time.Time
	ready      bool
	forked     bool
	// encoded is the snapshot of the state after the change encodedID.
	encoded   []byte
	encodedID string
}

// Tick returns what is due at a moment.
func (c *Core) Tick(now time.Time) Plan {
	if now.Sub(c.rosterAt) >= rosterPeriod {
		c.roster = newRoster(c.Self, c.Domain, c.Board.Hosts.All())
		c.rosterAt = now
	}
	c.checkReady(now)
	p := Plan{Watch: c.roster.isRelay()}
	if !now.Before(c.nextHave) {
		p.Messages = c.haves(now)
	}
	if c.wantsFetch(now) {
		c.fetching = true
		p.Fetch = true
	}
	return p
}

// IsReady reports whether the host has asked the store or its peers since its start.
func (c *Core) IsReady() bool { return c.ready }

// IsForked reports whether the host has seen a history that contradicts its own.
func (c *Core) IsForked() bool { return c.forked }

func (c *Core) checkReady(now time.Time) {
	if c.ready {
		return
	}
	heard := !c.firstHeard.IsZero()
	peersAsked := heard || c.peerCount() == 0 || now.Sub(c.Started) >= peerWait
	gathered := heard && now.Sub(c.firstHeard) >= gatherTime
	c.ready = c.stored && peersAsked || gathered && c.Board.Config.State().Version > 0
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
	heard := c.lastHeard
	if heard.IsZero() {
		heard = c.Started
	}
	return c.roster.isRelay() || !c.stored && !c.ready || now.Sub(heard) >= lonelyAfter
}

// haves returns the version digests that are due: one to a relay of the own failure domain, in turn,
// and from a relay one across failure domains. A starting host asks several hosts.
func (c *Core) haves(now time.Time) []peer.Outgoing {
	if !c.ready {
		c.nextHave = now.Add(startPeriod)
		h := c.have(now, false)
		h.DigestOnly = true
		return c.send(c.sample(startPeers), h)
	}
	c.nextHave = now.Add(c.jitter(havePeriod))
	c.turn++
	var targets []string
	if near := without(c.roster.relays[c.Domain], c.Self); len(near) > 0 {
		targets = append(targets, near[c.turn%len(near)])
	}
	if c.roster.isRelay() || len(targets) == 0 {
		targets = append(targets, c.distant()...)
	}
	return c.send(targets, c.have(now, false))
}

func (c *Core) distant() []string {
	if len(c.roster.domains) == 0 {
		return nil
	}
	far := c.roster.relays[c.roster.domains[c.Rand.IntN(len(c.roster.domains))]]
	return []string{far[c.Rand.IntN(len(far))]}
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
	var out []string
	for _, x := range list {
		if x != name {
			out = append(out, x)
		}
	}
	return out
}

// jitter returns a time between three and five quarters of d.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(c.Rand.Int64N(int64(d/2)))
}

func (c *Core) have(now time.Time, reply bool) *peerpb.ConfigHave {
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
		out = append(out, peer.Outgoing{To: name, Message: haveMessage(h)})
	}
	return out
}

// Learn puts changes in force that the host got from the store or made itself, and returns what to relay.
func (c *Core) Learn(now time.Time, entries []change.Entry) []peer.Outgoing {
	return c.learn(now, "", entries)
}

// FetchSucceeded takes what a read of the store gave; began is the time at which the read was sent.
func (c *Core) FetchSucceeded(now, began time.Time, f FetchResult) []peer.Outgoing {
	c.fetching = false
	c.stored = true
	c.backoff = 0
	c.nextFetch = now.Add(c.jitter(fetchPeriod))
	c.forked = c.forked || f.Forked
	c.adopt(f.Snapshot)
	out := c.learn(now, "", f.Entries)
	c.Board.Config.Confirm(began)
	return out
}

// FetchFailed notes that the store did not answer; tries back off up to backoffMax.
func (c *Core) FetchFailed(now time.Time) {
	c.fetching = false
	c.backoff = min(max(2*c.backoff, backoffMin), backoffMax)
	c.nextFetch = now.Add(c.backoff/2 + time.Duration(c.Rand.Int64N(int64(c.backoff/2))))
}

// Refetch makes the next read of the store due at once.
func (c *Core) Refetch(now time.Time) { c.nextFetch = now }

// Entry returns a kept change.
func (c *Core) Entry(v change.Version) (change.Entry, bool) {
	if len(c.ring) == 0 || v < c.ring[0].Change.Version || v > c.ring[len(c.ring)-1].Change.Version {
		return change.Entry{}, false
	}
	return c.ring[v-c.ring[0].Change.Version], true
}

// adopt replaces the state by a higher one of the same history; the kept changes no longer lead up to it.
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
		c.ring = nil
	}
}

// learn applies the changes that follow the state and relays them.
func (c *Core) learn(now time.Time, from string, entries []change.Entry) []peer.Outgoing {
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
		c.nextHave = now
	}
	if !c.Board.Config.Advance(state) {
		return nil
	}
	return c.relay(now, from, first, state.Version)
}

func (c *Core) keep(e change.Entry) {
	c.ring = append(c.ring, e)
	if len(c.ring) > 2*ringLength {
		c.ring = append([]change.Entry(nil), c.ring[len(c.ring)-ringLength:]...)
	}
}

// relay pushes changes: a relay to its members and, for what it got from the store or made, to one host
// of each other failure domain; another host, for what it made or got from elsewhere, to its relays.
func (c *Core) relay(now time.Time, from string, first, last change.Version) []peer.Outgoing {
	var targets []string
	switch {
	case c.roster.isRelay():
		targets = append(targets, c.roster.served()...)
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
		known, told := c.known[to]
		if to == from || told && known >= last {
			continue
		}
		after := first - 1
		if told && known < after {
			after = known
		}
		out = append(out, peer.Outgoing{To: to, Message: c.news(now, after)})
	}
	return out
}
