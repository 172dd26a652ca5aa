package gossip

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/mirror"
)

// readerTimeout is the time without a digest after which a host is no longer considered as a reader.
const readerTimeout = 1500 * time.Millisecond

// Reader returns the host of this region that reads the store for the others; false if this host reads it itself.
// Every host chooses the reading host with the largest processor share, so that all choose the same one.
func (g *Gossip) Reader() (mirror.Host, bool) {
	isReading := g.IsReading()
	g.mu.Lock()
	defer g.mu.Unlock()
	reader := g.largestHost(isReading, func(p *peer) bool { return p.reading })
	if reader == "" || reader == g.Self {
		return mirror.Host{}, false
	}
	return mirror.Host{Name: reader, Address: g.peers[reader].address}, true
}

// LostReader records that a host does not read the store for this one, until a relay names it again. Without relays it does
// nothing, because the host's own digests arrive directly.
func (g *Gossip) LostReader(host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.peers[host]; p != nil && g.isRelayed(time.Now()) {
		p.reading = false
	}
}

// IsReaderMissing reports whether no host of this region reads the store, so that changes may have been missed.
func (g *Gossip) IsReaderMissing() bool {
	if g.IsReading() {
		return false
	}
	_, isRead := g.Reader()
	return !isRead
}

// IsPreferredReader reports whether this host has the largest processor share of the region's live hosts.
func (g *Gossip) IsPreferredReader() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.largestHost(true, func(*peer) bool { return true }) == g.Self
}

// MayRead reports whether this host may read the store while no other host reads it for this one. Hosts that start
// together wait until they have discovered each other, so that only the preferred readers read.
func (g *Gossip) MayRead() bool {
	since := time.Since(g.startedAt)
	switch {
	case len(g.Seeds) == 0 || since > readerElectionTime:
		return true
	case since < discoveryTime:
		return false
	default:
		return g.IsPreferredReader()
	}
}

// largestHost returns the eligible live host of the region with the largest processor share, ties broken by hash of the
// name, or "" if there is none; the caller holds the lock.
func (g *Gossip) largestHost(includeSelf bool, isEligible func(*peer) bool) string {
	best, cores := "", 0.0
	if includeSelf && !g.leaving {
		best, cores = g.Self, g.Cores
	}
	for name, p := range g.peers {
		if p.region != g.Region || p.leaving || !isEligible(p) || time.Since(p.lastSeen) > readerTimeout {
			continue
		}
		if best == "" || outranks(name, p.cores, best, cores) {
			best, cores = name, p.cores
		}
	}
	return best
}

// OtherHosts returns at most n other hosts in random order, but those seen lately first.
func (g *Gossip) OtherHosts(n int) []mirror.Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	var recent, silent []mirror.Host
	for _, p := range g.peers {
		h := mirror.Host{Name: p.name, Address: p.address}
		if time.Since(p.lastSeen) < unresponsiveAfter {
			recent = append(recent, h)
		} else {
			silent = append(silent, h)
		}
	}
	for _, hosts := range [][]mirror.Host{recent, silent} {
		rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	}
	all := slices.Concat(recent, silent)
	return all[:min(n, len(all))]
}

// HostsNear returns at most n live hosts in random order, but those of a failure domain first, then those of its region.
func (g *Gossip) HostsNear(domain, region string, n int) []mirror.Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	var live []*peer
	for _, p := range g.peers {
		if !p.leaving && time.Since(p.lastSeen) < unresponsiveAfter {
			live = append(live, p)
		}
	}
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	distance := func(p *peer) int {
		switch {
		case p.domain == domain:
			return 0
		case p.region == region:
			return 1
		default:
			return 2
		}
	}
	slices.SortStableFunc(live, func(a, b *peer) int { return cmp.Compare(distance(a), distance(b)) })
	var hosts []mirror.Host
	for _, p := range live[:min(n, len(live))] {
		hosts = append(hosts, mirror.Host{Name: p.name, Address: p.address})
	}
	return hosts
}
