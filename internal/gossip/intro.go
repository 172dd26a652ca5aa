package gossip

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

// requestIntroductions asks the seeds for introductions until hosts are discovered, and later a random live peer.
func (g *Gossip) requestIntroductions(ctx context.Context, socket *net.UDPConn) {
	for ctx.Err() == nil {
		if g.hasDiscovered() {
			ticks.Sleep(ctx, introRefreshInterval)
			g.requestFrom(socket, g.randomLivePeer())
			continue
		}
		for _, seed := range g.Seeds {
			g.requestFrom(socket, seed)
		}
		ticks.Sleep(ctx, introRetryInterval)
	}
}

func (g *Gossip) requestFrom(socket *net.UDPConn, address netip.AddrPort) {
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

// introduce sends the addresses of all hosts seen recently, this one included.
func (g *Gossip) introduce(socket *net.UDPConn, to netip.AddrPort) {
	g.mu.Lock()
	d := Digest{Host: g.Self, Introductions: []Introduction{{Host: g.Self, Address: g.Address}}}
	for name, p := range g.peers {
		if time.Since(p.lastSeen) < unresponsiveAfter {
			d.Introductions = append(d.Introductions, Introduction{Host: name, Address: p.address})
		}
	}
	g.mu.Unlock()
	g.write(socket, d, []netip.AddrPort{to})
}

// addIntroduced adds the introduced hosts that are not peers yet.
func (g *Gossip) addIntroduced(intros []Introduction) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.discovered = true
	for _, intro := range intros {
		if intro.Host != "" && intro.Host != g.Self && intro.Address.IsValid() && g.peers[intro.Host] == nil {
			g.addPeer(intro.Host, intro.Address)
		}
	}
}
