package gossip

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonspur/tarragonspur/internal/tally"
)

const (
	// meshHosts is the default of Gossip.MeshHosts.
	meshHosts = 100
	// relaysPerDomain is the number of relays that every host reports to, so that a second one is ready.
	relaysPerDomain = 2
	// registeredPerDomain is the number of hosts of a failure domain that register in the store; the seeds know the others.
	registeredPerDomain = 3
	// readersPerDomain is the number of hosts reading the store that relays name of a failure domain.
	readersPerDomain = 2
	// relayPeriod is the interval of a primary relay's summaries.
	relayPeriod = 40 * time.Millisecond
	// secondaryPeriods is the number of periods between the summaries of other relays, which only show that they live.
	secondaryPeriods = 25
	// relayDelay is the mean time until a load reaches the other hosts: up to one period at each of two relays.
	relayDelay = 3 * relayPeriod / 2
	// primaryTimeout is the time without a summary after which a primary relay counts as failed.
	primaryTimeout = 400 * time.Millisecond
	// relayTimeout is the time after which a relay that does not answer digests is avoided, for relayAvoidTime.
	relayTimeout   = 2 * time.Second
	relayAvoidTime = 3 * time.Second
	// maxSilences bounds the primaryTimeouts without a sum in which hosts report to further relays.
	maxSilences = 5
	// takeoverShare is the share of its failure domain's hosts that must report to a relay before it replaces a primary.
	takeoverShare = 0.9
	// readerHeartbeat is the interval of digests without changes of hosts that read the store.
	readerHeartbeat = 500 * time.Millisecond
)

// relayState is what a host knows of a peer as a relay.
type relayState struct {
	// waitingSince is when the first digest was sent that the peer has not answered; zero if it answered the last one.
	waitingSince time.Time
	avoidUntil   time.Time
	// relayedAt and primaryAt are when the last summary, and the last one as the primary relay, arrived.
	relayedAt time.Time
	primaryAt time.Time
	// domainHosts is the number of hosts that report to the relay, sumHosts the number that its sum over all covers.
	domainHosts int
	sumHosts    int
	// isMember reports that a relay named the peer as a relay or reader.
	isMember           bool
	summaryIncarnation int64
	summarySequence    uint64
}

// heard records that the peer answered.
func (s *relayState) heard() { s.waitingSince, s.avoidUntil = time.Time{}, time.Time{} }

// isRelayed reports whether hosts report to relays, since some host of the deployment has known more than MeshHosts; the
// caller holds the lock. It stays so: sums serve any number of hosts, and hosts that went back at different times would not
// know the addresses of all others.
func (g *Gossip) isRelayed(now time.Time) bool {
	if known := g.known(now); !g.wasRelayed && known > g.MeshHosts {
		g.useRelays("hosts", known)
	}
	return g.wasRelayed
}

// useRelays makes this host report to relays from now on. The loads of single hosts count until the first sum, which relays
// build of the same digests. The caller holds the lock.
func (g *Gossip) useRelays(reason string, value any) {
	if g.wasRelayed {
		return
	}
	g.wasRelayed, g.relayedSince = true, time.Now()
	g.Log.Info("host reports to relays", reason, value)
	// The relays get this host's digest at once.
	g.BroadcastNow()
}

// outranks reports whether host a comes before host b as a relay and as a reader of the store.
func outranks(a string, cores float64, b string, otherCores float64) bool {
	return cmp.Or(cmp.Compare(cores, otherCores), cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b))) > 0
}

// ranked returns the hosts of a failure domain that may be relays, best first; the caller holds the lock.
func (g *Gossip) ranked(domain string, now time.Time) []*peer {
	var all []*peer
	for _, p := range g.peers {
		if p.domain != domain || p.leaving || now.Before(p.avoidUntil) || now.Sub(p.lastSeen) > forgetAfter && now.Sub(p.firstSeen) > forgetAfter {
			continue
		}
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *peer) int {
		if outranks(a.name, a.cores, b.name, b.cores) {
			return -1
		}
		return 1
	})
	return all
}

