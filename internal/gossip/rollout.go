package gossip

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/tarragonspur/tarragonspur/internal/canary"
)

const (
	// rolloutInterval is the interval of reports on roll-outs; in a mesh, for each hostsPerPeriod hosts.
	rolloutInterval = 300 * time.Millisecond
	// maxReportSources is the number of sums over failure domains in one datagram; a sum takes up to 2 KiB.
	maxReportSources = 3
)

// Rollouts holds what hosts know of roll-outs.
type Rollouts interface {
	// Report returns what others are told; with isRelay, the sums over failure domains.
	Report(isRelay bool) []canary.Report
	Merge(reports []canary.Report)
	// Version counts the decisions that others must learn of at once.
	Version() uint64
}

// rolloutState is what has been sent of roll-outs.
type rolloutState struct {
	sentAt      time.Time
	sentVersion uint64
}

// sendRollouts sends reports on roll-outs if they are due: in datagrams of their own, since digests of loads are sent far more often.
// Hosts that report to relays send theirs to these, which send sums to their hosts and to other relays.
func (g *Gossip) sendRollouts(socket socket, now time.Time) {
	if g.Rollouts == nil {
		return
	}
	version := g.Rollouts.Version()
	g.mu.Lock()
	interval, isRelay := rolloutInterval, g.isRelayed(now) && g.isRelay
	if !g.isRelayed(now) {
		interval *= time.Duration(1 + len(g.peers)/hostsPerPeriod)
	}
	isDue := version != g.rollouts.sentVersion || now.Sub(g.rollouts.sentAt) >= interval
	to := g.rolloutRecipients(isRelay, now)
	if isDue {
		g.rollouts = rolloutState{now, version}
	}
	incarnation := g.incarnation
	g.mu.Unlock()
	if !isDue {
		return
	}
	for _, part := range splitReports(g.Rollouts.Report(isRelay)) {
		m := message{Digest: &Digest{Host: g.Self, Incarnation: incarnation, Domain: g.Domain, Rollouts: part}}
		if isRelay {
			summary, err := cbor.Marshal(Summary{Host: g.Self, Incarnation: incarnation, Domain: g.Domain, Rollouts: part})
			if err != nil {
				g.Log.Error("reports on roll-outs not sent", "error", err)
				return
			}
			m = message{Summary: summary}
		}
		payload, err := cbor.Marshal(m)
		if err != nil || len(payload) > maxDatagram {
			g.Log.Error("reports on roll-outs not sent", "bytes", len(payload), "error", err)
			continue
		}
		for _, address := range to {
			// Datagrams may be lost anyway; the next report makes up for it.
			_, _ = socket.WriteToUDPAddrPort(payload, address)
		}
	}
}

// splitReports returns reports in parts that fit a datagram each.
func splitReports(all []canary.Report) [][]canary.Report {
	var parts [][]canary.Report
	for _, r := range all {
		sources := r.Sources
		for {
			n := min(len(sources), maxReportSources)
			r.Sources, sources = sources[:n], sources[n:]
			parts = append(parts, []canary.Report{r})
			if len(sources) == 0 {
				break
			}
		}
	}
	return parts
}

// rolloutRecipients returns the hosts that this one reports to; the caller holds the lock.
func (g *Gossip) rolloutRecipients(isRelay bool, now time.Time) []netip.AddrPort {
	var peers []*peer
	switch {
	case isRelay:
		peers = append(append(g.includedHosts(now), g.foreignRelays(now)...), g.relaysOf(g.Domain, now)...)
	case g.isRelayed(now):
		peers = g.relaysOf(g.Domain, now)
	default:
		for _, p := range g.peers {
			peers = append(peers, p)
		}
	}
	seen := make(map[netip.AddrPort]bool, len(peers))
	var to []netip.AddrPort
	for _, p := range peers {
		isForgotten := now.Sub(p.lastSeen) > forgetAfter && now.Sub(p.firstSeen) > forgetAfter
		if !isForgotten && !seen[p.address] {
			seen[p.address] = true
			to = append(to, p.address)
		}
	}
	return to
}

// mergeRollouts adds the reports of a datagram that holds nothing else; false if it holds none.
func (g *Gossip) mergeRollouts(reports []canary.Report) bool {
	if len(reports) == 0 {
		return false
	}
	if g.Rollouts != nil {
		g.Rollouts.Merge(reports)
	}
	return true
}
