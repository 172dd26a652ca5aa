package budget_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/budget"
)

func TestRetryBoundsSends(t *testing.T) {
	tests := []struct {
		name     string
		retry    *budget.Retry
		arrivals int
		want     int
	}{
		{"only the burst without arrivals", &budget.Retry{Ratio: 0.1, Burst: 3}, 0, 3},
		{"default ratio is below a tenth", &budget.Retry{}, 2000, 2195},
		{"ratio of arrivals", &budget.Retry{Ratio: 0.125, Burst: 1}, 800, 900},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sends := 0
			for range max(1, tt.arrivals) {
				if tt.arrivals > 0 {
					tt.retry.Arrived()
					sends++
				}
				for tt.retry.Allow() {
					sends++
				}
			}
			assert.Assert(t, sends <= tt.want && sends >= tt.want-1, "sends %d, want %d", sends, tt.want)
		})
	}
}

func TestRetrySavesUpToItsBurst(t *testing.T) {
	r := &budget.Retry{Ratio: 1, Burst: 2}
	for range 100 {
		r.Arrived()
	}
	assert.Assert(t, r.Allow())
	assert.Assert(t, r.Allow())
	assert.Assert(t, !r.Allow())
	r.Arrived()
	assert.Assert(t, r.Allow())
}