// relaysOf returns the relays of a failure domain other than this host: the first in rank, of which it may be one, and those
// heard as primary; the caller holds the lock.
func (g *Gossip) relaysOf(domain string, now time.Time) []*peer {
	var relays []*peer
	before := 0
	isCounted := domain != g.Domain || g.leaving
	limit := relaysPerDomain * (1 + g.silences(domain, now))
	for _, p := range g.ranked(domain, now) {
		if !isCounted && outranks(g.Self, g.Cores, p.name, p.cores) {
			isCounted = true
			before++
		}
		if before < limit || now.Sub(p.primaryAt) < time.Second {
			relays = append(relays, p)
		}
		before++
	}
	if last := g.lastPrimary(domain); domain != g.Domain && last != nil && isBetween(now.Sub(last.primaryAt), primaryTimeout, forgetAfter) && !slices.Contains(relays, last) {
		// A failure domain that was cut off has most likely kept its primary, and each side avoids the other's by now.
		relays = append(relays, last)
	}
	return relays
}

func isBetween(d, low, high time.Duration) bool { return low < d && d < high }

// lastPrimary returns the relay of a failure domain that was heard last as its primary, or nil; the caller holds the lock.
func (g *Gossip) lastPrimary(domain string) *peer {
	var last *peer
	for _, p := range g.peers {
		if p.domain == domain && !p.primaryAt.IsZero() && (last == nil || p.primaryAt.After(last.primaryAt)) {
			last = p
		}
	}
	return last
}

// silences returns how many times primaryTimeout has passed without news of the relays of a failure domain: relays that end
// together are replaced without waiting until each counts as failed. The caller holds the lock.
func (g *Gossip) silences(domain string, now time.Time) int {
	if domain == g.Domain {
		return min(maxSilences, int(g.unsummedFor(now)/primaryTimeout))
	}
	heardAt := g.relaySince
	if last := g.lastPrimary(domain); last != nil && last.primaryAt.After(heardAt) {
		heardAt = last.primaryAt
	}
	if silent := now.Sub(heardAt); silent < relayTimeout {
		return int(silent / primaryTimeout)
	}
	// The failure domain is cut off or has ended.
	return 0
}

// unsummedFor returns the time since the last sum, or since this host reports to relays; the caller holds the lock.
func (g *Gossip) unsummedFor(now time.Time) time.Duration {
	if !g.wasRelayed {
		return 0
	}
	if g.relayedSince.After(g.summedAt) {
		return now.Sub(g.relayedSince)
	}
	return now.Sub(g.summedAt)
}

// wouldLose reports whether a sum over a number of hosts, by another relay than before, lacks hosts that the current one has.
// The caller holds the lock.
func (g *Gossip) wouldLose(hosts int, now time.Time) bool {
	return float64(hosts) < takeoverShare*float64(g.liveHosts) && now.Sub(g.summedAt) < relayTimeout/2
}

// dueAtRelays returns the addresses of the relays that a digest is due for; the caller holds the lock.
func (g *Gossip) dueAtRelays(now time.Time, sequence uint64, isUrgent bool) []netip.AddrPort {
	var due []netip.AddrPort
	for _, p := range g.relaysOf(g.Domain, now) {
		minInterval := period
		switch {
		case isUrgent:
			minInterval = urgentInterval
		case p.lastSentSequence == sequence && g.wasReading:
			minInterval = readerHeartbeat
		case p.lastSentSequence == sequence:
			minInterval = heartbeat
		}
		if now.Sub(p.lastSent) < minInterval-minInterval/4 {
			continue
		}
		p.lastSent, p.lastSentSequence = now, sequence
		p.asked(now)
		due = append(due, p.address)
	}
	return due
}

// asked records that a message was sent that the peer has to answer within relayTimeout.
func (p *peer) asked(now time.Time) {
	switch {
	case p.waitingSince.IsZero():
		p.waitingSince = now
	case now.Sub(p.waitingSince) > relayTimeout:
		p.waitingSince, p.avoidUntil = time.Time{}, now.Add(relayAvoidTime)
	}
}

// isIncluded reports whether this host's sums as a relay include the peer, which sends it its digests; the caller holds the lock.
func (g *Gossip) isIncluded(p *peer, now time.Time) bool {
	return p.domain == g.Domain && now.Sub(p.reportedAt) < unresponsiveAfter
}

// isReporting reports whether the peer takes this host for a relay. Digests that go to all hosts are no reports: this host must
// not take itself for a relay because of them, nor wait for the next one. The caller holds the lock.
func (g *Gossip) isReporting(p *peer, now time.Time) bool {
	return g.isIncluded(p, now) && p.isReporting
}

// candidate is a relay that a failure domain may follow.
type candidate struct {
	name  string
	cores float64
	// hosts is the number of hosts that its sum covers.
	hosts int
}

// candidate returns the peer as a relay whose sum covers a number of hosts.
func (p *peer) candidate(hosts int) candidate { return candidate{p.name, p.cores, hosts} }

