package bench

import (
	"context"
	"math"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/fakes/model"
	"github.com/tarragonspur/tarragonspur/internal/grant"
	"github.com/tarragonspur/tarragonspur/internal/sched"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const (
	domainEngines = 9
	domainHosts   = 8
	domainWindow  = 66 * time.Second
	// domainOutAt and domainBackAt are the times after the start at which operators take the failure domain out and in.
	domainOutAt  = 16 * time.Second
	domainBackAt = 46 * time.Second
	// minChangeLag and maxChangeLag bound the time from a change's acceptance until it is in force on a host.
	minChangeLag = 20 * time.Millisecond
	maxChangeLag = 200 * time.Millisecond
	// balancerLag is the time that the load balancer needs to move callers off a host that is not ready.
	balancerLag = 2 * time.Second
	// platformListLag is the age of the platform's list that the baseline follows.
	platformListLag = 8 * time.Second
	lateStartAfter  = 3 * time.Second
	domainDemand    = 1.05
)

// Baselines of the scenario.
const (
	policyPlatform = "platform_list"
	policyNoRamp   = "no_ramp"
)

// domainScenario takes a failure domain of the Federación out under full load and back in.
type domainScenario struct{}

// Name returns "domain".
func (domainScenario) Name() string { return "domain" }

// Policies returns the product's policy and two baselines: one follows only the platform's lagging list, one gives
// returned backend servers their full load at once.
func (domainScenario) Policies() []string { return []string{PolicyOwn, policyPlatform, policyNoRamp} }

// domainRun is one simulation of the scenario.
type domainRun struct {
	coldRun
	policy string
	// starts counts the starts of each request at the backend servers.
	starts     map[string]int
	lateStarts int
	doubleRuns int
}

// Run measures one policy and compares it with an ideal one that reads the current capacity of each backend server.
func (d domainScenario) Run(_ context.Context, policy string, seed uint64) (Result, error) {
	ideal, err := d.simulate(policyIdeal, seed)
	if err != nil {
		return Result{}, err
	}
	r, err := d.simulate(policy, seed)
	if err != nil {
		return Result{}, err
	}
	out := Result{
		Scenario: "domain", Policy: policy, Seed: seed, Requests: Ptr(len(r.rig.list)), Completed: Ptr(r.completed(0, domainWindow)),
		Cut: Ptr(r.interruptedStreams()), LateStarts: Ptr(r.lateStarts), DoubleRuns: Ptr(r.doubleRuns), OverloadStarts: Ptr(r.overloadStarts()),
		OutputTokensPerS: Ptr(float64(r.tokens()) / domainWindow.Seconds()),
		StallTimeS:       Ptr(r.rig.counts.stall.Seconds()),
		TokenGapP95MS:    Ptr(r.rig.counts.quantile(0.95)),
	}
	own, best := r.timeToFullThroughputFrom(domainBackAt), ideal.timeToFullThroughputFrom(domainBackAt)
	out.Extra = map[string]float64{
		"deaths":                 float64(r.deaths()),
		"completed_while_out":    float64(r.completed(domainOutAt, domainBackAt)),
		"completed_of_remaining": float64(r.completed(domainOutAt, domainBackAt)) / float64(ideal.completed(domainOutAt, domainBackAt)),
		"tokens_of_remaining":    r.tokensBetween(domainOutAt, domainBackAt) / ideal.tokensBetween(domainOutAt, domainBackAt),
		"full_throughput_s":      own,
		"ideal_throughput_s":     best,
		"full_throughput_ratio":  own / best,
	}
	return out, nil
}

func federacionLocations(n int) []location {
	domains := []location{{"cordoba", "norte"}, {"salta", "norte"}, {"neuquen", "sur"}}
	list := make([]location, n)
	for i := range list {
		list[i] = domains[i%len(domains)]
	}
	return list
}

func (d domainScenario) simulate(policy string, seed uint64) (*domainRun, error) {
	params := model.DefaultParams(benchService)
	params.MaxBatch = coldMaxBatch
	params.MaxWaiting = math.MaxInt32
	params.ColdCapacity = coldCapacity
	params.WarmTokens = coldWarmupTokens * (90 + int(seed*7%21)) / 100
	params.CrashesOnOverload = true
	r := &domainRun{policy: policy, starts: make(map[string]int)}
	r.coldScenario = coldScenario{name: "domain", hosts: domainHosts, engines: domainEngines, window: domainWindow}
	r.dead = make(map[int]bool)
	r.tokenCounts = make([]int, 10*int(domainWindow/time.Second)+1)
	r.rig = newRig(coldStartAt+domainWindow, federacionLocations(domainEngines), federacionLocations(domainHosts), params)
	for i, e := range r.rig.engines {
		e.backend.ColdRunning = coldCapacity
		if policy == policyNoRamp {
			e.backend.ColdRunning = coldMaxBatch
		}
		e.core.Params.Length = func(q engine.Request) int { return r.countStart(i, q) }
	}
	r.rig.configure([]config.Row{{Workspace: "guides", Service: benchService, Weight: 1, Lend: true, MaxWaiting: math.MaxInt32}})
	r.rig.onToken = r.countToken
	if err := r.setPolicy(policy, seed); err != nil {
		return nil, err
	}
	r.schedule(seed)
	r.rig.run(r.arrivals(seed), coldStartAt+domainWindow)
	return r, nil
}

func (r *domainRun) setPolicy(policy string, seed uint64) error {
	switch policy {
	case policyIdeal:
		r.rig.policy = newCentral(r.rig, func(c *centralQueue, _ *stream) int {
			return c.leastRunning(func(e int) bool {
				return !r.isOut(e, r.sinceStart()) && c.running[e] < r.rig.engines[e].core.Capacity()
			})
		})
	case PolicyOwn, policyPlatform, policyNoRamp:
		r.fleet = newColdFleet(&r.coldRun, PolicyOwn, seed)
		r.rig.policy = r.fleet
	default:
		return errors.Newf("unknown policy %q", policy)
	}
	return nil
}

func (r *domainRun) sinceStart() time.Duration {
	return r.rig.loop.Now().Sub(r.rig.begin) - coldStartAt
}

// isOut reports whether an engine's failure domain is out at a time after the start.
func (r *domainRun) isOut(e int, at time.Duration) bool {
	return r.rig.engines[e].location == r.removedLocation() && at >= domainOutAt && at < domainBackAt
}

func (r *domainRun) removedLocation() location { return r.rig.engines[1].location }

// countStart counts a start at a backend server and returns the request's output length.
func (r *domainRun) countStart(e int, q engine.Request) int {
	r.starts[q.ID]++
	if r.starts[q.ID] > 1 {
		r.doubleRuns++
	}
	if r.isOut(e, r.sinceStart()) && r.sinceStart() > domainOutAt+lateStartAfter {
		r.lateStarts++
	}
	return r.rig.streams[q.ID].outputTokens
}

// arrivals returns slightly more requests than all warm backend servers can answer.
func (r *domainRun) arrivals(seed uint64) []arrival {
	rng := newRandom(seed, 6)
	rate := domainDemand * domainEngines * coldMaxBatch / warmTokenGap.Seconds() / coldOutputTokens
	var list []arrival
	for at := 0.0; at < domainWindow.Seconds(); at += rng.ExpFloat64() / rate {
		if len(list) < domainEngines*coldMaxBatch {
			at = 0
		}
		list = append(list, arrival{
			at:           coldStartAt + time.Duration(at*float64(time.Second)),
			host:         r.entryHost(rng.IntN(domainHosts), time.Duration(at*float64(time.Second))),
			outputTokens: max(8, min(2000, int(coldOutputTokens*rng.ExpFloat64()))),
			request: sched.Request{
				ID: "r" + strconv.Itoa(len(list)), Workspace: "guides", Service: benchService, PromptTokens: 100, MaxTokens: 2000,
			},
		})
	}
	return list
}

// entryHost returns the host for an arrival: as the load balancer does, it avoids the hosts of the failure domain that
// is out.
func (r *domainRun) entryHost(host int, at time.Duration) int {
	if r.rig.hosts[host] != r.removedLocation() || at < domainOutAt+balancerLag || at > domainBackAt+balancerLag {
		return host
	}
	return (host + 1) % domainHosts
}

func (r *domainRun) schedule(seed uint64) {
	r.rig.loop.After(coldStartAt, func() {
		for _, e := range r.rig.engines {
			e.core.Restart()
		}
	})
	// The engines come back cold: they were stopped while their failure domain was out.
	r.rig.loop.After(coldStartAt+domainBackAt-time.Second, func() {
		for _, e := range r.rig.engines {
			if e.location == r.removedLocation() {
				e.core.Restart()
			}
		}
	})
	r.rig.loop.Every(10*time.Millisecond, func() bool {
		r.failDeadEngines()
		return true
	})
	if r.fleet == nil {
		return
	}
	rng := newRandom(seed, 7)
	for i := range r.rig.hosts {
		for _, change := range []struct {
			at    time.Duration
			state config.DomainState
		}{{domainOutAt, config.DomainOut}, {domainBackAt, config.DomainIn}} {
			lag := minChangeLag + time.Duration(rng.Int64N(int64(maxChangeLag-minChangeLag)))
			if r.policy == policyPlatform {
				lag += platformListLag
			}
			r.rig.loop.After(coldStartAt+change.at+lag, func() { r.setDomainState(i, change.state) })
		}
	}
}

// setDomainState applies the operators' change of the failure domain on one host.
func (r *domainRun) setDomainState(host int, state config.DomainState) {
	old := r.rig.view
	v := *old
	v.Domains = make(map[string]config.Domain)
	for name, d := range old.Domains {
		if name == r.removedLocation().domain {
			d.State = state
		}
		v.Domains[name] = d
	}
	r.fleet.hosts[host].Configure(&v, r.rig.loop.Now())
	r.fleet.ledgers[host].SetBackends(grant.Backends(&v))
	r.fleet.performActions(host)
}

// completed counts the requests that were completed in a period after the start.
func (r *domainRun) completed(from, to time.Duration) int {
	n := 0
	for _, f := range r.rig.list {
		at := f.lastTokenAt.Sub(r.rig.begin) - coldStartAt
		if f.done && at >= from && at < to {
			n++
		}
	}
	return n
}

// interruptedStreams counts the streams that failed after their first token.
func (r *domainRun) interruptedStreams() int {
	n := 0
	for _, f := range r.rig.list {
		if f.refused && f.tokens > 0 {
			n++
		}
	}
	return n
}

// tokensBetween returns the number of tokens in a period after the start.
func (r *domainRun) tokensBetween(from, to time.Duration) float64 {
	sum := 0
	for _, n := range r.tokenCounts[from*10/time.Second : to*10/time.Second] {
		sum += n
	}
	return float64(sum)
}

// timeToFullThroughputFrom returns the seconds after a time until the tokens of one second reach fullThroughputFraction
// of those of all warm backend servers, or until the end if they never do.
func (r *domainRun) timeToFullThroughputFrom(from time.Duration) float64 {
	target := fullThroughputFraction * domainEngines * coldMaxBatch / warmTokenGap.Seconds()
	start := int(from * 10 / time.Second)
	for i := start; i+10 < len(r.tokenCounts); i++ {
		if r.tokensBetween(time.Duration(i)*time.Second/10, time.Duration(i+10)*time.Second/10) >= target {
			return float64(i-start)/10 + 1
		}
	}
	return (domainWindow - from).Seconds()
}
