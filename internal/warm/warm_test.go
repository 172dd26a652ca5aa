package warm_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/sched"
	"github.com/tarragonspur/tarragonspur/internal/warm"
)

const (
	reportPeriod = 250 * time.Millisecond
	gap          = 20 * time.Millisecond
)

// engineFeed sends a ramp the load reports of a simulated engine.
type engineFeed struct {
	ramp *warm.Ramp
	now  time.Time
}

func newEngineFeed(cold, most int) *engineFeed {
	return &engineFeed{ramp: &warm.Ramp{ColdLimit: cold, WarmLimit: most}, now: time.Unix(1000, 0)}
}

func (f *engineFeed) report(boot string, running int, gap time.Duration) {
	f.now = f.now.Add(reportPeriod)
	f.ramp.Report(engine.Load{Boot: boot, At: f.now, Running: running, TokenGap: gap}, f.now)
}

func (f *engineFeed) warmUp(t *testing.T) {
	t.Helper()
	for range 400 {
		f.report("a", f.ramp.Limit(f.now), gap)
	}
	assert.Assert(t, f.ramp.IsWarm())
}

func TestLimitGrowsWithOutputOnly(t *testing.T) {
	f := newEngineFeed(2, 64)
	for range 400 {
		f.report("a", 0, 0)
	}
	assert.Equal(t, f.ramp.Limit(f.now), 2, "the limit must not grow while the engine is idle")
	last := 2
	for range 40 {
		f.report("a", last, gap)
		now := f.ramp.Limit(f.now)
		assert.Assert(t, now >= last && now <= 2*last+1, "limit grew from %d to %d", last, now)
		last = now
	}
	assert.Assert(t, last > 8)
}

// TestLimitIncludesOutputSinceReportWasMade gives a ramp a report of 20 sequences, each of which produces a token in 20 ms.
func TestLimitIncludesOutputSinceReportWasMade(t *testing.T) {
	tests := []struct {
		name string
		age  time.Duration
		want int
	}{
		{"just made", 0, 2},
		{"300 tokens later", 300 * time.Millisecond, 6},
		{"600 tokens later", 600 * time.Millisecond, 10},
		{"too old to extrapolate further", time.Hour, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ramp, madeBy := &warm.Ramp{ColdLimit: 2, WarmLimit: 64}, time.Unix(1000, 0)
			for i := range 2 {
				ramp.Report(engine.Load{Boot: "a", At: madeBy.Add(time.Duration(i)), Running: 20, TokenGap: gap}, madeBy)
			}
			assert.Equal(t, ramp.Limit(madeBy.Add(tt.age)), tt.want)
		})
	}
}

func TestLimitFallsBack(t *testing.T) {
	tests := []struct {
		name  string
		event func(f *engineFeed)
		want  int
	}{
		{"new boot", func(f *engineFeed) { f.report("b", 64, gap) }, 2},
		{"slow", func(f *engineFeed) { f.report("a", 64, 30*gap) }, 2},
		{"reset", func(f *engineFeed) { f.ramp.Reset() }, 2},
		{"refusal", func(f *engineFeed) { f.ramp.Ended(sched.Outcome{Result: sched.ResultRefused}, f.now) }, 0},
		{"failure", func(f *engineFeed) { f.ramp.Ended(sched.Outcome{Result: sched.ResultFailed}, f.now) }, 0},
		{"cancelled by the caller", func(f *engineFeed) { f.ramp.Ended(sched.Outcome{Result: sched.ResultCancelled}, f.now) }, 64},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newEngineFeed(2, 64)
			f.warmUp(t)
			tt.event(f)
			assert.Equal(t, f.ramp.Limit(f.now), tt.want)
		})
	}
}

func TestFailingBackendIsProbedWithOneRequest(t *testing.T) {
	f := newEngineFeed(4, 64)
	pause := time.Duration(0)
	for range 4 {
		f.ramp.Ended(sched.Outcome{Result: sched.ResultFailed}, f.now)
		began := f.now
		for f.ramp.Limit(f.now) == 0 {
			f.now = f.now.Add(10 * time.Millisecond)
		}
		assert.Equal(t, f.ramp.Limit(f.now), 1)
		assert.Assert(t, f.now.Sub(began) > pause, "the pause must grow with each failure")
		pause = f.now.Sub(began)
		f.now = f.now.Add(10 * time.Millisecond)
	}
	f.ramp.Ended(sched.Outcome{Result: sched.ResultOK}, f.now)
	assert.Equal(t, f.ramp.Limit(f.now), 4)
}

func TestBrokenConnectionKeepsLimitOfWorkingEngine(t *testing.T) {
	f := newEngineFeed(2, 64)
	f.warmUp(t)
	f.ramp.Ended(sched.Outcome{Result: sched.ResultFailed}, f.now)
	for range 3 {
		assert.Assert(t, f.ramp.Limit(f.now) <= 1)
		f.report("a", 60, gap)
	}
	assert.Assert(t, f.ramp.IsWarm())
}

func TestEvidenceIsValidForOneBoot(t *testing.T) {
	f := newEngineFeed(2, 64)
	f.report("a", 2, gap)
	f.ramp.AdoptEvidence("b", 40)
	assert.Equal(t, f.ramp.Limit(f.now), 2)
	f.ramp.AdoptEvidence("a", 40)
	assert.Equal(t, f.ramp.Limit(f.now), 40)
}

func TestResponsesRaiseLimitWithoutReports(t *testing.T) {
	f := newEngineFeed(1, 8)
	for i := range 10 {
		assert.Equal(t, f.ramp.Limit(f.now), min(8, 1+i))
		f.ramp.Ended(sched.Outcome{Result: sched.ResultOK}, f.now)
	}
}
