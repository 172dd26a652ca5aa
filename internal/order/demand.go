package order

import (
	"math"
	"sync"
	"time"
)

// demandDecay is the time in which an arrival's weight falls to 1/e.
const demandDecay = 2 * time.Minute

// Demand is how much each adapter was asked for lately on one host. The balancer spreads callers evenly over the
// hosts of a failure domain, so that one host's arrivals are a fair sample. Its zero value is ready.
type Demand struct {
	mu   sync.Mutex
	seen map[variant]level
}

type variant struct{ service, adapter string }

type level struct {
	weight float64
	at     time.Time
}

// decayed returns the weight that is left of past arrivals.
func (l level) decayed(now time.Time) float64 {
	return l.weight * math.Exp(-now.Sub(l.at).Seconds()/demandDecay.Seconds())
}

// Arrived notes a request for a declared adapter.
func (d *Demand) Arrived(service, adapter string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.seen == nil {
		d.seen = make(map[variant]level)
	}
	now := time.Now()
	v := variant{service, adapter}
	d.seen[v] = level{d.seen[v].decayed(now) + 1, now}
}

// Estimate returns the decayed number of arrivals, at least a small one, so that idle adapters are equal.
func (d *Demand) Estimate(service, adapter string) float64 {
	const least = 0.01
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(least, d.seen[variant{service, adapter}].decayed(time.Now()))
}
