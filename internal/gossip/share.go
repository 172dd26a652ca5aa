package gossip

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// ColdShare returns this host's part of a bound of sends a second to a cold backend server. Where the bound is
// smaller than the number of hosts, those with the highest hash for the backend server get one send each.
func (g *Gossip) ColdShare(server string, perSecond float64) float64 {
	n := g.Hosts()
	if part := math.Floor(perSecond / float64(n)); part >= 1 {
		return part
	}
	own := xxhash.Sum64String(server + "/" + g.Self)
	rank := 0
	for _, name := range g.Names() {
		if xxhash.Sum64String(server+"/"+name) > own {
			rank++
		}
	}
	if rank < int(perSecond) {
		return 1
	}
	return 0
}
