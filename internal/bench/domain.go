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
	domainLength  = 66 * time.Second
	// domainOut and domainBack are the times from the start to the two changes of the operators.
	domainOut  = 16 * time.Second
	domainBack = 46 * time.Second
	// changeMin and changeMax bound the time from a change's acceptance until it is in force on a host.
	changeMin = 20 * time.Millisecond
	changeMax = 200 * time.Millisecond
	// balancerTime is the time that the balancer needs to move callers off a host that is not ready.
	balancerTime = 2 * time.Second
	// platformLag is the age of the platform's list that the baseline follows.
	platformLag = 8 * time.Second
	lateAfter   = 3 * time.Second
	domainLoad  = 1.05
)

// Baselines of the scenario.
const (
	policyPlatform = "platform_list"
	policyNoRamp   = "no_ramp"
)

// domainScenario takes a failure domain of the Federación out under full load and brings it back.
type domainScenario struct{}

// Name returns "domain".
func (domainScenario) Name() string { return "domain" }

// Policies lists the product's policy and two baselines: one learns of the change from the platform's
// lagging list only, one gives returned backend servers their full load at once.
func (domainScenario) Policies() []string { return []string{PolicyOwn, policyPlatform, policyNoRamp} }

// domainRun is one run of the scenario.
type domainRun struct {
	coldRun
	policy string
	// starts counts the starts of each request, as the backend servers see them.
	starts map[string]int
	late   int
	double int
}

// Run measures one policy beside an ideal one that knows at once what each backend server bears.
func (d domainScenario) Run(_ context.Context, policy string, seed uint64) (Result, error) {
	ideal, err := d.play(policyIdeal, seed)
	if err != nil {
		return Result{}, err
	}
	r, err := d.play(policy, seed)
	if err != nil {
		return Result{}, err
	}
	out := Result{
		Scenario: "domain", Policy: policy, Seed: seed, Requests: Ptr(len(r.rig.list)), Completed: Ptr(r.completed(0, domainLength)),
		Cut: Ptr(r.cut()), LateStarts: Ptr(r.late), DoubleRuns: Ptr(r.double), OverloadStarts: Ptr(r.overload()),
		OutputTokensPerS: Ptr(float64(r.tokens()) / domainLength.Seconds()),
		StallTimeS:       Ptr(r.rig.count.stall.Seconds()),
		TokenGapP95MS:    Ptr(r.rig.count.quantile(0.95)),
	}
	own, best := r.fullFrom(domainBack), ideal.fullFrom(domainBack)
	out.Extra = map[string]float64{
		"deaths":                 float64(r.deaths()),
		"completed_while_out":    float64(r.completed(domainOut, domainBack)),
		"completed_of_remaining": float64(r.completed(domainOut, domainBack)) / float64(ideal.completed(domainOut, domainBack)),
		"tokens_of_remaining":    r.between(domainOut, domainBack) / ideal.between(domainOut, domainBack),
		"full_throughput_s":      own,
		"ideal_throughput_s":     best,
		"full_throughput_ratio":  own / best,
	}
	return out, nil
}

func federacionPlaces(n int) []place {
	domains := []place{{"cordoba", "norte"}, {"salta", "norte"}, {"neuquen", "sur"}}
	list := make([]place, n)
	for i := range list {
		list[i] = domains[i%len(domains)]
	}
	return list
}

func (d domainScenario) play(policy string, seed uint64) (*domainRun, error) {
	params := model.DefaultParams(benchService)
	params.MaxBatch = coldBatch
	params.MaxWaiting = math.MaxInt32
	params.ColdCapacity = coldBears
	params.WarmTokens = coldWarmup * (90 + int(seed*7%21)) / 100
	params.CrashesOnOverload = true
	r := &domainRun{policy: policy, starts: make(map[string]int)}
	r.cold = cold{name: "domain", hosts: domainHosts, engines: domainEngines, window: domainLength}
	r.dead = make(map[int]bool)
	r.second = make([]int, 10*int(domainLength/time.Second)+1)
	r.rig = newRig(coldLead+domainLength, federacionPlaces(domainEngines), federacionPlaces(domainHosts), params)
	for i, e := range r.rig.engines {
		e.backend.ColdRunning = coldBears
		if policy == policyNoRamp {
			e.backend.ColdRunning = coldBatch
		}
		e.core.Params.Length = func(q engine.Request) int { return r.submitted(i, q) }
	}
	r.rig.configure([]config.Row{{Workspace: "guides", Service: benchService, Weight: 1, Lend: true, MaxWaiting: math.MaxInt32}})
	r.rig.onToken = r.countToken
	if err := r.choose(policy, seed); err != nil {
		return nil, err
	}
	r.schedule(seed)
	r.rig.run(r.arrivals(seed), coldLead+domainLength)
	return r, nil
}

