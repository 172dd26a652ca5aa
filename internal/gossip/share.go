package gossip

import (
	"maps"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonspur/tarragonspur/internal/notice"
	"github.com/tarragonspur/tarragonspur/internal/tally"
)

// cutOffHosts is the number of other hosts from which on their silence means that this host is cut off: they don't all end together.
const cutOffHosts = 3

// cutOffSpread bounds the time between the last digests of hosts that fall silent together: each sends one a heartbeat at least.
const cutOffSpread = 2 * heartbeat

// LimitShare returns the part of a backend server's limit that this host may use, by the requests to the service at all live
// hosts. Its own are those of its last digest, as others know them. A host that has lost all others, or its relays, keeps the part
// that it had, since the others use theirs.
func (g *Gossip) LimitShare(server, service string, limit float64) float64 {
	seconds := g.Budget.Window.Seconds()
	g.mu.Lock()
	defer g.mu.Unlock()
	own := float64(g.own.Services[service].SendCounts.Arrivals) / seconds
	now := time.Now()
	if !g.hasSingles {
		if g.liveHosts < 1 {
			return 1 / float64(g.known(now))
		}
		others := g.others.Services[service].SendCounts.Arrivals
		return notice.ShareByRank(server, limit, (own+float64(others)/seconds)/float64(g.liveHosts), g.position, g.liveHosts)
	}
	others := g.reporters.Recent(now)
	if lost := g.reporters.RecentlyLost(cutOffSpread, now); len(others) == 0 || lost >= cutOffHosts && lost > len(others) {
		known := g.reporters.Known(now)
		maps.DeleteFunc(known, func(name string, _ tally.Counts) bool { return g.peers[name] != nil && g.peers[name].leaving })
		if len(known) >= cutOffHosts {
			others = known
		}
	}
	demand := map[string]float64{g.Self: own}
	for name, c := range others {
		demand[name] = float64(c.Services[service].SendCounts.Arrivals) / seconds
	}
	return notice.ShareByDemand(server, limit, g.Self, demand)
}

// ColdShare returns this host's share of a limit of sends per second to a cold backend server. If the limit is smaller
// than the number of hosts, some of them get one send per second each: those whose rank follows a position that depends on
// the backend server, or, where every host knows all others, those with the highest hash for it.
func (g *Gossip) ColdShare(server string, perSecond float64) float64 {
	n := g.Hosts()
	if part := math.Floor(perSecond / float64(n)); part >= 1 {
		return part
	}
	if rank, hosts, ok := g.rank(); ok {
		offset := int(xxhash.Sum64String(server) % uint64(hosts))
		if (rank+offset)%hosts < int(perSecond) {
			return 1
		}
		return 0
	}
	own := xxhash.Sum64String(server + "/" + g.Self)
	rank := 0
	for _, name := range g.LiveHosts() {
		if xxhash.Sum64String(server+"/"+name) > own {
			rank++
		}
	}
	if rank < int(perSecond) {
		return 1
	}
	return 0
}
