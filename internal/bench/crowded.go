package bench

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/fakes/model"
	"github.com/tarragonspur/tarragonspur/internal/sched"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const (
	crowdedWindow  = 120 * time.Second
	crowdedTimeout = 900 * time.Second
	// crowdedDemand is the memory that the arrivals would need if all were started at once, as a fraction of all
	// engines' memory.
	crowdedDemand  = 1.10
	crowdedEngines = 12
	crowdedHosts   = 8
	maxOutput      = 4096
	// fullTokenGap is the duration of a decoding step of an engine whose memory is full.
	fullTokenGap = 35 * time.Millisecond
)

// tenant is a workspace with its arrival rate and the sizes of its requests.
type tenant struct {
	name   string
	weight float64
	rate   float64
	// median and sigma are those of a lognormal output length; a fraction tailProbability of the outputs is drawn from
	// a Pareto distribution instead.
	median float64
	sigma  float64
	prompt float64
}

const (
	tailProbability = 0.04
	tailMin         = 800
	tailShape       = 1.2
)

func (t tenant) drawOutputTokens(rng *rand.Rand) int {
	if rng.Float64() < tailProbability {
		return min(maxOutput, int(tailMin*math.Pow(1-rng.Float64(), -1/tailShape)))
	}
	return min(maxOutput, max(1, int(t.median*math.Exp(t.sigma*rng.NormFloat64()))))
}

func (t tenant) drawPromptTokens(rng *rand.Rand) int {
	return max(16, int(t.prompt*math.Exp(0.5*rng.NormFloat64())))
}

// crowded measures Hallowbrook's twelve engines under more long outputs than their memory holds.
type crowded struct{}

// Name returns "crowded".
func (crowded) Name() string { return "crowded" }

// Policies returns the product's policy and five baselines.
func (crowded) Policies() []string {
	return []string{PolicyOwn, "round_robin", "least_outstanding", "fixed_limit", "greedy_memory", "reserve_max"}
}

// crowdedTenants returns three large workspaces, which ask for more than their share, and seven small ones.
func crowdedTenants() []tenant {
	list := []tenant{
		{"trials", 8, 8, 320, 1.0, 400},
		{"blends", 5, 6.5, 260, 1.0, 300},
		{"board", 5, 4.5, 400, 0.8, 600},
	}
	for i := range 7 {
		list = append(list, tenant{"mill-" + strconv.Itoa(i), 1.4, 1.2, 120, 0.9, 200})
	}
	return list
}

func crowdedLocations() []location {
	return []location{{"trent-mill", "midlands-east"}, {"soar-lab", "midlands-east"}, {"severn-yard", "midlands-west"}}
}

func spreadLocations(n int) []location {
	domains := crowdedLocations()
	list := make([]location, n)
	for i := range list {
		list[i] = domains[i%len(domains)]
	}
	return list
}

// crowdedParams returns an engine with a step of about 35 ms when its memory is full.
func crowdedParams() model.Params {
	p := model.DefaultParams(benchService)
	p.MaxBatch = 128
	p.MaxWaiting = 100_000
	p.ColdCapacity = p.MaxBatch
	p.StepBase = 20 * time.Millisecond
	p.StepPerSequence = 200 * time.Microsecond
	return p
}

func rowsOf(tenants []tenant) []config.Row {
	var rows []config.Row
	for _, t := range tenants {
		rows = append(rows, config.Row{Workspace: t.name, Service: benchService, Weight: t.weight, Lend: true, MaxWaiting: math.MaxInt32})
	}
	return rows
}

// drawArrivals returns Poisson arrivals over the window at a total rate per second.
func drawArrivals(tenants []tenant, rate float64, window time.Duration, hosts []float64, seed uint64) []arrival {
	times, sizes := newRandom(seed, 1), newRandom(seed, 2)
	rates := make([]float64, len(tenants))
	for i, t := range tenants {
		rates[i] = t.rate
	}
	var list []arrival
	for at := 0.0; ; {
		at += times.ExpFloat64() / rate
		if at >= window.Seconds() {
			return list
		}
		t := tenants[pickWeighted(sizes, rates)]
		list = append(list, arrival{
			at:           time.Duration(at * float64(time.Second)),
			host:         pickWeighted(sizes, hosts),
			outputTokens: t.drawOutputTokens(sizes),
			request: sched.Request{
				ID: "r" + strconv.Itoa(len(list)), Workspace: t.name, Service: benchService,
				PromptTokens: t.drawPromptTokens(sizes), MaxTokens: maxOutput,
			},
		})
	}
}

