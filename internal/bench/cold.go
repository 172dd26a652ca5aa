package bench

import (
	"context"
	"math"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/fakes/model"
	"github.com/tarragonspur/tarragonspur/internal/sched"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const (
	// coldStartAt is the time at which the backend servers start; the hosts run from the beginning.
	coldStartAt = 12 * time.Second
	// coldWindow is the time that is measured from coldStartAt, coldFleetWindow the same in the scenario with 340 hosts.
	coldWindow      = 30 * time.Second
	coldFleetWindow = 7 * time.Second
	// coldEventDelay is the time from the start of the backend servers to the host failure, host join or partition of the
	// variant.
	coldEventDelay = 4 * time.Second
	// turnColdDelay is the time from the start of the backend servers until one of them turns cold again.
	turnColdDelay = 18 * time.Second
	// partitionDuration is the duration of a partition.
	partitionDuration      = 10 * time.Second
	coldCapacity           = 2
	coldMaxBatch           = 64
	coldOutputTokens       = 200
	coldWarmupTokens       = 4000
	coldRestartDelay       = 5 * time.Second
	fullThroughputFraction = 0.95
	warmTokenGap           = 23 * time.Millisecond
	// overloadStopLimit is the time after that change within which starts above capacity count as in time.
	overloadStopLimit = time.Second
	// coldDemand is the arrival rate as a multiple of the capacity of the warm backend servers.
	coldDemand = 1.2
)

// Baseline policies. policyIdeal is only the reference for full_throughput_ratio and is not in Policies.
const (
	policyStaticSplit      = "static_split"
	policyLeastOutstanding = "least_outstanding"
	policyStoreLease       = "store_lease"
	policyOwnerOnly        = "owner_only"
	policyIdeal            = "ideal"
)

// coldVariant selects what happens after the start of all backend servers.
type coldVariant int

const (
	coldStartOnly coldVariant = iota
	coldTurnsCold
	coldPartition
	coldHostDeath
	coldHostJoin
)

// coldScenario measures a failure domain whose backend servers all start at once under full load.
type coldScenario struct {
	name    string
	hosts   int
	engines int
	variant coldVariant
	window  time.Duration
}

func coldScenarios() []Scenario {
	return []Scenario{
		coldScenario{"cold", 8, 4, coldStartOnly, coldWindow},
		coldScenario{"cold_340", 340, 16, coldStartOnly, coldFleetWindow},
		coldScenario{"cold_turns", 8, 4, coldTurnsCold, coldWindow},
		coldScenario{"cold_partition", 8, 4, coldPartition, coldWindow},
		coldScenario{"cold_death", 8, 4, coldHostDeath, coldWindow},
		coldScenario{"cold_join", 8, 4, coldHostJoin, coldWindow},
	}
}

// Name returns the scenario's name.
func (c coldScenario) Name() string { return c.name }

// Policies returns the product's policy and its baselines.
func (c coldScenario) Policies() []string {
	return []string{PolicyOwn, policyStaticSplit, policyLeastOutstanding, policyStoreLease, policyOwnerOnly}
}

// Run measures one policy and compares it with an ideal one that reads the current capacity of each backend server.
// Refused counts the refused requests and those whose backend server crashed.
func (c coldScenario) Run(_ context.Context, policy string, seed uint64) (Result, error) {
	ideal, err := c.simulate(policyIdeal, seed)
	if err != nil {
		return Result{}, err
	}
	r, err := c.simulate(policy, seed)
	if err != nil {
		return Result{}, err
	}
	out := Result{Scenario: c.name, Policy: policy, Seed: seed, Requests: Ptr(len(r.rig.list)), Completed: Ptr(0), Refused: Ptr(0)}
	for _, f := range r.rig.list {
		if f.done {
			*out.Completed++
		}
		if f.refused {
			*out.Refused++
		}
	}
	out.OutputTokensPerS = Ptr(float64(r.tokens()) / r.window.Seconds())
	out.TokenGapP95MS = Ptr(r.rig.counts.quantile(0.95))
	out.StallTimeS = Ptr(r.rig.counts.stall.Seconds())
	out.OverloadStarts = Ptr(r.overloadStarts())
	own, best := r.timeToFullThroughput(), ideal.timeToFullThroughput()
	out.Extra = map[string]float64{
		"deaths":                float64(r.deaths()),
		"full_throughput_s":     own,
		"ideal_throughput_s":    best,
		"full_throughput_ratio": own / best,
	}
	if policy == PolicyOwn {
		out.Extra["lend_bytes_per_s"] = float64(r.fleet.lendBytes) / float64(len(r.rig.hosts)) / r.window.Seconds()
	}
	if c.variant == coldTurnsCold {
		out.Extra["late_overload_starts"] = float64(r.overloadStarts() - r.overloadStartsWithinLimit)
		out.Extra["relieved_s"] = r.lastOverloadStart.Seconds()
	}
	return out, nil
}

// coldRun is one simulation of the scenario.
type coldRun struct {
	coldScenario
	rig   *rig
	fleet *coldFleet
	// tokenCounts holds the number of tokens in each 100 ms after coldStartAt.
	tokenCounts []int
	dead        map[int]bool
	// overloadStartsWithinLimit counts the starts above capacity at all backend servers up to overloadStopLimit after
	// turnCold.
	overloadStartsWithinLimit int
	// lastOverloadCount is the last count of starts above capacity at backend server 0, lastOverloadStart the time from
	// turnCold until the last of them.
	lastOverloadCount int
	lastOverloadStart time.Duration
}

func (c coldScenario) simulate(policy string, seed uint64) (*coldRun, error) {
	params := model.DefaultParams(benchService)
	params.MaxBatch = coldMaxBatch
	params.MaxWaiting = math.MaxInt32
	params.ColdCapacity = coldCapacity
	params.WarmTokens = coldWarmupTokens * (90 + int(seed*7%21)) / 100
	params.CrashesOnOverload = c.variant != coldTurnsCold
	domains := spreadLocations(c.hosts)
	if c.variant == coldHostJoin {
		domains = append(domains, domains[0])
	}
	locations := make([]location, c.engines)
	for i := range locations {
		locations[i] = domains[0]
	}
	r := &coldRun{coldScenario: c, dead: make(map[int]bool)}
	r.rig = newRig(coldStartAt+c.window, locations, domains, params)
	for _, e := range r.rig.engines {
		e.backend.ColdRunning = coldCapacity
	}
	r.rig.configure([]config.Row{{Workspace: "trials", Service: benchService, Weight: 1, Lend: true, MaxWaiting: math.MaxInt32}})
	r.tokenCounts = make([]int, 10*int(c.window/time.Second)+1)
	r.rig.onToken = r.countToken
	if err := r.setPolicy(policy, seed); err != nil {
		return nil, err
	}
	r.schedule()
	r.rig.run(r.arrivals(seed), coldStartAt+c.window)
	return r, nil
}

func (r *coldRun) setPolicy(policy string, seed uint64) error {
	switch policy {
	case policyLeastOutstanding:
		r.rig.policy = newCentral(r.rig, leastOutstanding)
	case policyIdeal:
		r.rig.policy = newCentral(r.rig, func(c *centralQueue, _ *stream) int {
			return c.leastRunning(func(e int) bool { return c.running[e] < r.rig.engines[e].core.Capacity() })
		})
	case PolicyOwn, policyStaticSplit, policyStoreLease, policyOwnerOnly:
		r.fleet = newColdFleet(r, policy, seed)
		r.rig.policy = r.fleet
	default:
		return errors.Newf("unknown policy %q", policy)
	}
	return nil
}

// arrivals returns more requests than the warm backend servers can answer. The first 2*coldMaxBatch per backend server
// all arrive at coldStartAt.
func (r *coldRun) arrivals(seed uint64) []arrival {
	rng := newRandom(seed, 5)
	rate := coldDemand * float64(r.engines) * coldMaxBatch / warmTokenGap.Seconds() / coldOutputTokens
	var list []arrival
	backlog := 2 * r.engines * coldMaxBatch
	for at := coldStartAt.Seconds(); at < (coldStartAt + r.window).Seconds(); at += rng.ExpFloat64() / rate {
		if len(list) < backlog {
			at = coldStartAt.Seconds()
		}
		list = append(list, arrival{
			at:           time.Duration(at * float64(time.Second)),
			host:         r.entryHost(rng.IntN(r.hosts), at),
			outputTokens: max(8, min(2000, int(coldOutputTokens*rng.ExpFloat64()))),
			request: sched.Request{
				ID: "r" + strconv.Itoa(len(list)), Workspace: "trials", Service: benchService, PromptTokens: 100, MaxTokens: 2000,
			},
		})
	}
	return list
}

// entryHost returns the host that receives an arrival. In coldHostDeath, host 1 receives the arrivals of host 0 from one
// second before host 0 fails, as if the load balancer had removed it by then.
func (r *coldRun) entryHost(host int, at float64) int {
	if r.variant == coldHostDeath && host == 0 && at > (coldStartAt+coldEventDelay-time.Second).Seconds() {
		return 1
	}
	return host
}

func (r *coldRun) schedule() {
	r.rig.loop.After(coldStartAt, func() {
		for _, e := range r.rig.engines {
			e.core.Restart()
		}
	})
	r.rig.loop.Every(10*time.Millisecond, func() bool {
		r.failDeadEngines()
		return true
	})
	if r.variant == coldTurnsCold {
		r.rig.loop.After(coldStartAt+turnColdDelay, r.turnCold)
	}
	if r.fleet == nil {
		return
	}
	event := coldStartAt + coldEventDelay
	switch r.variant {
	case coldHostDeath:
		r.rig.loop.After(event, func() { r.fleet.kill(0) })
	case coldHostJoin:
		r.rig.loop.After(event, func() { r.fleet.join(r.hosts) })
	case coldPartition:
		r.rig.loop.After(event, func() { r.fleet.setIsolated(true) })
		r.rig.loop.After(event+partitionDuration, func() { r.fleet.setIsolated(false) })
	case coldStartOnly, coldTurnsCold:
	}
}

// turnCold makes backend server 0 cold. From then on it records the time until that server's last start above capacity,
// and the starts above capacity at all servers up to overloadStopLimit after the change.
func (r *coldRun) turnCold() {
	core := r.rig.engines[0].core
	core.ResetWarmUp()
	r.lastOverloadCount = core.Counters.OverloadStarts
	started := r.rig.loop.Now()
	r.rig.loop.Every(time.Millisecond, func() bool {
		if n := core.Counters.OverloadStarts; n > r.lastOverloadCount {
			r.lastOverloadCount = n
			r.lastOverloadStart = r.rig.loop.Now().Sub(started)
		}
		if r.rig.loop.Now().Sub(started) <= overloadStopLimit {
			r.overloadStartsWithinLimit = r.overloadStarts()
		}
		return true
	})
}

// failDeadEngines fails the streams of backend servers that crashed, and restarts these after coldRestartDelay.
func (r *coldRun) failDeadEngines() {
	for i, e := range r.rig.engines {
		if !e.core.IsDead() || r.dead[i] {
			continue
		}
		r.dead[i] = true
		for _, f := range r.rig.list {
			if f.engine == i && !f.done && !f.refused {
				f.refused = true
				r.rig.end(f, sched.Outcome{Result: sched.ResultFailed, Tokens: f.tokens})
			}
		}
		r.rig.loop.After(coldRestartDelay, func() {
			e.core.Restart()
			r.dead[i] = false
		})
	}
}

func (r *coldRun) countToken(_ *stream, now time.Time) {
	at := int(now.Sub(r.rig.begin.Add(coldStartAt)) * 10 / time.Second)
	if at >= 0 && at < len(r.tokenCounts) {
		r.tokenCounts[at]++
	}
}

func (r *coldRun) tokens() int {
	sum := 0
	for _, n := range r.tokenCounts {
		sum += n
	}
	return sum
}

// timeToFullThroughput returns the time in seconds until the throughput over one second first reaches
// fullThroughputFraction of the warm backend servers' throughput, or the window's length if it never does.
func (r *coldRun) timeToFullThroughput() float64 {
	target := fullThroughputFraction * float64(r.engines) * coldMaxBatch / warmTokenGap.Seconds()
	for i := range len(r.tokenCounts) - 10 {
		sum := 0
		for _, n := range r.tokenCounts[i : i+10] {
			sum += n
		}
		if float64(sum) >= target {
			return float64(i)/10 + 1
		}
	}
	return r.window.Seconds()
}

func (r *coldRun) overloadStarts() int {
	sum := 0
	for _, e := range r.rig.engines {
		sum += e.core.Counters.OverloadStarts
	}
	return sum
}

func (r *coldRun) deaths() int {
	sum := 0
	for _, e := range r.rig.engines {
		sum += e.core.Counters.Deaths
	}
	return sum
}
