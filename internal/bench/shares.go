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
	// sharesRate is the tokens per second, prompts included, by which the arrivals are sized; each workspace asks for
	// sharesExcess times its share of it, and the arrivals of the first sharesHeadStart all come at the start.
	sharesRate      = 40_000
	sharesExcess    = 1.8
	sharesVariation = 0.3
	sharesHeadStart = 4 * time.Second

	shareErrorWindow     = 10
	shareErrorSettleTime = 5
	// idleFrom and idleTo bound the time, in seconds, in which idlingWorkspace has no requests.
	idleFrom = 30
	idleTo   = 55
	// usedFraction is the fraction of the earlier token rate at which an idle share counts as used.
	usedFraction = 0.95
)

// shares measures ten workspaces of unequal weight and traffic, all with more work than their share; one of the largest
// idles for a while.
type shares struct{}

// Name returns "shares".
func (shares) Name() string { return "shares" }

// Policies returns the product's policy and two baselines: local_only, fair sharing on each host alone with an equal
// part of each engine, and fifo, one queue in order of arrival for all.
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

// idlingWorkspace is the workspace that idles.
const idlingWorkspace = "workspace-1"

// sharesArrivals draws the arrivals of each workspace separately; a workspace's traffic over the hosts is skewed ten to
// one, with a different busiest host for each workspace.
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
			cost += float64(t.drawOutputTokens(sample)+t.drawPromptTokens(sample)) / draws
		}
		excess := sharesExcess * (1 + sharesVariation*float64(1-i%4/2*2))
		rate := excess * sharesRate * t.weight / weights / cost
		for _, a := range drawArrivals([]tenant{t}, rate, sharesWindow+sharesHeadStart, skew, seed*31+uint64(i)) {
			a.at = max(0, a.at-sharesHeadStart)
			second := a.at.Seconds()
			if t.name == idlingWorkspace && second >= idleFrom && second < idleTo {
				continue
			}
			a.request.ID = t.name + "-" + a.request.ID
			list = append(list, a)
		}
	}
	slices.SortStableFunc(list, func(a, b arrival) int { return int(a.at - b.at) })
	return list
}

// sharesParams returns an engine whose slots fill before its memory, so that shares count from the start.
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
	r := newRig(sharesWindow, spreadLocations(crowdedEngines), spreadLocations(crowdedHosts), sharesParams())
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
	r.loop.After(idleFrom*time.Second, func() { r.cancelWaiting(idlingWorkspace) })
	r.run(sharesArrivals(tenants, crowdedHosts, seed), sharesWindow)
	out := r.result(func(*stream) bool { return true })
	out.Scenario, out.Policy, out.Seed = s.Name(), policy, seed
	out.FirstTokenP95MS, out.CompleteMeanS, out.CompleteP95S = nil, nil, nil
	worst, relative := bins.shareError(tenants)
	out.ShareError = Ptr(worst)
	out.Extra = map[string]float64{"idle_share_used_s": bins.idleShareUsedAfter(), "share_error_relative": relative}
	if f, ok := r.policy.(*fleet); ok {
		out.ControlBytesPerS = Ptr(float64(f.bytes) / sharesWindow.Seconds() / crowdedHosts)
	}
	return out, nil
}

// cancelWaiting cancels the waiting requests of a workspace, as if its callers had closed their connections.
func (r *rig) cancelWaiting(workspace string) {
	for _, f := range r.list {
		if f.request.Workspace == workspace && f.engine < 0 && !f.refused && r.begin.Add(f.at+callerDelay).Before(r.loop.Now()) {
			f.refused = true
			r.policy.cancel(f)
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
	r.onToken = func(f *stream, now time.Time) {
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
			if f.engine < 0 && !f.refused && r.begin.Add(f.at+callerDelay).Before(r.loop.Now()) {
				b.waiting[f.request.Workspace][second]++
			}
		}
		second++
		return second < seconds
	})
	return b
}

// shareError returns the greatest difference between a backlogged workspace's fraction of all tokens and its entitled
// fraction, and the greatest such difference relative to the entitled fraction. The tokens of workspaces without a
// backlog are set aside; the rest is due to the others by weight.
func (b *usageBins) shareError(tenants []tenant) (worst, relative float64) {
	for from := shareErrorSettleTime; from+shareErrorWindow < len(b.total); from++ {
		to := from + shareErrorWindow
		if from < idleTo+shareErrorSettleTime && to > idleTo || from < idleFrom && to > idleFrom {
			continue
		}
		total, weights, remaining := sum(b.total[from:to]), 0.0, 1.0
		for _, t := range tenants {
			if b.isBacklogged(t.name, from, to) {
				weights += t.weight
			} else {
				remaining -= sum(b.tokens[t.name][from:to]) / total
			}
		}
		for _, t := range tenants {
			if !b.isBacklogged(t.name, from, to) {
				continue
			}
			entitled := remaining * t.weight / weights
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

// idleShareUsedAfter returns the seconds from idleFrom until the engines again generate usedFraction of the earlier
// token rate.
func (b *usageBins) idleShareUsedAfter() float64 {
	const baselineSeconds = 10
	baselineRate := sum(b.total[idleFrom-baselineSeconds:idleFrom]) / baselineSeconds
	for second := idleFrom; second < idleTo; second++ {
		if b.total[second] >= usedFraction*baselineRate {
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
