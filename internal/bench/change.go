package bench

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/audit"
	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/internal/commit"
)

// Policies of the change scenario beside the product's own.
const (
	// policyPollStore makes each host read the store each second and take what it finds.
	policyPollStore = "poll_store"
	// policyWatchAll makes each host hold a watch and read the store only when the watch breaks off.
	policyWatchAll = "watch_all"
)

const (
	changeCount  = 200
	changePeriod = 2 * time.Second
	changeSettle = 60 * time.Second
	changeHosts  = 8
	inForceLimit = 3 * time.Second
)

// changeScenario measures how changes of the configuration come into force while the store is slow, stale or
// down, loses answers or accepted changes, and hosts restart.
type changeScenario struct{}

// Name names the scenario.
func (changeScenario) Name() string { return "change" }

// Policies lists the policies to compare.
func (changeScenario) Policies() []string {
	return []string{PolicyOwn, policyPollStore, policyWatchAll}
}

// Run measures one policy at eight hosts, and the product's own at more hosts beside it.
func (changeScenario) Run(ctx context.Context, policy string, seed uint64) (Result, error) {
	r, err := runChange(ctx, policy, seed, changeHosts)
	if err != nil || policy != PolicyOwn {
		return r, err
	}
	for _, hosts := range []int{40} {
		larger, err := runChange(ctx, policy, seed, hosts)
		if err != nil {
			return r, err
		}
		suffix := fmt.Sprintf("_%d_hosts", hosts)
		r.Extra["in_force_p99_s"+suffix] = *larger.InForceP99S
		r.Extra["reverts"+suffix] = float64(*larger.Reverts)
		r.Extra["control_bytes_per_s"+suffix] = *larger.ControlBytesPerS
		r.Extra["store_calls_per_s"+suffix] = larger.Extra["store_calls_per_s"]
		r.Extra["audit_wrong"+suffix] = larger.Extra["audit_missing"] + larger.Extra["audit_duplicates"] + larger.Extra["false_answers"]
	}
	return r, nil
}

func runChange(ctx context.Context, policy string, seed uint64, hosts int) (Result, error) {
	g := newChangeRig(policy, seed, hosts)
	g.start()
	for i := range changeCount {
		at := time.Duration(i+1) * changePeriod
		g.loop.After(at, func() { g.submit(i) })
	}
	end := changeCount*changePeriod + changeSettle
	g.loop.RunUntil(g.begin.Add(end))
	if err := ctx.Err(); err != nil {
		return Result{}, err
	}
	return g.result(ctx, policy, seed, end)
}

// submission is one change that an operator asked for, with what the operator was told.
type submission struct {
	number int
	// tries counts the calls of the operator, answers those that were answered.
	tries, answers int
	id             string
	outcome        commit.Outcome
	done           bool
}

// acceptance is the moment at which the store took a change.
type acceptance struct {
	version change.Version
	at      time.Time
}

// result counts on the side of the store and of the hosts' tables.
func (g *changeRig) result(ctx context.Context, policy string, seed uint64, took time.Duration) (Result, error) {
	lags := g.lags()
	records, err := (&audit.Trail{Store: &changeStore{memory: g.memory, loop: g.loop}}).Before(ctx, change.Version(changeCount+2), audit.MaxRecords)
	if err != nil {
		return Result{}, err
	}
	times := make(map[string]int)
	for _, c := range records {
		times[c.ID]++
	}
	extra := map[string]float64{
		"changes":            changeCount,
		"late_over_3_s":      0,
		"audit_missing":      0,
		"audit_duplicates":   0,
		"false_answers":      0,
		"answers_accepted":   0,
		"answers_refused":    0,
		"answers_unknown":    0,
		"store_calls_per_s":  float64(g.calls) / took.Seconds(),
		"host_observations":  float64(len(lags)),
		"message_bytes_each": 0,
	}
	for _, s := range g.submissions {
		g.judge(s, times[s.id], extra)
	}
	for _, lag := range lags {
		if lag > inForceLimit {
			extra["late_over_3_s"]++
		}
	}
	if g.messages > 0 {
		extra["message_bytes_each"] = float64(g.bytes) / float64(g.messages)
	}
	most := 0
	for _, h := range g.hosts {
		most = max(most, h.sent)
	}
	extra["control_bytes_per_s_busiest"] = float64(most) / took.Seconds()
	perHost := float64(g.bytes) / took.Seconds() / float64(len(g.hosts))
	p99 := time.Duration(0)
	if len(lags) > 0 {
		slices.Sort(lags)
		p99 = lags[min(len(lags)-1, len(lags)*99/100)]
		extra["in_force_max_s"] = lags[len(lags)-1].Seconds()
	}
	return Result{
		Scenario: "change", Policy: policy, Seed: seed,
		InForceP99S: Ptr(p99.Seconds()), Reverts: Ptr(g.reverts), ControlBytesPerS: Ptr(perHost), Extra: extra,
	}, nil
}

func (g *changeRig) judge(s *submission, recorded int, extra map[string]float64) {
	extra["operator_tries"] += float64(s.tries)
	if recorded > 1 {
		extra["audit_duplicates"]++
	}
	switch {
	case s.done:
		extra["answers_accepted"]++
		if recorded == 0 {
			extra["audit_missing"]++
		}
	case s.answers < s.tries || s.outcome == commit.OutcomeUnknown:
		extra["answers_unknown"]++
	default:
		extra["answers_refused"]++
		if recorded > 0 {
			extra["false_answers"]++
		}
	}
}

// lags returns the time from acceptance to force, over the hosts that stayed up and reachable meanwhile.
func (g *changeRig) lags() []time.Duration {
	var lags []time.Duration
	for _, a := range g.accepted {
		for _, h := range g.hosts {
			if lag, ok := h.lag(a, g.loop.Now()); ok {
				lags = append(lags, lag)
			}
		}
	}
	return lags
}

var _ Scenario = changeScenario{}
