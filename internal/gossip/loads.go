package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/budget"
	"github.com/tarragonspur/tarragonspur/internal/pool"
)

// loadsOf returns loads in a stable order, so that equal states give equal digests.
func loadsOf(own map[string]pool.Load) []ServerLoad {
	loads := make([]ServerLoad, 0, len(own))
	for id, l := range own {
		loads = append(loads, ServerLoad{Server: id, Runs: l.Runs, Tokens: l.Tokens, Pending: l.PendingPromptTokens})
	}
	slices.SortFunc(loads, func(a, b ServerLoad) int { return cmp.Compare(a.Server, b.Server) })
	return loads
}

// sendsOf returns counts in a stable order.
func sendsOf(own map[string]budget.SendCounts) []ServiceSends {
	sends := make([]ServiceSends, 0, len(own))
	for service, c := range own {
		sends = append(sends, ServiceSends{Service: service, Arrivals: c.Arrivals, Repeats: c.Retries})
	}
	slices.SortFunc(sends, func(a, b ServiceSends) int { return cmp.Compare(a.Service, b.Service) })
	return sends
}

// Sends returns the sum of what the other live hosts have sent to a service, and the number of these hosts.
func (g *Gossip) Sends(service string) (budget.SendCounts, int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var sum budget.SendCounts
	live := 0
	for _, p := range g.peers {
		if time.Since(p.lastSeen) > unresponsiveAfter {
			continue
		}
		live++
		for _, s := range p.sends {
			if s.Service == service {
				sum.Arrivals += s.Arrivals
				sum.Retries += s.Repeats
			}
		}
	}
	return sum, live
}
