// Package warm limits the requests that run at once on a backend server to the load it has shown to sustain.
//
// A backend server that has just started sustains few concurrent requests. The limit grows with the output that the
// backend server produces at full speed, as in TCP slow start (Jacobson 1988). It falls back to the cold limit when
// the backend server slows down, rejects a request, fails or restarts; after a failure it is a single request, the
// probe.
package warm

import (
	"math"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/sched"
)

const (
	// tokensPerStart is the number of output tokens that raise the limit by one.
	tokensPerStart = 72.0
	// maxTokensPerStart bounds that number for a backend server that slowed down while its limit grew.
	maxTokensPerStart = 16 * tokensPerStart
	// responsesPerStart is the number of complete responses that raise the limit by one where there are no load reports.
	responsesPerStart = 1.0
	// slowGapFactor times the best token gap seen is the gap above which a backend server counts as overloaded.
	slowGapFactor = 3
	// goodGap is the token gap up to which a backend server never counts as overloaded.
	goodGap = 60 * time.Millisecond
	// minProbePause and maxProbePause bound the time between a failure and the next probe.
	minProbePause = 500 * time.Millisecond
	maxProbePause = 8 * time.Second
	// healthyReports is the number of good reports after a failure that restore the limit from before it.
	healthyReports = 3
	// maxExtrapolation is the age of a report up to which its output rate is extrapolated.
	maxExtrapolation = 600 * time.Millisecond
	// maxReportGap bounds the time between two reports for which the output is estimated.
	maxReportGap = 2 * time.Second
)

// Ramp is the limit of one backend server; it does no I/O and is not safe for concurrent use.
// ColdLimit and WarmLimit must be set before the first call and may change later.
type Ramp struct {
	// ColdLimit is the number of concurrent requests that the backend server sustains right after its start.
	ColdLimit int
	// WarmLimit is the number of concurrent requests that it sustains when it is warm.
	WarmLimit int

	growth               float64
	raisedTokensPerStart float64
	boot                 string
	lastReport           engine.Load
	reported             bool
	// reportMadeBy is the latest time at which the last report can have been made; growing is true if that report could
	// raise the limit.
	reportMadeBy time.Time
	growing      bool
	bestGap      time.Duration
	failures     int
	failedAt     time.Time
	savedGrowth  float64
	healthyCount int
	collapses    int
}

// Limit returns the number of requests that may run at once.
func (r *Ramp) Limit(now time.Time) int {
	if r.failures > 0 {
		if now.Sub(r.failedAt) < r.probePause() {
			return 0
		}
		return 1
	}
	return min(r.WarmLimit, r.effectiveColdLimit()+int(r.growth+r.extrapolatedGrowth(now)))
}

// extrapolatedGrowth estimates the growth of the limit since the last report, at that report's output rate.
func (r *Ramp) extrapolatedGrowth(now time.Time) float64 {
	if !r.growing || r.lastReport.TokenGap <= 0 {
		return 0
	}
	span := max(0, min(maxExtrapolation, now.Sub(r.reportMadeBy)))
	return float64(r.lastReport.Running) * float64(span) / float64(r.lastReport.TokenGap) / r.tokensPerStart()
}

// IsWarm reports whether the limit has grown to WarmLimit.
func (r *Ramp) IsWarm() bool {
	return r.failures == 0 && r.effectiveColdLimit()+int(r.growth) >= r.WarmLimit
}

// Collapses returns the number of times that the limit fell back to the cold one.
func (r *Ramp) Collapses() int { return r.collapses }

func (r *Ramp) effectiveColdLimit() int {
	if r.ColdLimit <= 0 {
		return r.WarmLimit
	}
	return min(r.ColdLimit, r.WarmLimit)
}

func (r *Ramp) probePause() time.Duration {
	return min(maxProbePause, minProbePause<<min(r.failures-1, 8))
}

// Report updates the limit with a load report that was made at madeBy or earlier, by the host's clock; one that isn't newer
// than the last is ignored.
func (r *Ramp) Report(l engine.Load, madeBy time.Time) {
	previous, first := r.lastReport, !r.reported
	if !first && !l.At.After(previous.At) {
		return
	}
	r.lastReport = l
	r.reportMadeBy = madeBy
	r.reported = true
	r.growing = false
	switch {
	case first && (r.boot == "" || r.boot == l.Boot):
		r.boot = l.Boot
		return
	case l.Boot != r.boot:
		r.boot = l.Boot
		r.collapse()
		return
	case r.isSlow(l):
		r.handleSlowdown()
		return
	}
	if r.failures > 0 {
		r.recover(l)
		return
	}
	r.growing = true
	r.grow(previous, l)
}

