package gossip

import (
	"context"
	"net/netip"
	"reflect"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/tarragonspur/tarragonspur/internal/tally"
)

// broadcast sends this host's digest to the others until ctx ends.
func (g *Gossip) broadcast(ctx context.Context, socket socket) {
	sequence := uint64(0)
	var last Digest
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	relayTicker := time.NewTicker(relayPeriod)
	defer relayTicker.Stop()
	for {
		isUrgent := false
		select {
		case <-ticker.C:
		case <-relayTicker.C:
			g.pauses.tick(time.Now())
			g.relay(socket)
			g.checkView(time.Now())
			continue
		case <-g.wake:
			isUrgent = true
		case <-ctx.Done():
			return
		}
		g.sendRollouts(socket, time.Now())
		d := g.digest()
		if !reflect.DeepEqual(d, last) {
			last = d
			sequence++
			g.record(sequence, d)
		}
		d.Incarnation, d.Sequence = g.incarnation, sequence
		d.Crashes, d.Notices = g.Crashes.Report(), g.Notices.Report()
		var due []netip.AddrPort
		due, d.IsRelayed = g.due(sequence, d.EvidenceVersion, isUrgent)
		g.write(socket, d, due)
		g.expire()
	}
}

func (g *Gossip) digest() Digest {
	g.mu.Lock()
	d := Digest{Host: g.Self, Domain: g.Domain, Region: g.Region, Cores: g.Cores, Leaving: g.leaving}
	g.mu.Unlock()
	d.Reading = g.IsReading()
	d.Loads = loadsOf(g.Pool.LocalLoads())
	d.EvidenceVersion = g.Crashes.Version() + g.Notices.Version()
	services := make(map[string]tally.Service)
	for name, c := range g.Budget.LocalCounts() {
		services[name] = tally.Service{SendCounts: c}
	}
	for name, b := range g.Queue.Locals() {
		s := services[name]
		s.Backlog = b
		services[name] = s
	}
	d.Services = servicesOf(services)
	return d
}

// write sends a digest to the given addresses; errors are logged or ignored.
func (g *Gossip) write(socket socket, d Digest, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	payload, err := encodeDigest(d)
	if err != nil || len(payload) > maxDatagram {
		g.Log.Error("digest not sent", "bytes", len(payload), "error", err)
		return
	}
	for _, address := range to {
		// Datagrams may be lost anyway; the next digest makes up for it.
		_, _ = socket.WriteToUDPAddrPort(payload, address)
	}
}

// encodeDigest encodes a digest with as much evidence of crashes, and as many statements of backend servers, as fit.
func encodeDigest(d Digest) ([]byte, error) {
	for {
		payload, err := cbor.Marshal(message{Digest: &d})
		if err != nil || len(payload) <= maxDatagram || len(d.Crashes)+len(d.Notices) == 0 {
			return payload, err
		}
		if len(d.Crashes) > len(d.Notices)/2 {
			d.Crashes = d.Crashes[:len(d.Crashes)/2]
		} else {
			d.Notices = d.Notices[:len(d.Notices)/2]
		}
	}
}

// due returns the addresses that a digest is due for, and whether they are relays. Hosts of the same region place requests on the same backend
// servers and receive changes at once; the more hosts there are, the less often each sends changes. Evidence of crashes
// concerns the hosts of all regions.
func (g *Gossip) due(sequence, evidenceVersion uint64, isUrgent bool) (due []netip.AddrPort, isRelayed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.isRelayed(now) {
		return g.dueAtRelays(now, sequence, isUrgent), true
	}
	interval := g.meshInterval()
	for _, p := range g.peers {
		if now.Sub(p.lastSeen) > forgetAfter && now.Sub(p.firstSeen) > forgetAfter {
			continue
		}
		minInterval := interval
		switch {
		case isUrgent && p.lastSentEvidence != evidenceVersion:
			minInterval = urgentInterval
		case p.region != g.Region && p.region != "":
			minInterval = max(heartbeat, interval)
		case isUrgent:
			minInterval = urgentInterval
		}
		hasChanged := p.lastSentSequence != sequence
		if !hasChanged {
			minInterval = max(heartbeat, minInterval)
		}
		// A quarter of the interval allows for the ticker's jitter.
		if now.Sub(p.lastSent) < minInterval-minInterval/4 {
			continue
		}
		p.lastSent, p.lastSentSequence, p.lastSentEvidence = now, sequence, evidenceVersion
		due = append(due, p.address)
	}
	return due, false
}

// meshInterval is the interval of changes in digests to all hosts; the caller holds the lock.
func (g *Gossip) meshInterval() time.Duration {
	return period * time.Duration(1+len(g.peers)/hostsPerPeriod)
}
