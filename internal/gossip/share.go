package gossip

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

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
