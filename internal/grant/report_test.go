package grant_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/grant"
)

// TestLimitIncludesOutputSinceLateReport starts 20 requests, and one more 450 ms before a load report arrives.
func TestLimitIncludesOutputSinceLateReport(t *testing.T) {
	const cold = 40
	tests := []struct {
		name  string
		shown int
		// clock is the difference of the backend server's clock.
		clock time.Duration
		want  int
	}{
		{"made before the last start, 400 tokens ago", 20, 0, cold + 5},
		{"made after the last start", 21, 0, cold},
		{"fresh, clock behind", 21, -time.Hour, cold},
		{"fresh, clock ahead", 21, time.Hour, cold},
		{"late, clock ahead", 20, time.Hour, cold + 5},
		{"shows another owner's requests", 30, 0, cold},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ledger, now := &grant.Ledger{Self: "a", Domain: "d", Incarnation: 1, Period: period}, time.Unix(1_000_000, 0)
			ledger.SetBackends([]grant.Backend{{Name: "e", Domain: "d", Max: 128, Cold: cold}})
			for i := range 20 {
				ledger.Started("e", strconv.Itoa(i), now)
			}
			load := engine.Load{Boot: "1", At: now.Add(tt.clock), Running: tt.shown, TokenGap: 20 * time.Millisecond}
			ledger.Report("e", load, now)
			now = now.Add(time.Second)
			ledger.Started("e", "last", now)
			now = now.Add(450 * time.Millisecond)
			load.At = load.At.Add(time.Nanosecond)
			ledger.Report("e", load, now)
			assert.Equal(t, ledger.Limit("e", now), tt.want)
		})
	}
}
