package bench

import (
	"context"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/fakes/model"
)

const (
	sharesWindow = 90 * time.Second
	// sharesRate is the tokens a second, prompts included, that the arrivals are sized by; each workspace asks
	// for sharesExcess times its share of it, and sharesAhead of that arrives at once at the start.
	sharesRate   = 40_000
	sharesExcess = 1.8
	sharesUneven = 0.3
	sharesAhead  = 4 * time.Second

	errorWindow = 10
	errorSettle = 5
	// idleFrom and idleTo bound the time, in seconds, in which the visiting workspace has no work.
	idleFrom = 30
	idleTo   = 55
	// usedPart is the part of the earlier token rate at which an idle share counts as used.
	usedPart = 0.95
)

// shares is ten workspaces of unequal weight and traffic, all with more work than their share; one of the
// largest idles for a while.
type shares struct{}

// Name returns "shares".
func (shares) Name() string { return "shares" }

// Policies lists the product's policy and two baselines: one queue in order of arrival for all, and fair
// sharing on each host alone with an equal part of each engine.
func (shares) Policies() []string { return []string{PolicyOwn, "local_only", "fifo"} }

func sharesTenants() []tenant {
	weights := []float64{16, 16, 8, 8, 4, 4, 2, 2, 1, 1}
	medians := []float64{200, 320, 120, 400, 200, 320, 120, 400, 200, 320}
	list := make([]tenant, len(weights))
	for i := range list {
		list[i] = tenant{
			name: "workspace-" + strconv.Itoa(i), weight: weights[i], rate: weights[i],
			median: medians[i], sigma: 1, prompt: 250,
		}
	}
	return list
}

// visitor is the workspace that idles.
const visitor = "workspace-1"

// sharesArrivals draws each workspace's arrivals on its own; a workspace's traffic over the hosts is skewed ten to
// one, with another host first for each workspace.
func sharesArrivals(tenants []tenant, hosts int, seed uint64) []arrival {
	weights := 0.0
	for _, t := range tenants {
		weights += t.weight
	}
	var list []arrival
	for i, t := range tenants {
		skew := make([]float64, hosts)
		for h := range skew {
			skew[(h+3*i)%hosts] = math.Pow(10, -float64(h)/float64(hosts-1))
		}
		sample := newRandom(seed, uint64(100+i))
		cost := 0.0
		const draws = 4000
		for range draws {
			cost += float64(t.length(sample)+t.promptLength(sample)) / draws
		}
		excess := sharesExcess * (1 + sharesUneven*float64(1-i%4/2*2))
		rate := excess * sharesRate * t.weight / weights / cost
		for _, a := range drawArrivals([]tenant{t}, rate, sharesWindow+sharesAhead, skew, seed*31+uint64(i)) {
			a.at = max(0, a.at-sharesAhead)
			second := a.at.Seconds()
			if t.name == visitor && second >= idleFrom && second < idleTo {
				continue
			}
			a.request.ID = t.name + "-" + a.request.ID
			list = append(list, a)
		}
	}
	slices.SortStableFunc(list, func(a, b arrival) int { return int(a.at - b.at) })
	return list
}

// sharesParams is an engine whose slots fill before its memory, so that shares count from the start.
func sharesParams() model.Params {
	p := crowdedParams()
	p.MaxBatch = 48
	p.ColdCapacity = p.MaxBatch
	return p
}

// usageBins counts tokens and waiting requests by workspace and second.
type usageBins struct {
	tokens  map[string][]float64
	waiting map[string][]int
	total   []float64
}

