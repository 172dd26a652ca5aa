package order

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// rebalanceDelay is the time for which the replica counts must be off target before adapters are placed anew.
const rebalanceDelay = time.Minute

// Placement assigns the adapters of one service to its engines. Hysteresis keeps it from following every small
// change of demand: some adapter's target must differ by a whole replica, and stay so for rebalanceDelay.
// The zero value is ready to use; it is not safe for concurrent use.
type Placement struct {
	assigned       map[string][]string
	adapters       []string
	slots          int
	offTargetSince time.Time
}

// AdapterDemand is the demand for an adapter, in any unit that is the same for all adapters.
type AdapterDemand struct {
	Adapter string
	Demand  float64
}

// Assign returns the sorted adapters for each engine. The engines map holds the loaded adapters of each engine;
// slots limits the adapters of one engine, zero means no limit.
func (p *Placement) Assign(now time.Time, engines map[string][]string, slots int, demands []AdapterDemand) map[string][]string {
	demands = slices.SortedFunc(slices.Values(demands), func(a, b AdapterDemand) int { return cmp.Compare(a.Adapter, b.Adapter) })
	names := make([]string, len(demands))
	for i, n := range demands {
		names[i] = n.Adapter
	}
	if slots == 0 || slots > len(names) {
		slots = len(names)
	}
	target := replicas(len(engines), slots, demands)
	switch {
	case p.assigned == nil:
		p.assigned = engines
		p.assigned = p.assign(engines, slots, names, target)
	case !p.hasSameInputs(engines, slots, names):
		p.assigned = p.assign(engines, slots, names, target)
	case !p.isOffTarget(names, target):
		p.offTargetSince = time.Time{}
	case p.offTargetSince.IsZero():
		p.offTargetSince = now
	case now.Sub(p.offTargetSince) >= rebalanceDelay:
		p.assigned = p.assign(engines, slots, names, target)
		p.offTargetSince = time.Time{}
	}
	p.adapters, p.slots = names, slots
	return p.assigned
}

// hasSameInputs reports whether the engines, slots and adapters are those of the last assignment.
func (p *Placement) hasSameInputs(engines map[string][]string, slots int, names []string) bool {
	if len(engines) != len(p.assigned) || slots != p.slots || !slices.Equal(names, p.adapters) {
		return false
	}
	for name := range engines {
		if _, ok := p.assigned[name]; !ok {
			return false
		}
	}
	return true
}

// isOffTarget reports whether an adapter's number of assigned replicas differs from its target.
func (p *Placement) isOffTarget(names []string, target []int) bool {
	for i, name := range names {
		if target[i] != p.replicasOf(name) {
			return true
		}
	}
	return false
}

// replicasOf returns the number of engines that the adapter is assigned to.
func (p *Placement) replicasOf(adapter string) int {
	n := 0
	for _, list := range p.assigned {
		if slices.Contains(list, adapter) {
			n++
		}
	}
	return n
}

// replicas divides the slots of all engines by demand with the D'Hondt method (highest averages); each adapter gets
// one replica before any gets two, and none gets more than there are engines.
func replicas(engines, slots int, demands []AdapterDemand) []int {
	counts := make([]int, len(demands))
	for range engines * slots {
		best := -1
		for i := range demands {
			if counts[i] < engines && (best < 0 || hasHigherQuotient(demands, counts, i, best)) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		counts[best]++
	}
	return counts
}

// hasHigherQuotient reports whether adapter i takes precedence over best for the next replica.
func hasHigherQuotient(demands []AdapterDemand, counts []int, i, best int) bool {
	return quotient(demands[i], counts[i]) > quotient(demands[best], counts[best])
}

// quotient returns the D'Hondt quotient of an adapter that has count replicas.
func quotient(n AdapterDemand, count int) float64 {
	if count == 0 {
		return math.Inf(1)
	}
	return n.Demand / float64(count+1)
}

// assign keeps replicas on their current engines up to the target and puts the others in free slots.
func (p *Placement) assign(engines map[string][]string, slots int, names []string, target []int) map[string][]string {
	next := make(map[string][]string, len(engines))
	remaining := slices.Clone(target)
	engineNames := make([]string, 0, len(engines))
	for name := range engines {
		engineNames = append(engineNames, name)
	}
	slices.Sort(engineNames)
	for _, engine := range engineNames {
		for i, name := range names {
			if remaining[i] > 0 && len(next[engine]) < slots && slices.Contains(p.assigned[engine], name) {
				next[engine] = append(next[engine], name)
				remaining[i]--
			}
		}
	}
	for _, engine := range engineNames {
		for len(next[engine]) < slots {
			i := mostMissing(remaining, names, next[engine])
			if i < 0 {
				break
			}
			next[engine] = append(next[engine], names[i])
			remaining[i]--
		}
		slices.Sort(next[engine])
		if next[engine] == nil {
			next[engine] = []string{}
		}
	}
	return next
}

// mostMissing returns the index of the adapter with the most remaining replicas that is not among loaded, or -1.
func mostMissing(remaining []int, names, loaded []string) int {
	best := -1
	for i, n := range remaining {
		if n > 0 && !slices.Contains(loaded, names[i]) && (best < 0 || n > remaining[best]) {
			best = i
		}
	}
	return best
}
