package front

import (
	"fmt"
	"math"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/policy"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
)

// minStopTime is the time that must be left on a stopping host to accept any request.
const minStopTime = 1500 * time.Millisecond

// stop is the schedule of a stopping host.
type stop struct {
	// rerouted is when the load balancer has certainly stopped to select the host for new connections.
	rerouted time.Time
	// end is when the host aborts the requests still in progress.
	end time.Time
}

// StopAt makes the host refuse new requests that may not be answered before end. Until rerouted, when callers have not been
// able to avoid the host, plain requests are refused only if they would usually not be answered.
func (f *Front) StopAt(rerouted, end time.Time) { f.stop.Store(&stop{rerouted: rerouted, end: end}) }

// checkStop refuses the request if the host may stop before its answer is complete.
func (q *request) checkStop(now time.Time) error {
	s := q.stop.Load()
	if s == nil {
		return nil
	}
	needed := q.longestAnswer()
	if q.route.Kind != policy.Streaming && now.Before(s.rerouted) {
		needed = 0
	}
	left := s.end.Sub(now)
	if left >= max(needed, minStopTime) {
		return nil
	}
	return retryable(refuse.CodeDraining, fmt.Sprintf("the host stops in %.1f s, the answer may take %.1f s", left.Seconds(), needed.Seconds()))
}

// longestAnswer returns the time within which the answer is complete: the request's time limit, or, for a stream that keeps
// its route's latency targets, that of its maximum output. The caller's estimate of the output bounds nothing.
func (q *request) longestAnswer() time.Duration {
	limit := q.effectiveTimeout()
	engine := q.service.Engine
	if q.route.Kind != policy.Streaming || engine == nil || engine.EventTokens <= 0 || q.MaxOutput <= 0 ||
		q.route.LatencyTarget <= 0 || q.route.EventGapTarget <= 0 {
		return limit
	}
	events := math.Ceil(float64(q.MaxOutput) / float64(engine.EventTokens))
	onTime := q.route.LatencyTarget.Seconds() + events*q.route.EventGapTarget.Seconds()
	return time.Duration(min(onTime, limit.Seconds()) * float64(time.Second))
}
