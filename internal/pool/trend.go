package pool

import (
	"math"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/policy"
)

const (
	// The trend of a failure domain's load is the difference of two moving averages with these time constants: short beside the
	// seconds in which demand moves from one failure domain to the next, long beside the age of views.
	trendFast = 500 * time.Millisecond
	trendSlow = 2 * time.Second
	// trendHorizon is how far ahead the load is expected: about the time for which runs that start now hold memory.
	trendHorizon = 3 * time.Second
	// trendPeriod is how often the averages are updated.
	trendPeriod = 50 * time.Millisecond
)

// trend is the load of a failure domain's model engines, as the cost of an average one, in two moving averages.
type trend struct {
	fast, slow float64
	at         time.Time
}

// update adds an observation.
func (t *trend) update(cost float64, now time.Time) {
	if t.at.IsZero() {
		t.fast, t.slow, t.at = cost, cost, now
		return
	}
	since := max(0, now.Sub(t.at).Seconds())
	t.fast += (1 - math.Exp(-since/trendFast.Seconds())) * (cost - t.fast)
	t.slow += (1 - math.Exp(-since/trendSlow.Seconds())) * (cost - t.slow)
	t.at = now
}

// change returns the expected change of the cost within the horizon.
func (t *trend) change() float64 {
	return (t.fast - t.slow) / (trendSlow - trendFast).Seconds() * trendHorizon.Seconds()
}

// serviceTrends are the trends of a service's failure domains.
type serviceTrends struct {
	domains   map[string]*trend
	changes   map[string]float64
	updatedAt time.Time
}

// trends returns the expected change of the cost of a service's servers, by failure domain; nothing for plain services.
//
// It addresses demand that rises in one failure domain and falls in the next: a request goes elsewhere before its own failure domain
// is full, and not to the one that fills next.
func (p *Pool) trends(service *policy.Service, v view, now time.Time) map[string]float64 {
	if service.Engine == nil {
		return nil
	}
	if v.isMissing {
		// The loads of a view that is regained are no rise from those without one.
		delete(p.serviceTrends, service.Name)
		return nil
	}
	if p.serviceTrends == nil {
		p.serviceTrends = make(map[string]*serviceTrends)
	}
	s := p.serviceTrends[service.Name]
	if s == nil {
		s = &serviceTrends{domains: make(map[string]*trend)}
		p.serviceTrends[service.Name] = s
	}
	if !s.updatedAt.IsZero() && now.Sub(s.updatedAt) < trendPeriod {
		return s.changes
	}
	s.updatedAt = now
	type sum struct {
		cost    float64
		servers int
	}
	sums := make(map[string]sum)
	for _, e := range p.order {
		if e.Service != service.Name {
			continue
		}
		l := e.load()
		cost := runCost*float64(l.Runs) + heldCost*float64(l.Tokens)/float64(service.Engine.MemoryTokens)
		sums[e.Domain] = sum{sums[e.Domain].cost + cost, sums[e.Domain].servers + 1}
	}
	s.changes = make(map[string]float64, len(sums))
	for domain, sum := range sums {
		t := s.domains[domain]
		if t == nil {
			t = &trend{}
			s.domains[domain] = t
		}
		t.update(sum.cost/float64(sum.servers), now)
		s.changes[domain] = t.change()
	}
	return s.changes
}
