package faults_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/bench/faults"
)

// violations are the counts that must be zero under the product's policy.
type violations struct {
	Cut, Duplicate, Missing, Mixed, FalseNotRun, Foreign, WrongDelivered, AfterEnd, KillerStarts, LeftRuns, Overlaps int
}

func violationsOf(c faults.Counts) violations {
	return violations{
		Cut: c.Cut, Duplicate: c.DuplicateTokens, Missing: c.MissingTokens, Mixed: c.MixedGenerations,
		FalseNotRun: c.FalseNotRun, Foreign: c.ForeignAnswers, WrongDelivered: c.WrongTokenCounts,
		AfterEnd: c.TokensAfterEnd, KillerStarts: c.LateStarts, LeftRuns: c.OrphanedRuns, Overlaps: c.Overlaps,
	}
}

func TestOwnPolicyHasNoViolations(t *testing.T) {
	c := faults.Run(faults.PolicyOwn, 2)
	assert.Equal(t, violationsOf(c), violations{})
	assert.Assert(t, c.RepeatableCompleted*1000 >= c.Repeatable*999, "%d of %d complete", c.RepeatableCompleted, c.Repeatable)
	assert.Assert(t, c.Sends*10 < c.Answers*11, "%d sends for %d answers", c.Sends, c.Answers)
	assert.Assert(t, c.LongestGap < 3*time.Second, "longest gap %s", c.LongestGap)
	assert.Equal(t, c, faults.Run(faults.PolicyOwn, 2), "two runs of the same seed differ")
}

// TestBaselineHasViolations checks that the counts detect the errors of the baseline.
func TestBaselineHasViolations(t *testing.T) {
	w := violationsOf(faults.Run(faults.PolicyRetrying, 2))
	assert.Assert(t, w.Duplicate > 0 && w.Missing > 0 && w.Mixed > 0 && w.FalseNotRun > 0 && w.Cut > 0 && w.Foreign > 0, "%+v", w)
}
