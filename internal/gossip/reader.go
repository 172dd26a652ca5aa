package gossip

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonspur/tarragonspur/internal/mirror"
)

// readerSilence is when a reading host that is silent is passed over.
const readerSilence = 1500 * time.Millisecond

// Reader returns the host of this region that reads the store for the others; false if this host reads for itself.
// Every host takes the one with the largest processor share of all that can read, so that all take the same.
func (g *Gossip) Reader() (mirror.Host, bool) {
	isReading := g.IsReading()
	g.mu.Lock()
	defer g.mu.Unlock()
	best := g.best(isReading, func(p *peer) bool { return p.reading })
	if best == "" || best == g.Self {
		return mirror.Host{}, false
	}
	return mirror.Host{Name: best, Address: g.peers[best].address}, true
}

// IsAway reports whether no host of this region reads the store, so that notices may have been missed.
func (g *Gossip) IsAway() bool {
	if g.IsReading() {
		return false
	}
	_, isRead := g.Reader()
	return !isRead
}

// IsFirst reports whether this host has the largest processor share of all hosts of the region that are heard.
func (g *Gossip) IsFirst() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.best(true, func(*peer) bool { return true }) == g.Self
}

// MayRead reports whether this host may read the store without a host that reads for it. Hosts that start together wait
// until they have met, so that only those that are to read for the others do.
func (g *Gossip) MayRead() bool {
	since := time.Since(g.began)
	switch {
	case len(g.Seeds) == 0 || since > readerTime:
		return true
	case since < settleTime:
		return false
	default:
		return g.IsFirst()
	}
}

// best returns the host with the largest processor share of those that may read; the caller holds the lock.
func (g *Gossip) best(mayBeSelf bool, may func(*peer) bool) string {
	best, cores := "", 0.0
	if mayBeSelf && !g.leaving {
		best, cores = g.Self, g.Cores
	}
	for name, p := range g.peers {
		if p.region != g.Region || p.leaving || !may(p) || time.Since(p.heard) > readerSilence {
			continue
		}
		if best == "" || p.cores > cores || p.cores == cores && xxhash.Sum64String(name) > xxhash.Sum64String(best) {
			best, cores = name, p.cores
		}
	}
	return best
}
