package bench

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestChangesComeIntoForceWithoutReverts(t *testing.T) {
	r, err := runChange(t.Context(), PolicyOwn, 1, changeHosts)
	assert.NilError(t, err)
	assert.Assert(t, *r.InForceP99S <= inForceLimit.Seconds(), "%v", *r.InForceP99S)
	assert.Equal(t, *r.Reverts, 0)
	for _, name := range []string{"late_over_3_s", "audit_missing", "audit_duplicates", "false_answers", "answers_unknown"} {
		assert.Equal(t, r.Extra[name], 0.0, name)
	}
	assert.Equal(t, r.Extra["answers_accepted"], float64(changeCount))
	again, err := runChange(t.Context(), PolicyOwn, 1, changeHosts)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, r)
}

func TestChangeBaselinesMissTargets(t *testing.T) {
	poll, err := runChange(t.Context(), policyPollStore, 1, changeHosts)
	assert.NilError(t, err)
	assert.Assert(t, *poll.Reverts > 0)
	assert.Assert(t, poll.Extra["audit_missing"] > 0)
	watch, err := runChange(t.Context(), policyWatchAll, 1, changeHosts)
	assert.NilError(t, err)
	assert.Assert(t, *watch.InForceP99S > inForceLimit.Seconds())
}
