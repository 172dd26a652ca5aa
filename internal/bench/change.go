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

// Policies of the change scenario besides the product's own.
const (
	// policyPollStore makes each host read the store every second and adopt what it finds.
	policyPollStore = "poll_store"
	// policyWatchAll makes each host hold a watch, opened with a listing, and read the store only until a read succeeds
	// after its start.
	policyWatchAll = "watch_all"
)

const (
	changeCount      = 200
	changePeriod     = 2 * time.Second
	changeSettleTime = 60 * time.Second
	changeHosts      = 8
	inForceLimit     = 3 * time.Second
)

// changeScenario measures how changes of the configuration come into force while the store is slow, stale or
// down, loses answers or accepted changes, and hosts restart.
type changeScenario struct{}

// Name returns "change".
func (changeScenario) Name() string { return "change" }

// Policies returns the product's policy and two baselines.
func (changeScenario) Policies() []string {
	return []string{PolicyOwn, policyPollStore, policyWatchAll}
}

// Run measures one policy with eight hosts, and the product's own with 40 hosts too.
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
	end := changeCount*changePeriod + changeSettleTime
	g.loop.RunUntil(g.begin.Add(end))
	if err := ctx.Err(); err != nil {
		return Result{}, err
	}
	return g.result(ctx, policy, seed, end)
}

// submission is a change submitted by an operator, with the answers that the operator received.
type submission struct {
	number int
	// tries counts the operator's calls, answers those that were answered or timed out.
	tries, answers int
	id             string
	outcome        commit.Outcome
	done           bool
}

// acceptance is the time at which the store accepted a version.
type acceptance struct {
	version change.Version
	at      time.Time
}

// result computes the figures from the store's audit records and the versions that the hosts had in force.
func (g *changeRig) result(ctx context.Context, policy string, seed uint64, duration time.Duration) (Result, error) {
	lags := g.lags()
	records, err := (&audit.Trail{Store: &changeStore{memory: g.memory, loop: g.loop}}).Before(ctx, change.Version(changeCount+2), audit.MaxRecords)
	if err != nil {
		return Result{}, err
	}
	auditCounts := make(map[string]int)
	for _, c := range records {
		auditCounts[c.ID]++
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
		"store_calls_per_s":  float64(g.calls) / duration.Seconds(),
		"host_observations":  float64(len(lags)),
		"message_bytes_each": 0,
	}
	for _, s := range g.submissions {
		g.countAnswers(s, auditCounts[s.id], extra)
	}
	for _, lag := range lags {
		if lag > inForceLimit {
			extra["late_over_3_s"]++
		}
	}
	if g.messages > 0 {
		extra["message_bytes_each"] = float64(g.bytes) / float64(g.messages)
	}
	busiest := 0
	for _, h := range g.hosts {
		busiest = max(busiest, h.sent)
	}
	extra["control_bytes_per_s_busiest"] = float64(busiest) / duration.Seconds()
	perHost := float64(g.bytes) / duration.Seconds() / float64(len(g.hosts))
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

// countAnswers adds the outcome of one submission to extra; recorded is the number of its audit records.
func (g *changeRig) countAnswers(s *submission, recorded int, extra map[string]float64) {
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

// lags returns the time from a change's acceptance until it was in force, for each host that did not stop meanwhile.
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