// recover restores the limit when the same boot keeps working after a failure: only the connection had failed.
func (r *Ramp) recover(l engine.Load) {
	if l.Running == 0 {
		return
	}
	r.healthyCount++
	if r.healthyCount >= healthyReports && r.savedGrowth > 0 {
		r.failures = 0
		r.growth = r.savedGrowth
		r.savedGrowth = 0
	}
}

// isSlow reports whether the token gap is far above the smallest one seen.
func (r *Ramp) isSlow(l engine.Load) bool {
	if l.Running == 0 || l.TokenGap == 0 {
		return false
	}
	if r.bestGap == 0 || l.TokenGap < r.bestGap {
		r.bestGap = l.TokenGap
	}
	return l.TokenGap > max(goodGap, slowGapFactor*r.bestGap)
}

// grow raises the limit by the output between two reports, estimated from the mean batch size and the mean token gap.
func (r *Ramp) grow(a, b engine.Load) {
	span := min(maxReportGap, b.At.Sub(a.At))
	gap := (a.TokenGap + b.TokenGap) / 2
	if gap <= 0 {
		return
	}
	tokens := float64(a.Running+b.Running) / 2 * float64(span) / float64(gap)
	r.raise(tokens / r.tokensPerStart())
}

func (r *Ramp) tokensPerStart() float64 { return max(tokensPerStart, r.raisedTokensPerStart) }

func (r *Ramp) raise(starts float64) {
	r.growth = math.Min(r.growth+starts, float64(r.WarmLimit))
}

// handleSlowdown resets the limit; a backend server that slowed down while its limit grew needs twice the tokens per
// start from then on.
func (r *Ramp) handleSlowdown() {
	if r.growth > 0 && !r.IsWarm() {
		r.raisedTokensPerStart = min(maxTokensPerStart, 2*r.tokensPerStart())
	}
	r.collapse()
}

func (r *Ramp) collapse() {
	if r.growth > 0 {
		r.collapses++
	}
	r.growth = 0
	r.savedGrowth = 0
	r.growing = false
}

// Ended updates the limit with the outcome of a request on the backend server.
func (r *Ramp) Ended(o sched.Outcome, now time.Time) {
	switch o.Result {
	case sched.ResultOK:
		if r.failures > 0 {
			r.failures = 0
			return
		}
		if !r.reported {
			r.raise(1 / responsesPerStart)
		}
	case sched.ResultFailed, sched.ResultRefused:
		r.handleFailure(o, now)
	case sched.ResultCancelled:
	}
}

// handleFailure blocks starts for a pause, after which one probe may run; failures within one pause count once.
func (r *Ramp) handleFailure(o sched.Outcome, now time.Time) {
	kept := max(r.savedGrowth, r.growth)
	if r.failures == 0 || now.Sub(r.failedAt) > r.probePause() {
		r.failures++
	}
	r.failedAt = now
	r.healthyCount = 0
	r.collapse()
	r.savedGrowth = 0
	if o.Result == sched.ResultFailed {
		r.savedGrowth = kept
	}
}

// Reset drops all evidence, for example for a backend server that returns to service.
func (r *Ramp) Reset() {
	*r = Ramp{ColdLimit: r.ColdLimit, WarmLimit: r.WarmLimit, raisedTokensPerStart: r.raisedTokensPerStart, collapses: r.collapses}
}

// Evidence returns the boot identity and the limit that the backend server has shown to sustain since that boot.
func (r *Ramp) Evidence() (boot string, limit float64) {
	return r.boot, float64(r.effectiveColdLimit()) + r.growth
}

// AdoptEvidence raises the limit to that of another host's evidence if the boot is the one that the backend server reports now.
func (r *Ramp) AdoptEvidence(boot string, limit float64) {
	if boot == "" || r.boot != boot || r.failures > 0 {
		return
	}
	r.growth = max(r.growth, limit-float64(r.effectiveColdLimit()))
}
