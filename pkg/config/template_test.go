package config

import (
	"os"
	"regexp"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// placeholderValues returns a value for each placeholder that the platform fills in.
func placeholderValues() map[string]string {
	return map[string]string{
		"nodeName|json": `"edge-d1-1"`, "zone|json": `"d1"`, "region|json": `"east"`, "listen.frontend|json": `"10.1.0.19:8740"`,
		"ip": "10.1.0.19", "internalPortRange.0": "7200", "platform.address|json": `"10.200.1.7:8742"`, "listen.ready|json": `"10.1.0.19:8749"`,
		"zones|json": `{"d1":"east"}`, "#bounds.failClosed": "", "/bounds.failClosed": "", "bounds.revokeMs": "5000",
		"#bounds.configApplyMs": "", "/bounds.configApplyMs": "", "bounds.configApplyMs": "2500",
		"#bounds.drainTimeoutMs": "", "/bounds.drainTimeoutMs": "", "bounds.drainTimeoutMs": "4000",
		"bounds.retryBudgetRatio": "0.2", "bounds.retryMinExtra": "54", "bounds.retryWindowS": "10", "bounds.gracePeriodS": "8",
		"#bounds.exposureShare": "", "/bounds.exposureShare": "", "bounds.exposureShare": "0.1", "bounds.exposureTolerance": "50", "bounds.rollbackMs": "5000",
		"seedNodes": `["10.1.0.19:8748","10.2.0.13:8748"]`, "seedNodes|json": `["10.1.0.19:8748","10.2.0.13:8748"]`, "limits.cpuQuota": "0.4", "limits.memoryLimitMb": "134",
	}
}

func TestDeploymentTemplateParses(t *testing.T) {
	text, err := os.ReadFile("../../deploy/settings.jsonc")
	assert.NilError(t, err)
	rendered := regexp.MustCompile(`\{\{([^}]*)\}\}`).ReplaceAllStringFunc(string(text), func(placeholder string) string {
		value, known := placeholderValues()[placeholder[2:len(placeholder)-2]]
		assert.Assert(t, known, placeholder)
		return value
	})
	s, err := ParseSettings([]byte(rendered))
	assert.NilError(t, err)
	assert.Equal(t, s.Peers.String(), "10.1.0.19:7200")
	assert.Equal(t, s.Metrics.String(), "10.1.0.19:9464")
	assert.Equal(t, time.Duration(s.Platform.KeyAge), 5*time.Second)
	assert.Equal(t, time.Duration(s.Platform.TableApply), 2500*time.Millisecond)
	assert.Equal(t, time.Duration(s.Platform.ServerApply), 4*time.Second)
	assert.Equal(t, time.Duration(s.Platform.Grace), 8*time.Second)
	assert.Equal(t, s.Platform.MemoryMB, int64(134))
	assert.Assert(t, s.Platform.FairShares)
	assert.Equal(t, len(s.Platform.Seeds), 2)
	assert.Assert(t, s.Platform.EvenLoad)
	assert.DeepEqual(t, s.Platform.Rollout, &Rollout{Share: 0.1, Tolerance: 50, Revert: Duration(5 * time.Second)})
}

// TestDeploymentTemplateParsesWithoutRollouts checks that a deployment without bounds on roll-outs gets no section for them.
func TestDeploymentTemplateParsesWithoutRollouts(t *testing.T) {
	text, err := os.ReadFile("../../deploy/settings.jsonc")
	assert.NilError(t, err)
	text = regexp.MustCompile(`(?s)\{\{#bounds\.exposureShare\}\}.*\{\{/bounds\.exposureShare\}\}`).ReplaceAll(text, nil)
	rendered := regexp.MustCompile(`\{\{([^}]*)\}\}`).ReplaceAllStringFunc(string(text), func(placeholder string) string {
		return placeholderValues()[placeholder[2:len(placeholder)-2]]
	})
	s, err := ParseSettings([]byte(rendered))
	assert.NilError(t, err)
	assert.Assert(t, s.Platform.Rollout == nil)
}

func TestPlatformSettingsAreChecked(t *testing.T) {
	s := Default()
	s.Platform = &Platform{Rollout: &Rollout{Tolerance: -1}}
	err := s.Check()
	assert.ErrorIs(t, err, ErrInvalid)
	for _, path := range []string{
		"platform.ready", "platform.regions", "platform.retry_window", "platform.grace", "platform.cores", "platform.memory_mb",
		"platform.rollout.share", "platform.rollout.tolerance", "platform.rollout.revert",
	} {
		assert.ErrorContains(t, err, path)
	}
}