// Run measures one policy.
func (s shares) Run(_ context.Context, policy string, seed uint64) (Result, error) {
	tenants := sharesTenants()
	r := newRig(sharesWindow, spreadPlaces(crowdedEngines), spreadPlaces(crowdedHosts), sharesParams())
	r.configure(rowsOf(tenants))
	switch policy {
	case PolicyOwn:
		r.policy = newFleet(r, seed)
	case "local_only":
		r.policy = newLocalFleet(r, seed)
	case "fifo":
		r.policy = newCentral(r, fixedLimit(sharesParams().MaxBatch))
	}
	bins := r.countUsage(tenants)
	r.loop.After(idleFrom*time.Second, func() { r.leave(visitor) })
	r.run(sharesArrivals(tenants, crowdedHosts, seed), sharesWindow)
	out := r.result(func(*flow) bool { return true })
	out.Scenario, out.Policy, out.Seed = s.Name(), policy, seed
	out.FirstTokenP95MS, out.CompleteMeanS, out.CompleteP95S = nil, nil, nil
	worst, relative := bins.shareError(tenants)
	out.ShareError = Ptr(worst)
	out.Extra = map[string]float64{"idle_share_used_s": bins.idleUsed(), "share_error_relative": relative}
	if f, ok := r.policy.(*fleet); ok {
		out.ControlBytesPerS = Ptr(float64(f.bytes) / sharesWindow.Seconds() / crowdedHosts)
	}
	return out, nil
}

// leave takes the waiting requests of a workspace away, as when its callers give up.
func (r *rig) leave(workspace string) {
	for _, f := range r.list {
		if f.request.Workspace == workspace && f.engine < 0 && !f.refused && r.begin.Add(f.at+delayCaller).Before(r.loop.Now()) {
			f.refused = true
			r.policy.leave(f)
		}
	}
}

func (r *rig) countUsage(tenants []tenant) *usageBins {
	seconds := int(r.window.Seconds()) + 1
	b := &usageBins{tokens: make(map[string][]float64), waiting: make(map[string][]int), total: make([]float64, seconds)}
	for _, t := range tenants {
		b.tokens[t.name] = make([]float64, seconds)
		b.waiting[t.name] = make([]int, seconds)
	}
	r.onToken = func(f *flow, now time.Time) {
		second := int(now.Sub(r.begin).Seconds())
		if second >= seconds {
			return
		}
		n := 1.0
		if f.tokens == 1 {
			n += float64(f.request.PromptTokens)
		}
		b.tokens[f.request.Workspace][second] += n
		b.total[second] += n
	}
	second := 0
	r.loop.Every(time.Second, func() bool {
		for _, f := range r.list {
			if f.engine < 0 && !f.refused && r.begin.Add(f.at+delayCaller).Before(r.loop.Now()) {
				b.waiting[f.request.Workspace][second]++
			}
		}
		second++
		return second < seconds
	})
	return b
}

// shareError returns the greatest distance between a backlogged workspace's part of all tokens and its entitled
// part, and the greatest one as a fraction of the entitled part. What workspaces without backlog use is theirs;
// the rest is due to the others by weight.
func (b *usageBins) shareError(tenants []tenant) (worst, relative float64) {
	for from := errorSettle; from+errorWindow < len(b.total); from++ {
		to := from + errorWindow
		if from < idleTo+errorSettle && to > idleTo || from < idleFrom && to > idleFrom {
			continue
		}
		total, weights, free := sum(b.total[from:to]), 0.0, 1.0
		for _, t := range tenants {
			if b.isBacklogged(t.name, from, to) {
				weights += t.weight
			} else {
				free -= sum(b.tokens[t.name][from:to]) / total
			}
		}
		for _, t := range tenants {
			if !b.isBacklogged(t.name, from, to) {
				continue
			}
			entitled := free * t.weight / weights
			distance := math.Abs(sum(b.tokens[t.name][from:to])/total - entitled)
			worst = max(worst, distance)
			relative = max(relative, distance/entitled)
		}
	}
	return worst, relative
}

func (b *usageBins) isBacklogged(name string, from, to int) bool {
	return !slices.Contains(b.waiting[name][from:to+1], 0)
}

// idleUsed returns the seconds from the moment at which the visitor leaves until the engines give out as many
// tokens as before.
func (b *usageBins) idleUsed() float64 {
	const before = 10
	usual := sum(b.total[idleFrom-before:idleFrom]) / before
	for second := idleFrom; second < idleTo; second++ {
		if b.total[second] >= usedPart*usual {
			return float64(second - idleFrom)
		}
	}
	return idleTo - idleFrom
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