func (r *domainRun) choose(policy string, seed uint64) error {
	switch policy {
	case policyIdeal:
		r.rig.policy = newCentral(r.rig, func(c *central, _ *flow) int {
			return c.least(func(e int) bool {
				return !r.isOut(e, r.sinceStart()) && c.running[e] < r.rig.engines[e].core.Capacity()
			})
		})
	case PolicyOwn, policyPlatform, policyNoRamp:
		r.fleet = newColdFleet(&r.coldRun, PolicyOwn, seed)
		r.rig.policy = r.fleet
	default:
		return errors.Newf("no policy %q", policy)
	}
	return nil
}

func (r *domainRun) sinceStart() time.Duration { return r.rig.loop.Now().Sub(r.rig.begin) - coldLead }

// isOut reports whether operators have taken an engine's failure domain out at a time after the start.
func (r *domainRun) isOut(e int, at time.Duration) bool {
	return r.rig.engines[e].place == r.removed() && at >= domainOut && at < domainBack
}

func (r *domainRun) removed() place { return r.rig.engines[1].place }

// submitted counts a start as the backend server sees it.
func (r *domainRun) submitted(e int, q engine.Request) int {
	r.starts[q.ID]++
	if r.starts[q.ID] > 1 {
		r.double++
	}
	if r.isOut(e, r.sinceStart()) && r.sinceStart() > domainOut+lateAfter {
		r.late++
	}
	return r.rig.flows[q.ID].length
}

// arrivals are slightly more requests than all warm backend servers can answer.
func (r *domainRun) arrivals(seed uint64) []arrival {
	rng := newRandom(seed, 6)
	rate := domainLoad * domainEngines * coldBatch / warmGap.Seconds() / coldLength
	var list []arrival
	for at := 0.0; at < domainLength.Seconds(); at += rng.ExpFloat64() / rate {
		if len(list) < domainEngines*coldBatch {
			at = 0
		}
		list = append(list, arrival{
			at:     coldLead + time.Duration(at*float64(time.Second)),
			host:   r.entry(rng.IntN(domainHosts), time.Duration(at*float64(time.Second))),
			length: max(8, min(2000, int(coldLength*rng.ExpFloat64()))),
			request: sched.Request{
				ID: "r" + strconv.Itoa(len(list)), Workspace: "guides", Service: benchService, PromptTokens: 100, MaxTokens: 2000,
			},
		})
	}
	return list
}

// entry moves callers off the hosts of the failure domain that is out, as the balancer does.
func (r *domainRun) entry(host int, at time.Duration) int {
	if r.rig.hosts[host] != r.removed() || at < domainOut+balancerTime || at > domainBack+balancerTime {
		return host
	}
	return (host + 1) % domainHosts
}

func (r *domainRun) schedule(seed uint64) {
	r.rig.loop.After(coldLead, func() {
		for _, e := range r.rig.engines {
			e.core.Restart()
		}
	})
	// The engines come back cold: they were stopped while their failure domain was out.
	r.rig.loop.After(coldLead+domainBack-time.Second, func() {
		for _, e := range r.rig.engines {
			if e.place == r.removed() {
				e.core.Restart()
			}
		}
	})
	r.rig.loop.Every(10*time.Millisecond, func() bool {
		r.watch()
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
		}{{domainOut, config.DomainOut}, {domainBack, config.DomainIn}} {
			lag := changeMin + time.Duration(rng.Int64N(int64(changeMax-changeMin)))
			if r.policy == policyPlatform {
				lag += platformLag
			}
			r.rig.loop.After(coldLead+change.at+lag, func() { r.apply(i, change.state) })
		}
	}
}

// apply brings the operators' change into force on one host.
func (r *domainRun) apply(host int, state config.DomainState) {
	old := r.rig.view
	v := *old
	v.Domains = make(map[string]config.Domain)
	for name, d := range old.Domains {
		if name == r.removed().domain {
			d.State = state
		}
		v.Domains[name] = d
	}
	r.fleet.hosts[host].Configure(&v, r.rig.loop.Now())
	r.fleet.ledgers[host].SetBackends(grant.Backends(&v))
	r.fleet.act(host)
}

// completed counts the requests that ended whole within a time after the start.
func (r *domainRun) completed(from, to time.Duration) int {
	n := 0
	for _, f := range r.rig.list {
		at := f.last.Sub(r.rig.begin) - coldLead
		if f.done && at >= from && at < to {
			n++
		}
	}
	return n
}

// cut counts the streams that broke off.
func (r *domainRun) cut() int {
	n := 0
	for _, f := range r.rig.list {
		if f.refused && f.tokens > 0 {
			n++
		}
	}
	return n
}

func (r *domainRun) between(from, to time.Duration) float64 {
	sum := 0
	for _, n := range r.second[from*10/time.Second : to*10/time.Second] {
		sum += n
	}
	return float64(sum)
}

// fullFrom returns the seconds after a moment until the tokens of one second reach those of all warm
// backend servers.
func (r *domainRun) fullFrom(from time.Duration) float64 {
	want := fullPart * domainEngines * coldBatch / warmGap.Seconds()
	start := int(from * 10 / time.Second)
	for i := start; i+10 < len(r.second); i++ {
		if r.between(time.Duration(i)*time.Second/10, time.Duration(i+10)*time.Second/10) >= want {
			return float64(i-start)/10 + 1
		}
	}
	return (domainLength - from).Seconds()
}
