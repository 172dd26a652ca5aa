package order

import (
	"math"
	"sync"
	"time"
)

// demandDecay is the time in which the weight of a request falls to 1/e.
const demandDecay = 2 * time.Minute

// Demand counts the recent requests for each adapter on one host. The balancer spreads callers evenly over the
// hosts of a failure domain, so the requests of one host are a fair sample. The zero value is ready to use.
type Demand struct {
	mu     sync.Mutex
	counts map[adapterKey]decayingCount
}

type adapterKey struct{ service, adapter string }

type decayingCount struct {
	count     float64
	updatedAt time.Time
}

// decayed returns the exponentially decayed count at a time.
func (l decayingCount) decayed(now time.Time) float64 {
	return l.count * math.Exp(-now.Sub(l.updatedAt).Seconds()/demandDecay.Seconds())
}

// Record counts a request for a declared adapter.
func (d *Demand) Record(service, adapter string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.counts == nil {
		d.counts = make(map[adapterKey]decayingCount)
	}
	now := time.Now()
	v := adapterKey{service, adapter}
	d.counts[v] = decayingCount{d.counts[v].decayed(now) + 1, now}
}

// Estimate returns the decayed number of requests, at least minEstimate, so that idle adapters rank equally.
func (d *Demand) Estimate(service, adapter string) float64 {
	const minEstimate = 0.01
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(minEstimate, d.counts[adapterKey{service, adapter}].decayed(time.Now()))
}
