package gossip

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// ColdShare returns this host's share of a limit of sends per second to a cold backend server. If the limit is smaller
// than the number of hosts, the hosts with the highest hash for the backend server get one send per second each.
func (g *Gossip) ColdShare(server string, perSecond float64) float64 {
	n := g.Hosts()
	if part := math.Floor(perSecond / float64(n)); part >= 1 {
		return part
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
