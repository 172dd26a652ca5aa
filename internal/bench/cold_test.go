package bench

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

// TestColdBackendsAreNotOverloaded simulates the variants with eight hosts; a baseline shows that the load can overload
// the backend servers.
func TestColdBackendsAreNotOverloaded(t *testing.T) {
	tests := []struct {
		name    string
		variant coldVariant
	}{
		{"all start at once", coldStartOnly},
		{"partition", coldPartition},
		{"host death", coldHostDeath},
		{"joining host", coldHostJoin},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := coldScenario{"cold", 8, 4, tt.variant, coldWindow}
			own, err := c.simulate(PolicyOwn, 1)
			assert.NilError(t, err)
			assert.Equal(t, own.overloadStarts(), 0)
			assert.Equal(t, own.deaths(), 0)
		})
	}
	baseline, err := coldScenario{"cold", 8, 4, coldPartition, coldWindow}.simulate(policyOwnerOnly, 1)
	assert.NilError(t, err)
	assert.Assert(t, baseline.overloadStarts() > 0)
}

func TestRemovedDomainReceivesNoStarts(t *testing.T) {
	own, err := domainScenario{}.simulate(PolicyOwn, 1)
	assert.NilError(t, err)
	assert.Equal(t, own.lateStarts, 0)
	assert.Equal(t, own.interruptedStreams(), 0)
	assert.Equal(t, own.doubleRuns, 0)
	assert.Equal(t, own.overloadStarts(), 0)
	baseline, err := domainScenario{}.simulate(policyPlatform, 1)
	assert.NilError(t, err)
	assert.Assert(t, baseline.lateStarts > 0)
}

// TestFullThroughputInTime compares the time to full throughput with that of an ideal policy, which sees the engines'
// capacity without lag; the shorter their warm-up, the more the lag of reports counts.
func TestFullThroughputInTime(t *testing.T) {
	const maxRatio, minCompleted = 1.5, 0.99
	tests := []struct {
		name     string
		scenario Scenario
		seed     uint64
	}{
		{"cold", coldScenario{"cold", 8, 4, coldStartOnly, coldWindow}, 3},
		{"domain, fast warm-up", domainScenario{}, 3},
		{"domain, medium warm-up", domainScenario{}, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			own, err := tt.scenario.Run(context.Background(), PolicyOwn, tt.seed)
			assert.NilError(t, err)
			assert.Assert(t, own.Extra["full_throughput_ratio"] <= maxRatio, "%v", own.Extra["full_throughput_ratio"])
			assert.Equal(t, *own.OverloadStarts, 0)
			if part, ok := own.Extra["completed_of_remaining"]; ok {
				assert.Assert(t, part >= minCompleted, "%v", part)
			}
		})
	}
}