func pickWeighted(rng *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	at := rng.Float64() * sum
	for i, w := range weights {
		at -= w
		if at < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// demand returns the mean memory in tokens over the later two thirds of the window if all were started on
// arrival, and the mean number of requests that would run.
func demand(list []arrival, window time.Duration) (tokens, running float64) {
	from, to := window.Seconds()/3, window.Seconds()
	gap := fullTokenGap.Seconds()
	for _, a := range list {
		begin := a.at.Seconds()
		low, high := max(from, begin), min(to, begin+float64(a.outputTokens)*gap)
		if high <= low {
			continue
		}
		middle := ((low+high)/2 - begin) / gap
		tokens += (high - low) * (float64(a.request.PromptTokens) + middle)
		running += high - low
	}
	return tokens / (to - from), running / (to - from)
}

// fitArrivals returns arrivals at the rate at which they need the given memory, in tokens.
func fitArrivals(tenants []tenant, memory float64, window time.Duration, hosts []float64, seed uint64) []arrival {
	const rounds = 8
	rate := 30.0
	var list []arrival
	for range rounds {
		list = drawArrivals(tenants, rate, window, hosts, seed)
		tokens, _ := demand(list, window)
		rate *= memory / tokens
	}
	return list
}

func evenWeights(n int) []float64 {
	return slices.Repeat([]float64{1}, n)
}

// Run measures one policy.
func (s crowded) Run(_ context.Context, policy string, seed uint64) (Result, error) {
	tenants := crowdedTenants()
	r := newRig(crowdedWindow, spreadLocations(crowdedEngines), spreadLocations(crowdedHosts), crowdedParams())
	r.configure(rowsOf(tenants))
	memory := float64(crowdedEngines * r.engines[0].backend.MemoryTokens)
	arrivals := fitArrivals(tenants, crowdedDemand*memory, crowdedWindow, evenWeights(crowdedHosts), seed)
	tokens, running := demand(arrivals, crowdedWindow)
	switch policy {
	case PolicyOwn:
		r.policy = newFleet(r, seed)
	case "round_robin":
		r.policy = newCentral(r, roundRobin)
	case "least_outstanding":
		r.policy = newCentral(r, leastOutstanding)
	case "fixed_limit":
		limit := int(running / crowdedDemand / crowdedEngines)
		r.policy = newCentral(r, fixedLimit(limit))
	case "greedy_memory":
		r.policy = newCentral(r, greedyMemory)
	case "reserve_max":
		r.policy = newCentral(r, reserveMax)
	}
	r.run(arrivals, crowdedTimeout)
	within := withinShare(tenants, arrivals)
	out := r.result(func(f *stream) bool { return within[f.request.Workspace] })
	out.Scenario, out.Policy, out.Seed = s.Name(), policy, seed
	out.Extra = map[string]float64{
		"demand_part":   tokens / memory,
		"makespan_s":    r.loop.Now().Sub(r.begin).Seconds(),
		"running_fit":   running / crowdedDemand / crowdedEngines,
		"within_shares": float64(len(within)),
	}
	if f, ok := r.policy.(*fleet); ok {
		out.ControlBytesPerS = Ptr(float64(f.bytes) / r.loop.Now().Sub(r.begin).Seconds() / crowdedHosts)
	}
	return out, nil
}

// withinShare returns the workspaces whose arrivals need less than their share of the tokens.
func withinShare(tenants []tenant, arrivals []arrival) map[string]bool {
	need := make(map[string]float64)
	total, weights := 0.0, 0.0
	for _, a := range arrivals {
		n := float64(a.request.PromptTokens + a.outputTokens)
		need[a.request.Workspace] += n
		total += n
	}
	for _, t := range tenants {
		weights += t.weight
	}
	within := make(map[string]bool)
	for _, t := range tenants {
		if need[t.name]/total < t.weight/weights/crowdedDemand {
			within[t.name] = true
		}
	}
	return within
}
