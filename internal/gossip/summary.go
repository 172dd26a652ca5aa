package gossip

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/tarragonspur/tarragonspur/internal/crash"
	"github.com/tarragonspur/tarragonspur/internal/notice"
	"github.com/tarragonspur/tarragonspur/internal/pool"
	"github.com/tarragonspur/tarragonspur/internal/tally"
)

const (
	// maxSummaryLoads is the number of backend servers in one part of a summary; about 25 bytes each.
	maxSummaryLoads = 160
	// memberPeriods is the number of periods between the summaries that name members and evidence of crashes.
	memberPeriods = 5
)

// evidence is what relays pass on beside counts.
type evidence struct {
	crashes []crash.Evidence
	notices []notice.Report
}

// parcel is an encoded summary and its recipients.
type parcel struct {
	summary Summary
	to      []recipient
}

// recipient is a host that receives a summary; incarnation, included and rank are set for global ones.
type recipient struct {
	address     netip.AddrPort
	incarnation int64
	included    uint64
	rank        int
}

// relay sends summaries if other hosts report to this one, and takes their sums for its own placement.
func (g *Gossip) relay(socket socket) {
	now := time.Now()
	evidence := evidence{g.Crashes.Report(), g.Notices.Report()}
	for _, p := range g.sums(evidence, now) {
		g.writeSummary(socket, p)
	}
}

// sums returns the summaries that are due, and takes the sum of the other hosts into the pool if this host is the primary relay.
func (g *Gossip) sums(e evidence, now time.Time) []parcel {
	g.apply.Lock()
	defer g.apply.Unlock()
	g.mu.Lock()
	if !g.isRelayed(now) {
		g.mu.Unlock()
		return nil
	}
	reporters := g.includedHosts(now)
	wasRelay := g.isRelay
	g.isRelay = slices.ContainsFunc(reporters, func(p *peer) bool { return p.isReporting })
	if !g.isRelay {
		g.mu.Unlock()
		return nil
	}
	if !wasRelay {
		g.relaySince = now
		g.Log.Info("host relays sums", "domain", g.Domain, "hosts", len(reporters))
	}
	domain := g.reporters.SumOf(func(host string) bool { return g.isNear(host) }, now)
	outside := g.outside(now)
	var others tally.Counts
	others.Add(domain)
	others.Add(outside)
	isPrimary := g.isPrimary(domain.Hosts+1, others.Hosts+1, now)
	parcels := g.parcels(domain, others, reporters, isPrimary, e, now)
	// Other relays follow the primary's sums, since few hosts may report to them. A new primary may not have heard the other
	// failure domains yet.
	own := source{g.Self, g.incarnation}
	isTaken := isPrimary && (g.followed == own || !g.wouldLose(others.Hosts+1, now))
	var singles []string
	if isTaken {
		g.others, g.summedAt, g.liveHosts, g.hasSum = others, now, others.Hosts+1, true
		g.followed = own
		singles = g.dropSingles()
	}
	g.mu.Unlock()
	if isTaken {
		g.dropLoads(singles)
		g.Pool.SetRemoteLoads(sumName, others.Loads)
	}
	return parcels
}

// outside returns the sum over the other failure domains. The digests of a domain's hosts count before the first sum of its
// relays, since its hosts may have sent them to all a moment ago. The caller holds the lock.
func (g *Gossip) outside(now time.Time) tally.Counts {
	sum := g.domains.Sum(now)
	summed := g.domains.Known(now)
	sum.Add(g.reporters.SumOf(func(host string) bool {
		p := g.peers[host]
		if p == nil || p.domain == g.Domain {
			return false
		}
		_, isSummed := summed[p.domain]
		return !isSummed
	}, now))
	return sum
}

// isNear reports whether a host is known to be in this host's failure domain; the caller holds the lock.
func (g *Gossip) isNear(host string) bool {
	return g.peers[host] != nil && g.peers[host].domain == g.Domain
}

