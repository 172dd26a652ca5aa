package bench

import (
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
