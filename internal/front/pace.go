package front

import (
	"time"

	"github.com/tarragonspur/tarragonspur/internal/policy"
)

// pace is the timing of a stream's events.
type pace struct {
	first time.Duration
	last  time.Time
	// gap is the longest pause between two events, before the event gapAt.
	gap   time.Duration
	gapAt int
}

// event notes that an event was forwarded.
func (p *pace) event(now, arrived time.Time, number int) {
	if p.last.IsZero() {
		p.first = now.Sub(arrived)
	} else if gap := now.Sub(p.last); gap > p.gap {
		p.gap, p.gapAt = gap, number
	}
	p.last = now
}

// fields returns the timing for a log line.
func (p *pace) fields() []any {
	return []any{"first_event", p.first, "longest_gap", p.gap, "gap_before", p.gapAt}
}

// late says by what a whole stream missed its route's aims; empty if it did not.
func (p *pace) late(r *policy.Route) string {
	switch {
	case r.LatencyTarget > 0 && p.first > r.LatencyTarget:
		return "first event"
	case r.EventGapTarget > 0 && p.gap > r.EventGapTarget:
		return "pause"
	default:
		return ""
	}
}
