package queue

import (
	"cmp"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/fair"
)

// The bounds on the prefill time of a backend server's pending prompts, as shares of a request's latency target.
const (
	// onTimeDelayShare applies while the first event can still be on time. More makes all requests of a crowd late
	// together; less leaves engines idle between two batches of prompts.
	onTimeDelayShare = 0.75
	// lateDelayShare applies afterwards, so that requests that can still be on time are sent first.
	lateDelayShare = 0.2
)

// The fraction of an engine's memory that may be in use with the request. Above it, engines preempt running generations and
// prefill them again.
const (
	maxMemoryUse = 0.97
	// maxShortMemoryUse applies to short outputs, which soon free their memory.
	maxShortMemoryUse = 1.0
)

const (
	// defaultLatencyTarget applies to routes without a target.
	defaultLatencyTarget = 2 * time.Second
	// minPatience, patienceTargets and patiencePauses describe how long callers wait for a first event: the longest of a
	// fixed time and multiples of the latency target and of the longest pause.
	minPatience     = 2 * time.Second
	patienceTargets = 4
	patiencePauses  = 8
	// minRetryAfter and maxRetryAfter bound the Retry-After of refusals.
	minRetryAfter = 400 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// minDrainRate is the lowest assumed rate at which a backlog drains, as a share of the rate of starts: a crowd ends.
	minDrainRate = 0.15
)

// Request is a request that needs a backend server.
type Request struct {
	// Arrived is when the request arrived, Deadline when its caller stops waiting for the whole answer.
	Arrived  time.Time
	Deadline time.Time
	// LatencyTarget is the time to the first event that counts as on time, EventGapTarget the longest pause; 0 for none.
	LatencyTarget  time.Duration
	EventGapTarget time.Duration
	// Priority is the rank of the request, 0 the most urgent.
	Priority int
	// Prefill is the time in which an idle engine prefills the prompt.
	Prefill time.Duration
	// Output is the expected time from the first event to the last.
	Output time.Duration
	// IsShort reports whether the output is short.
	IsShort bool
	// IsRetry reports whether the request has been sent before, so that it is not counted as an arrival again.
	IsRetry bool
	// Workspace is the party whose share the request is taken from, Cost its cost in tokens; used under fair shares.
	Workspace fair.Key
	Cost      float64
	// Wait is set, under fair shares, to why the request has waited by when its wait ends; may be nil.
	Wait *Wait
}

// Limits bound the load of a backend server that may receive a request.
type Limits struct {
	// Delay is the time in which the server prefills the prompts that are pending there.
	Delay time.Duration
	// MemoryUse is the fraction of the engine's memory that is in use with the request.
	MemoryUse float64
	// Reserve is the number of requests that the servers must have room for besides this one: more urgent ones at other hosts.
	Reserve int
	// FreeSlot restricts plain requests to servers with a free slot, as far as known, and SlotShare is the part of all slots that this
	// host's plain requests may use, 0 for no bound.
	FreeSlot  bool
	SlotShare float64
}

// isWithin reports whether every server within the limits is also within others.
func (l Limits) isWithin(o Limits) bool {
	return l.Delay <= o.Delay && l.MemoryUse <= o.MemoryUse && l.Reserve >= o.Reserve
}

func (r Request) target() time.Duration {
	if r.LatencyTarget <= 0 {
		return defaultLatencyTarget
	}
	return r.LatencyTarget
}

// IsLate reports whether the first event can't be on time anymore, even at an idle engine.
func (r Request) IsLate(now time.Time) bool {
	return now.Add(r.Prefill).After(r.Arrived.Add(r.target()))
}

// Limits returns the bounds at a time. Load pattern: a crowd; prompts that engines prefill one after another make every
// request late, and memory that runs out makes engines prefill prompts again.
func (r Request) Limits(now time.Time) Limits {
	l := Limits{MemoryUse: maxMemoryUse}
	if r.IsShort {
		l.MemoryUse = maxShortMemoryUse
	}
	target := float64(r.target())
	left := r.Arrived.Add(r.target()).Sub(now) - r.Prefill
	l.Delay = max(time.Duration(lateDelayShare*target), min(time.Duration(onTimeDelayShare*target), left))
	return l
}

// LastStart returns the latest time at which a start still serves the caller: its first event must come before the caller
// loses patience, and the whole answer before the deadline.
func (r Request) LastStart() time.Time {
	patience := max(minPatience, patienceTargets*r.LatencyTarget, patiencePauses*r.EventGapTarget)
	last := r.Arrived.Add(patience - r.Prefill)
	if end := r.Deadline.Add(-r.Prefill - r.Output); end.Before(last) {
		return end
	}
	return last
}

// compare orders waiting requests: those that can still be on time, then by the operators' priority, then by arrival. Load
// patterns: a crowd beyond capacity; short notes behind long prompts.
func compare(a, b Request, now time.Time) int {
	if late, otherLate := a.IsLate(now), b.IsLate(now); late != otherLate {
		if late {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.Arrived.Compare(b.Arrived))
}

// Backlog describes the requests that wait for one service, at all hosts as far as known.
type Backlog struct {
	// Waiting is the number of requests that wait.
	Waiting int
	// Arrivals and Starts are the rates at which requests arrive and their answers begin, in requests a second.
	Arrivals float64
	Starts   float64
	// Classes counts the waiting requests by urgency, and Uses is what workspaces take; only under fair shares.
	Classes Classes
	Uses    fair.Uses
}

// Combine returns the sum with another backlog, or the difference if sign is -1.
func (b Backlog) Combine(o Backlog, sign int) Backlog {
	b.Waiting += sign * o.Waiting
	b.Arrivals += float64(sign) * o.Arrivals
	b.Starts += float64(sign) * o.Starts
	for i, n := range o.Classes {
		b.Classes[i] += sign * n
	}
	if sign > 0 {
		b.Uses = b.Uses.Plus(o.Uses)
	} else {
		b.Uses = b.Uses.Minus(o.Uses)
	}
	return b
}

// Drain returns how long the backlog takes to drain.
func (b Backlog) Drain() time.Duration {
	if b.Waiting == 0 {
		return 0
	}
	rate := max(b.Starts-b.Arrivals, minDrainRate*b.Starts)
	if rate <= 0 {
		return maxRetryAfter
	}
	return min(maxRetryAfter, time.Duration(float64(b.Waiting)/rate*float64(time.Second)))
}

// MustRefuse reports whether waiting longer is of no use to the caller: the last useful start has passed, or the request is
// late and the backlog drains only after its last useful start. Load pattern: a crowd beyond capacity.
func (r Request) MustRefuse(b Backlog, now time.Time) bool {
	last := r.LastStart()
	return now.After(last) || r.IsLate(now) && now.Add(b.Drain()).After(last)
}

// RetryAfter returns when a refused caller should return: when the backlog has drained. spread is a number from 0 to 1 that
// differs between callers. Load pattern: callers that all return at the same moment.
func (b Backlog) RetryAfter(spread float64) time.Duration {
	drain := float64(max(minRetryAfter, b.Drain()))
	return time.Duration(drain * (0.75 + spread/2))
}
