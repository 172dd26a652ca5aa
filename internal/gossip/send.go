package gossip

import (
	"context"
	"net"
	"net/netip"
	"reflect"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// send tells the others about this host until ctx ends.
func (g *Gossip) send(ctx context.Context, socket *net.UDPConn) {
	incarnation := time.Now().UnixMilli()
	sequence := uint64(0)
	var last Digest
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		isUrgent := false
		select {
		case <-ticker.C:
		case <-g.started:
			isUrgent = true
		case <-ctx.Done():
			return
		}
		d := g.digest()
		if !reflect.DeepEqual(d, last) {
			last = d
			sequence++
		}
		d.Incarnation, d.Sequence = incarnation, sequence
		g.write(socket, d, g.due(sequence, isUrgent))
		g.expire()
	}
}

func (g *Gossip) digest() Digest {
	g.mu.Lock()
	d := Digest{Host: g.Self, Region: g.Region, Cores: g.Cores, Leaving: g.leaving}
	g.mu.Unlock()
	d.Reading = g.IsReading()
	d.Loads = loadsOf(g.Pool.LocalLoads())
	d.Crashes = g.Crashes.Own()
	d.Sends = sendsOf(g.Budget.LocalCounts())
	return d
}

// write sends a digest to hosts.
func (g *Gossip) write(socket *net.UDPConn, d Digest, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	text, err := cbor.Marshal(d)
	if err != nil || len(text) > maxDatagram {
		g.Log.Error("digest not sent", "bytes", len(text), "error", err)
		return
	}
	for _, address := range to {
		// A datagram may be lost in any case; the next one makes up for it.
		_, _ = socket.WriteToUDPAddrPort(text, address)
	}
}

// due returns the hosts that are to be told now. Hosts of the same region place requests on the same backend servers
// and are told of changes at once; the more hosts there are, the fewer changes each tells.
func (g *Gossip) due(sequence uint64, isUrgent bool) []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	pause := period * time.Duration(1+len(g.peers)/hostsPerPeriod)
	var all []netip.AddrPort
	for _, p := range g.peers {
		if now.Sub(p.heard) > forgetAfter && now.Sub(p.known) > forgetAfter {
			continue
		}
		least := pause
		switch {
		case p.region != g.Region && p.region != "":
			least = max(heartbeat, pause)
		case isUrgent:
			least = urgentPause
		}
		hasNews := p.toldSequence != sequence
		if !hasNews {
			least = max(heartbeat, least)
		}
		// A quarter is the play of the ticker.
		if now.Sub(p.told) < least-least/4 {
			continue
		}
		p.told, p.toldSequence = now, sequence
		all = append(all, p.address)
	}
	return all
}
