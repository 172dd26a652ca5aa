package front

import (
	"time"

	"github.com/tarragonspur/tarragonspur/internal/policy"
)

// eventTiming records the timing of a stream's events.
type eventTiming struct {
	first time.Duration
	last  time.Time
	// gap is the longest pause between two events, before the event gapAt.
	gap   time.Duration
	gapAt int
}

// record records that an event was forwarded.
func (p *eventTiming) record(now, arrived time.Time, number int) {
	if p.last.IsZero() {
		p.first = now.Sub(arrived)
	} else if gap := now.Sub(p.last); gap > p.gap {
		p.gap, p.gapAt = gap, number
	}
	p.last = now
}

// sinceLast returns the time since the last event; 0 before the first.
func (p *eventTiming) sinceLast(now time.Time) time.Duration {
	if p.last.IsZero() {
		return 0
	}
	return now.Sub(p.last)
}

// logAttributes returns the timing as log attributes.
func (p *eventTiming) logAttributes() []any {
	return []any{"first_event", p.first, "longest_gap", p.gap, "gap_before", p.gapAt}
}

// missedTarget returns which latency target of its route a complete stream missed; empty for none.
func (p *eventTiming) missedTarget(r *policy.Route) string {
	switch {
	case r.LatencyTarget > 0 && p.first > r.LatencyTarget:
		return "first event"
	case r.EventGapTarget > 0 && p.gap > r.EventGapTarget:
		return "pause"
	default:
		return ""
	}
}
