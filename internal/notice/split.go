package notice

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// demandFactor is the demand of the hosts that share a limit, as a multiple of it: each then has a request whenever it may
	// send one.
	demandFactor = 4
	// Where all hosts have less demand, a limit L is shared by at most hostsPerLimit x L + moreHosts of them: each may have saved
	// one send, and all of these are sent together when a crowd arrives.
	hostsPerLimit = 2
	moreHosts     = 3
	// demandOvercommit and rankOvercommit make up for hosts that have no request at the moment at which they may send one, and for
	// those that share a limit by their rank and have fewer requests than the mean.
	demandOvercommit = 1.1
	rankOvercommit   = 1.3
	// idleShare is what hosts without requests share beyond the others' parts.
	idleShare = 1.0
)

// maxHosts returns the number of hosts that may share a limit where there is little demand.
func maxHosts(limit float64) int { return int(hostsPerLimit*min(limit, maxLimit)) + moreHosts }

// ShareByDemand returns the part of a limit, from 0 to 1, that a host may use, where each host knows the requests a second to the
// service at all live ones, which may be 0. Many hosts would each have less than one send in seconds, and their sum would be left to
// chance: in an order that depends on the server, as many hosts share the limit as have enough requests for it. Where there is little
// demand, hosts without requests share it too, so that their first ones are served.
func ShareByDemand(server string, limit float64, self string, demand map[string]float64) float64 {
	type host struct {
		name   string
		demand float64
		isIdle int
		hash   uint64
	}
	hosts := make([]host, 0, len(demand))
	total := 0.0
	for name, d := range demand {
		h := host{name: name, demand: d, hash: xxhash.Sum64String(server + "/" + name)}
		if d <= 0 {
			h.isIdle = 1
		}
		hosts = append(hosts, h)
		total += d
	}
	slices.SortFunc(hosts, func(a, b host) int {
		return cmp.Or(cmp.Compare(a.isIdle, b.isIdle), cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
	})
	isLow := total < demandFactor*limit
	if isLow {
		hosts = hosts[:min(len(hosts), maxHosts(limit))]
	}
	sum, isSharing := 0.0, false
	for _, h := range hosts {
		if sum >= demandFactor*limit {
			break
		}
		sum += h.demand
		isSharing = isSharing || h.name == self
	}
	switch {
	case !isSharing:
		return 0
	case isLow:
		return min(1, max(demandOvercommit*demand[self]/max(sum, math.SmallestNonzeroFloat64), idleShare/float64(len(hosts))))
	default:
		return min(1, demandOvercommit*demand[self]/sum)
	}
}

// ShareByRank returns the part of a limit that a host may use, where each host knows only its rank among all hosts and the mean of
// their requests a second to the service.
func ShareByRank(server string, limit, meanDemand float64, rank, hosts int) float64 {
	sharing := min(hosts, maxHosts(limit))
	if needed := demandFactor * limit / meanDemand; needed <= float64(hosts) {
		sharing = max(1, int(math.Ceil(needed)))
	}
	offset := int(float64(hosts) * (float64(xxhash.Sum64String(server)>>11) / (1 << 53)))
	if (rank+offset)%hosts >= sharing {
		return 0
	}
	return min(1, rankOvercommit/float64(sharing))
}
