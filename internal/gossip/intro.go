package gossip

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

// ask asks the seeds for introductions until one answers, and later now and then a host that is heard.
func (g *Gossip) ask(ctx context.Context, socket *net.UDPConn) {
	for ctx.Err() == nil {
		if g.isInformed() {
			ticks.Sleep(ctx, introAgain)
			g.askOf(socket, g.heardOne())
			continue
		}
		for _, seed := range g.Seeds {
			g.askOf(socket, seed)
		}
		ticks.Sleep(ctx, introPeriod)
	}
}

func (g *Gossip) askOf(socket *net.UDPConn, address netip.AddrPort) {
	if !address.IsValid() || address == g.Address {
		return
	}
	d := g.digest()
	// A question has no place in the order of digests, and its answer comes from a host that knows this one by then.
	d.Asks = true
	g.write(socket, d, []netip.AddrPort{address})
}

// heardOne returns a host that has been heard lately; the zero value if there is none.
func (g *Gossip) heardOne() netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	var heard []netip.AddrPort
	for _, p := range g.peers {
		if time.Since(p.heard) < silentAfter {
			heard = append(heard, p.address)
		}
	}
	if len(heard) == 0 {
		return netip.AddrPort{}
	}
	return heard[rand.IntN(len(heard))]
}

// introduce tells another host of all hosts that this one hears, itself included.
func (g *Gossip) introduce(socket *net.UDPConn, to netip.AddrPort) {
	g.mu.Lock()
	d := Digest{Host: g.Self, Known: []Introduction{{Host: g.Self, Address: g.Address}}}
	for name, p := range g.peers {
		if time.Since(p.heard) < silentAfter {
			d.Known = append(d.Known, Introduction{Host: name, Address: p.address})
		}
	}
	g.mu.Unlock()
	g.write(socket, d, []netip.AddrPort{to})
}

// meetAll takes introductions.
func (g *Gossip) meetAll(known []Introduction) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.informed = true
	for _, one := range known {
		if one.Host != "" && one.Host != g.Self && one.Address.IsValid() && g.peers[one.Host] == nil {
			g.meet(one.Host, one.Address)
		}
	}
}
