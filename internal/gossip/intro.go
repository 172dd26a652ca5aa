package gossip

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

// requestIntroductions asks the seeds for introductions until hosts are discovered, some more times while others start too,
// while no relay is heard, and later a random live peer.
func (g *Gossip) requestIntroductions(ctx context.Context, socket socket) {
	refreshedAt := g.startedAt
	for ctx.Err() == nil {
		if !g.hasDiscovered() {
			g.requestFromSeeds(socket)
			ticks.Sleep(ctx, introRetryInterval)
			continue
		}
		isStarting := time.Since(g.startedAt) < introStartTime
		ticks.Sleep(ctx, introStartInterval)
		switch {
		case isStarting:
			g.requestFromSeeds(socket)
		case g.lacksRelay():
			g.requestFromSeeds(socket)
			g.requestFrom(socket, g.randomLivePeer())
		case g.hasMetMany() || time.Since(refreshedAt) > introRefreshInterval:
			g.requestFrom(socket, g.randomLivePeer())
		default:
			continue
		}
		refreshedAt = time.Now()
	}
}

// hasMetMany reports, once, whether many hosts that this one did not know have sent it digests lately: it or they were cut off,
// and others that started meanwhile know it as little as it knows them.
func (g *Gossip) hasMetMany() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	hasMetMany := g.met >= max(metHosts, int(metShare*float64(len(g.peers))))
	g.met = 0
	return hasMetMany
}

func (g *Gossip) requestFromSeeds(socket socket) {
	for _, seed := range g.Seeds {
		g.requestFrom(socket, seed)
	}
}

func (g *Gossip) requestFrom(socket socket, address netip.AddrPort) {
	if !address.IsValid() || address == g.Address {
		return
	}
	d := g.digest()
	// A request carries no incarnation and sequence, so it never replaces a broadcast digest. The host that replies adds
	// this one as a peer.
	d.WantsIntroductions = true
	g.write(socket, d, []netip.AddrPort{address})
}

// randomLivePeer returns the address of a host seen recently, or the zero value if there is none.
func (g *Gossip) randomLivePeer() netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	var live []netip.AddrPort
	for _, p := range g.peers {
		if time.Since(p.lastSeen) < unresponsiveAfter {
			live = append(live, p.address)
		}
	}
	if len(live) == 0 {
		return netip.AddrPort{}
	}
	return live[rand.IntN(len(live))]
}

// introduce sends the hosts that this one knows to be alive, itself included.
func (g *Gossip) introduce(socket socket, to netip.AddrPort) {
	now := time.Now()
	g.mu.Lock()
	intros := []Introduction{g.ownIntroduction()}
	for _, p := range g.peers {
		if now.Sub(p.lastSeen) < unresponsiveAfter {
			intros = append(intros, p.introduction(now))
		}
	}
	isRelayed := g.isRelayed(now)
	g.mu.Unlock()
	for part := range slices.Chunk(intros, maxIntroductions) {
		g.write(socket, Digest{Host: g.Self, Introductions: part, IsRelayed: isRelayed}, []netip.AddrPort{to})
	}
}

// maxIntroductions bounds the introductions in a datagram.
const maxIntroductions = 60

func (g *Gossip) ownIntroduction() Introduction {
	return Introduction{Host: g.Self, Address: g.Address, Region: g.Region, Domain: g.Domain, Cores: g.Cores, Leaving: g.leaving}
}

func (p *peer) introduction(now time.Time) Introduction {
	return Introduction{
		Host: p.name, Address: p.address, Region: p.region, Domain: p.domain, Cores: p.cores, Reading: p.reading, Leaving: p.leaving,
		AgeMS: now.Sub(p.lastSeen).Milliseconds(),
	}
}

// addIntroduced adds the introduced hosts that are not peers yet.
func (g *Gossip) addIntroduced(d Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.discovered = true
	if d.IsRelayed {
		g.useRelays("introduced_by", d.Host)
	}
	for _, intro := range d.Introductions {
		g.addMember(intro, false, time.Now())
	}
}

// addMember adds an introduced host. If isCurrent, its state is applied unless the host reports to this one. The caller holds
// the lock.
func (g *Gossip) addMember(intro Introduction, isCurrent bool, now time.Time) {
	if intro.Host == "" || intro.Host == g.Self || !intro.Address.IsValid() {
		return
	}
	p := g.peers[intro.Host]
	if p == nil {
		p = g.addPeer(intro.Host, intro.Address)
	}
	if p.domain == "" {
		// The store's list names addresses only.
		p.region, p.domain, p.cores = intro.Region, intro.Domain, intro.Cores
	}
	if !isCurrent || g.isReporting(p, now) {
		return
	}
	if seen := now.Add(-time.Duration(intro.AgeMS) * time.Millisecond); seen.After(p.lastSeen) {
		p.lastSeen, p.unresponsive = seen, false
	}
	p.address, p.region, p.domain, p.cores = intro.Address, intro.Region, intro.Domain, intro.Cores
	p.reading, p.leaving = intro.Reading, intro.Leaving
}