// precedes reports whether relay a is to be followed rather than b: the one of higher rank, unless its sum lacks hosts. A
// relay that has just started, or to which only hosts report that know few others, must not replace a complete sum.
func precedes(a, b candidate) bool {
	switch {
	case float64(a.hosts) < takeoverShare*float64(b.hosts):
		return false
	case float64(b.hosts) < takeoverShare*float64(a.hosts):
		return true
	default:
		return outranks(a.name, a.cores, b.name, b.cores)
	}
}

// isPrimary reports whether this host, to which others report, is the relay that its failure domain follows; the caller
// holds the lock. covered is the number of hosts that report to it, and sum the number that its sum over all covers.
func (g *Gossip) isPrimary(covered, sum int, now time.Time) bool {
	for _, p := range g.peers {
		if p.domain != g.Domain || now.Sub(p.primaryAt) > primaryTimeout {
			continue
		}
		if precedes(p.candidate(p.domainHosts), candidate{g.Self, g.Cores, covered}) || precedes(p.candidate(p.sumHosts), candidate{g.Self, g.Cores, sum}) {
			return false
		}
	}
	return true
}

// follows reports whether the peer is the relay whose sums this host takes; the caller holds the lock.
func (g *Gossip) follows(relay *peer, isPrimary bool, now time.Time) bool {
	if g.isRelay && g.followed == (source{g.Self, g.incarnation}) {
		if !isPrimary || precedes(candidate{g.Self, g.Cores, g.liveHosts}, relay.candidate(relay.sumHosts)) {
			return false
		}
	}
	for _, p := range g.peers {
		if p == relay || p.domain != g.Domain || now.Sub(p.primaryAt) > primaryTimeout {
			continue
		}
		if !isPrimary || precedes(p.candidate(p.sumHosts), relay.candidate(relay.sumHosts)) {
			return false
		}
	}
	return true
}

// lacksRelay reports whether this host reports to relays and has received no recent sum.
func (g *Gossip) lacksRelay() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	return g.isRelayed(now) && g.unsummedFor(now) > relayTimeout/2
}

// mustRegister reports whether this host registers in the store: in large deployments the first of each failure domain do,
// and those that know no other host.
func (g *Gossip) mustRegister() bool {
	hasPeers := !g.hasNoRecentPeer()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if !hasPeers || !g.isRelayed(now) {
		return true
	}
	before := 0
	for _, p := range g.ranked(g.Domain, now) {
		if outranks(p.name, p.cores, g.Self, g.Cores) {
			before++
		}
	}
	return before < registeredPerDomain
}

// record keeps a digest's counts, which a relay's sums include later.
func (g *Gossip) record(sequence uint64, d Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.own, g.wasReading = countsOf(d.Loads, d.Services), d.Reading
	g.history.Add(sequence, g.own)
}

// rank returns this host's position among the live hosts and their number; false unless a recent sum states it.
func (g *Gossip) rank() (position, hosts int, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if !g.isRelayed(now) || now.Sub(g.summedAt) > unresponsiveAfter || g.liveHosts < 1 {
		return 0, 0, false
	}
	return g.position, g.liveHosts, true
}

// source is a relay since its last start.
type source struct {
	name        string
	incarnation int64
}

// fleet is what this host knows of all others in a large deployment.
type fleet struct {
	incarnation int64
	// wasRelayed reports whether this host reports to relays, since relayedSince.
	wasRelayed   bool
	relayedSince time.Time
	wasReading   bool
	// hasSingles reports whether the loads of single hosts count, until the first sum of a relay.
	hasSingles bool
	// own are the counts of this host's last digest, history those of earlier ones.
	own     tally.Counts
	history tally.History
	// domains are the sums over other failure domains, while this host is a relay.
	domains tally.Sources
	// others are the counts of all other hosts, as of summedAt.
	others   tally.Counts
	summedAt time.Time
	// followed is the relay whose sum others is, listing when its sums have listed which loads.
	followed source
	listing  tally.Listing
	// position is this host's rank among liveHosts.
	position  int
	liveHosts int
	// hasSum reports whether the pool has the sum of the other hosts' loads.
	hasSum bool
	// toHosts and toRelays remember which loads this relay has sent when.
	toHosts  changes
	toRelays changes
	// isRelay reports whether others report to this host; sequence numbers its summaries, ticks counts its periods.
	isRelay bool
	// relaySince is when they began to.
	relaySince time.Time
	sequence   uint64
	ticks      int
}
