package gossip

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/budget"
	"github.com/tarragonspur/tarragonspur/internal/fair"
	"github.com/tarragonspur/tarragonspur/internal/pool"
	"github.com/tarragonspur/tarragonspur/internal/queue"
	"github.com/tarragonspur/tarragonspur/internal/tally"
)

// startRatesPeriod is how long rates of starts are kept: adding them up over all hosts costs more than a placement.
const startRatesPeriod = 100 * time.Millisecond

// maxUses bounds the workspaces of a service in one digest or summary, at 10 to 14 bytes each.
const maxUses = 16

// loadsOf returns loads in a stable order, so that equal states give equal digests.
func loadsOf(own map[string]pool.Load) []ServerLoad {
	loads := make([]ServerLoad, 0, len(own))
	for id, l := range own {
		loads = append(loads, ServerLoad{Server: id, Runs: l.Runs, Tokens: l.Tokens, Pending: l.PendingPromptTokens})
	}
	slices.SortFunc(loads, func(a, b ServerLoad) int { return cmp.Compare(a.Server, b.Server) })
	return loads
}

// servicesOf returns counts in a stable order.
func servicesOf(all map[string]tally.Service) []ServiceCounts {
	counts := make([]ServiceCounts, 0, len(all))
	for name, s := range all {
		counts = append(counts, ServiceCounts{
			Service: name, Arrivals: s.SendCounts.Arrivals, Repeats: s.Retries, Waiting: s.Waiting,
			ArrivalRate: s.Backlog.Arrivals, StartRate: s.Starts, Classes: classesOf(s.Classes), Uses: usesOf(s.Uses),
		})
	}
	slices.SortFunc(counts, func(a, b ServiceCounts) int { return cmp.Compare(a.Service, b.Service) })
	return counts
}

// classesOf returns the numbers by class without zeros at the end.
func classesOf(all queue.Classes) []int {
	n := len(all)
	for n > 0 && all[n-1] == 0 {
		n--
	}
	return append([]int(nil), all[:n]...)
}

// usesOf returns the highest uses in a stable order.
func usesOf(all fair.Uses) []WorkspaceUse {
	var uses []WorkspaceUse
	for key, use := range all.Busiest(maxUses) {
		if u := (WorkspaceUse{Workspace: uint32(key), Rate: int(math.Round(use.Rate)), Waiting: use.Waiting}); u.Rate > 0 || u.Waiting > 0 {
			uses = append(uses, u)
		}
	}
	slices.SortFunc(uses, func(a, b WorkspaceUse) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return uses
}

// backlogOf returns the requests that wait for a service.
func backlogOf(s ServiceCounts) queue.Backlog {
	b := queue.Backlog{Waiting: s.Waiting, Arrivals: s.ArrivalRate, Starts: s.StartRate}
	copy(b.Classes[:], s.Classes)
	if len(s.Uses) > 0 {
		b.Uses = make(fair.Uses, len(s.Uses))
		for _, u := range s.Uses {
			b.Uses[fair.Key(u.Workspace)] = fair.Use{Rate: float64(u.Rate), Waiting: u.Waiting}
		}
	}
	return b
}

// countsOf returns the counts of one host.
func countsOf(loads []ServerLoad, services []ServiceCounts) tally.Counts {
	c := tally.Counts{
		Loads: make(map[string]pool.Load, len(loads)), Services: make(map[string]tally.Service, len(services)), Hosts: 1, Known: 1,
	}
	for _, l := range loads {
		c.Loads[l.Server] = pool.Load{Runs: l.Runs, Tokens: l.Tokens, PendingPromptTokens: l.Pending}
	}
	for _, s := range services {
		c.Services[s.Service] = tally.Service{
			SendCounts: budget.SendCounts{Arrivals: s.Arrivals, Retries: s.Repeats},
			Backlog:    backlogOf(s),
		}
	}
	return c
}

// Sends returns the sum of what the other live hosts have sent to a service, and the number of these hosts.
func (g *Gossip) Sends(service string) (budget.SendCounts, int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	others := g.otherHosts(time.Now())
	return others.Services[service].SendCounts, others.Hosts
}

// Backlog returns the sum of the requests that wait at the other live hosts.
func (g *Gossip) Backlog(service string) queue.Backlog {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.hasSingles {
		return g.reporters.Backlog(service, now)
	}
	return g.otherHosts(now).Services[service].Backlog
}

// Unseen returns the expected number of starts at other hosts that the sums of relays don't include yet.
func (g *Gossip) Unseen(service string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.hasSingles {
		return 0
	}
	return g.otherHosts(now).Services[service].Starts * relayDelay.Seconds()
}

// startRates are the rates at which other hosts start requests, by service, as of a time.
type startRates struct {
	byService map[string]float64
	at        time.Time
}

// OtherStarts returns the rate at which the other live hosts start requests of a service, in requests a second. Where no starts are
// counted, as for plain requests, which are sent on arrival, it is the rate of arrivals.
func (g *Gossip) OtherStarts(service string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.startRates.byService == nil || now.Sub(g.startRates.at) >= startRatesPeriod {
		g.startRates = startRates{byService: g.countStarts(now), at: now}
	}
	return g.startRates.byService[service]
}

// countStarts returns the rates of starts at the other hosts; the caller holds the lock.
func (g *Gossip) countStarts(now time.Time) map[string]float64 {
	rates := make(map[string]float64)
	for name, s := range g.otherHosts(now).Services {
		rates[name] = s.Starts
		if s.Starts <= 0 && g.Budget != nil && g.Budget.Window > 0 {
			rates[name] = float64(s.SendCounts.Arrivals) / g.Budget.Window.Seconds()
		}
	}
	return rates
}

// otherHosts returns the counts of the other live hosts; the caller holds the lock.
func (g *Gossip) otherHosts(now time.Time) tally.Counts {
	if g.hasSingles {
		return g.reporters.Sum(now)
	}
	if now.Sub(g.summedAt) > unresponsiveAfter {
		return tally.Counts{}
	}
	return g.others
}
