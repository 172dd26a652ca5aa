package canary

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// trialPart is the part of the allowed share that a trial aims at, and capPart the part that it never exceeds by what the host knows.
	// The rest is the reserve for sends at other hosts that their reports don't include yet, and for repeated sends.
	trialPart = 0.65
	capPart   = 0.8
	// capTolerancePart is the part of the tolerance that a trial uses by what the host knows.
	capTolerancePart = 0.2
	// maxRouteShare bounds the target's part of the requests of a rare route.
	maxRouteShare = 0.25
	// minArrivals is the number of requests from which the routes' parts are known well enough to give rare ones a larger share.
	minArrivals = 300
	// shareSteps is the number of different shares, so that hosts with slightly different counts split the requests alike.
	shareSteps = 256
)

const (
	// minPacked is the number of servers of a region that share a trial's requests at least, so that one with a fault is not taken for a
	// bad version.
	minPacked = 2
	// packedUse is the part of their slots up to which these servers are filled during the load test: above the half from which a server
	// counts as loaded.
	packedUse = 0.75
	// loadTestBegin and loadTestEnd are the parts of the duration between which a trial's requests go to as few servers as bear them, in case
	// the version is bad under load that the old version's servers do not have now. It is short, since answers are late there.
	loadTestBegin = 0.2
	loadTestEnd   = 0.3
)

// openServers returns the number of the target's servers that get as many requests each as those of the old version, by the ratio of the
// requests sent to both.
func openServers(old int, ratio float64) int {
	return max(minPacked, int(math.Round(ratio*float64(old))))
}

// loadedServers returns the number of servers that bear a number of requests under load.
func loadedServers(runs, slots int) int {
	return max(minPacked, 1+int(float64(runs)/(packedUse*float64(max(1, slots)))))
}

// isLoadTest reports whether the trial's requests go to as few servers as bear them.
func (r *Rollout) isLoadTest(now time.Time) bool {
	age := float64(now.Sub(r.began)) / float64(r.order.Duration)
	return r.step == stepTrial && age >= loadTestBegin && age < loadTestEnd
}

// ratio returns the ratio of the requests that are sent to the target and to the old version.
func (r *Rollout) ratio() float64 {
	share := stepShare(r.step)
	if r.step == stepTrial {
		share = trialPart * r.Config.Share
	}
	return share / max(1-share, 0.01)
}

// position returns where a request lies in the split between the versions, from 0 to 1; it is the same at all hosts.
func position(order, request string) float64 {
	return float64(xxhash.Sum64String(order+"\n"+request)>>11) / (1 << 53)
}

// trialShares returns the target's part of each route's requests during the trial. Rare routes get a larger part, so that a version
// that is bad on one of them shows it as soon as on others; the parts add up to the share over all routes.
func trialShares(share float64, total Evidence) (byRoute map[uint32]float64, other float64) {
	aim := trialPart * share
	sent, roots := 0.0, 0.0
	routes := total.routes()
	for _, c := range routes {
		n := float64(c[0].Sent + c[1].Sent)
		sent += n
		roots += math.Sqrt(n)
	}
	if sent < minArrivals {
		return nil, aim
	}
	byRoute = make(map[uint32]float64, len(routes))
	for route, c := range routes {
		if n := float64(c[0].Sent + c[1].Sent); n > 0 {
			part := aim * sent / (math.Sqrt(n) * roots)
			byRoute[route] = max(1, math.Round(min(part, maxRouteShare)*shareSteps)) / shareSteps
		}
	}
	return byRoute, aim
}

// mayTry reports whether the trial may take one more request beside those sent, by the requests that reached the service.
func mayTry(c Config, arrivals, sent int) bool {
	return float64(sent+1) <= capPart*c.Share*float64(arrivals)+capTolerancePart*float64(c.Tolerance)
}