// dropSingles returns the hosts whose loads no longer count, once, because a sum replaces them; the caller holds the lock.
func (g *Gossip) dropSingles() []string {
	if !g.hasSingles {
		return nil
	}
	g.hasSingles = false
	return slices.Collect(maps.Keys(g.peers))
}

func (g *Gossip) dropLoads(hosts []string) {
	for _, name := range hosts {
		g.Pool.SetRemoteLoads(name, nil)
	}
}

// includedHosts returns the hosts that this host's sums include, by name; the caller holds the lock.
func (g *Gossip) includedHosts(now time.Time) []*peer {
	var all []*peer
	for _, p := range g.peers {
		if g.isIncluded(p, now) {
			all = append(all, p)
		}
	}
	slices.SortFunc(all, func(a, b *peer) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return all
}

// parcels builds the summaries that are due; the caller holds the lock.
func (g *Gossip) parcels(inDomain, others tally.Counts, reporters []*peer, isPrimary bool, e evidence, now time.Time) []parcel {
	g.ticks++
	if !isPrimary && g.ticks%secondaryPeriods != 0 {
		return nil
	}
	var domain, total tally.Counts
	domain.Add(g.own)
	domain.Add(inDomain)
	domain.Hosts, domain.Known = inDomain.Hosts+1, inDomain.Known+1
	total.Add(g.own)
	total.Add(others)
	total.Hosts, total.Known = others.Hosts+1, others.Known+1
	inside := Summary{Host: g.Self, Incarnation: g.incarnation, Domain: g.Domain, IsPrimary: isPrimary, DomainHosts: domain.Hosts}
	outside := inside
	inside.IsGlobal = true
	if !isPrimary || g.ticks%memberPeriods == 0 {
		members := g.domainMembers(now)
		inside.Crashes, outside.Crashes = e.crashes, e.crashes
		inside.Notices, outside.Notices = e.notices, e.notices
		inside.Members, outside.Members = append(slices.Clone(members), g.foreignMembers(now)...), members
	}

	first := 0
	for name, c := range g.domains.Recent(now) {
		if name < g.Domain {
			first += c.Hosts
		}
	}
	var toHosts []recipient
	g.position = first
	for _, p := range reporters {
		rank := first + len(toHosts)
		if p.name > g.Self {
			rank++
		} else {
			g.position = rank + 1
		}
		toHosts = append(toHosts, recipient{p.address, p.incarnation, p.sequence, rank})
	}
	for _, p := range g.peers {
		if p.domain == g.Domain && !g.isIncluded(p, now) && now.Sub(p.primaryAt) <= primaryTimeout {
			// Another primary must hear this one, so that one of them gives way.
			toHosts = append(toHosts, recipient{address: p.address})
		}
	}
	var toRelays []recipient
	for _, p := range g.foreignRelays(now) {
		p.asked(now)
		toRelays = append(toRelays, recipient{address: p.address})
	}
	return append(g.split(inside, total, &g.toHosts, toHosts), g.split(outside, domain, &g.toRelays, toRelays)...)
}

// split fills the counts into a summary and into as many further ones as the loads and the evidence of crashes need; the caller
// holds the lock.
func (g *Gossip) split(s Summary, c tally.Counts, sent *changes, to []recipient) []parcel {
	s.Services, s.Hosts, s.Known, s.HasCounts = servicesOf(c.Services), c.Hosts, c.Known, true
	loads := sent.due(c.Loads, g.ticks, s.IsPrimary)
	var all []parcel
	e := evidence{s.Crashes, s.Notices}
	s.Crashes, s.Notices = nil, nil
	for s.HasCounts || len(loads) > 0 {
		n := min(len(loads), maxSummaryLoads)
		s.Loads, loads = loads[:n], loads[n:]
		g.sequence++
		s.Sequence = g.sequence
		all = append(all, parcel{s, to})
		s.Services, s.Members, s.HasCounts = nil, nil, false
	}
	s.Loads = nil
	if len(e.crashes) > 0 {
		g.sequence++
		s.Sequence, s.Crashes = g.sequence, e.crashes
		all = append(all, parcel{s, to})
	}
	if len(e.notices) > 0 {
		g.sequence++
		s.Sequence, s.Crashes, s.Notices = g.sequence, nil, e.notices
		all = append(all, parcel{s, to})
	}
	return all
}

// domainMembers returns the relays and readers of this failure domain, this host included; the caller holds the lock.
func (g *Gossip) domainMembers(now time.Time) []Introduction {
	own := g.ownIntroduction()
	own.Reading = g.wasReading
	members := []Introduction{own}
	return append(members, g.membersOf(g.Domain, now)...)
}

// membersOf returns the first hosts in rank of a failure domain, and the first of those that read the store; the caller holds
// the lock.
func (g *Gossip) membersOf(domain string, now time.Time) []Introduction {
	var members []Introduction
	readers := 0
	for _, p := range g.ranked(domain, now) {
		isFirst := len(members)-readers < registeredPerDomain
		switch {
		case now.Sub(p.lastSeen) > unresponsiveAfter || domain != g.Domain && !p.isMember:
			continue
		case p.reading && readers < readersPerDomain:
			readers++
		case !isFirst:
			continue
		}
		members = append(members, p.introduction(now))
	}
	return members
}

// foreignMembers returns the relays and readers of other failure domains; the caller holds the lock.
func (g *Gossip) foreignMembers(now time.Time) []Introduction {
	var members []Introduction
	for domain := range g.foreignDomains() {
		members = append(members, g.membersOf(domain, now)...)
	}
	return members
}

// foreignDomains returns the other failure domains with hosts; the caller holds the lock.
func (g *Gossip) foreignDomains() map[string]bool {
	domains := make(map[string]bool)
	for _, p := range g.peers {
		if p.domain != g.Domain && p.domain != "" {
			domains[p.domain] = true
		}
	}
	return domains
}

// foreignRelays returns the relays of other failure domains; the caller holds the lock.
func (g *Gossip) foreignRelays(now time.Time) []*peer {
	var relays []*peer
	for domain := range g.foreignDomains() {
		relays = append(relays, g.relaysOf(domain, now)...)
	}
	return relays
}

// writeSummary sends a summary to its recipients; errors are logged or ignored.
func (g *Gossip) writeSummary(socket socket, p parcel) {
	encoded, err := cbor.Marshal(p.summary)
	if err != nil {
		g.Log.Error("summary not sent", "error", err)
		return
	}
	for _, to := range p.to {
		payload, err := cbor.Marshal(message{Summary: encoded, Incarnation: to.incarnation, Included: to.included, Rank: to.rank})
		if err != nil || len(payload) > maxDatagram {
			g.Log.Error("summary not sent", "bytes", len(payload), "error", err)
			return
		}
		// Datagrams may be lost anyway; the next summary makes up for it.
		_, _ = socket.WriteToUDPAddrPort(payload, to.address)
	}
}

// applySummary applies a relay's summary unless it is older than the last one.
func (g *Gossip) applySummary(m message, s Summary, from netip.AddrPort) {
	now := time.Now()
	g.apply.Lock()
	defer g.apply.Unlock()
	g.mu.Lock()
	p := g.addPeer(s.Host, from)
	if isOutdated(s.Incarnation, p.summaryIncarnation, now.Sub(p.relayedAt)) || s.Incarnation == p.summaryIncarnation && s.Sequence <= p.summarySequence {
		g.mu.Unlock()
		return
	}
	p.summaryIncarnation, p.summarySequence = s.Incarnation, s.Sequence
	p.domain, p.lastSeen, p.unresponsive, p.relayedAt = s.Domain, now, false, now
	p.heard()
	if s.IsPrimary {
		p.primaryAt, p.domainHosts = now, s.DomainHosts
		if s.HasCounts && s.IsGlobal {
			p.sumHosts = s.Hosts
		}
	}
	if len(s.Members) > 0 {
		g.applyMembers(s, now)
	}
	g.discovered = true
	g.useRelays("relay", s.Host)
	c := countsOf(s.Loads, s.Services)
	c.Hosts, c.Known = s.Hosts, s.Known
	isApplied := false
	var singles []string
	switch {
	case !s.IsGlobal && s.Domain != g.Domain:
		g.applyDomain(s, c, p, now)
	case s.IsGlobal && s.Domain == g.Domain:
		isApplied = g.applyGlobal(m, s, c, p, now)
	}
	if isApplied {
		singles = g.dropSingles()
	}
	g.mu.Unlock()
	if isApplied {
		g.dropLoads(singles)
		g.Pool.UpdateRemoteLoads(sumName, c.Loads)
	}
	g.Crashes.Merge(s.Crashes)
	g.mergeNotices(s.Host, s.Notices, now)
}

// applyMembers applies the relays and readers that a summary names; hosts that it covers and does not name are no readers
// that others should ask. The caller holds the lock.
func (g *Gossip) applyMembers(s Summary, now time.Time) {
	for _, p := range g.peers {
		if (s.IsGlobal || p.domain == s.Domain) && !g.isReporting(p, now) {
			p.reading = false
		}
	}
	for _, member := range s.Members {
		g.addMember(member, true, now)
		if known := g.peers[member.Host]; known != nil {
			known.isMember = true
		}
	}
}

// applyDomain keeps the sum over another failure domain; the caller holds the lock.
func (g *Gossip) applyDomain(s Summary, c tally.Counts, from *peer, now time.Time) {
	for _, p := range g.peers {
		if p == from || p.domain != s.Domain || now.Sub(p.primaryAt) > primaryTimeout {
			continue
		}
		if !s.IsPrimary || precedes(p.candidate(p.domainHosts), from.candidate(s.DomainHosts)) {
			return
		}
	}
	g.domains.Update(s.Domain, c, s.HasCounts, now)
}

// applyGlobal keeps the sum over all hosts less this host's own part, which it also subtracts from the loads of c; false if
// the sum is not the one to follow. The caller holds the lock.
func (g *Gossip) applyGlobal(m message, s Summary, c tally.Counts, from *peer, now time.Time) bool {
	followed := source{s.Host, s.Incarnation}
	if m.Incarnation != g.incarnation || !g.follows(from, s.IsPrimary, now) || followed != g.followed && g.wouldLose(s.Hosts, now) {
		return false
	}
	own, found := g.history.At(m.Included)
	if !found {
		return false
	}
	for id, l := range own.Loads {
		if sum, listed := c.Loads[id]; listed {
			c.Loads[id] = pool.Load{
				Runs: sum.Runs - l.Runs, Tokens: sum.Tokens - l.Tokens, PendingPromptTokens: sum.PendingPromptTokens - l.PendingPromptTokens,
			}
		}
	}
	if s.HasCounts {
		others := tally.Counts{Services: c.Services, Hosts: c.Hosts, Known: c.Known}
		others.Subtract(tally.Counts{Services: own.Services, Hosts: 1, Known: 1})
		g.others, g.summedAt, g.position, g.liveHosts = others, now, m.Rank, s.Hosts
	}
	for _, id := range g.listing.Listed(c.Loads, now) {
		c.Loads[id] = pool.Load{}
	}
	g.followed, g.hasSum = followed, true
	return true
}

// dropSum drops the sum of the other hosts' loads.
func (g *Gossip) dropSum() {
	g.mu.Lock()
	g.hasSum = false
	g.mu.Unlock()
	g.Pool.SetRemoteLoads(sumName, nil)
}

// sumName is the name under which the pool keeps the sum of the other hosts' loads; no host has it.
const sumName = "/sum"
