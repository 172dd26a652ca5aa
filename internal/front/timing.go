package front

import (
	"time"

	"github.com/tarragonspur/tarragonspur/internal/policy"
	"github.com/tarragonspur/tarragonspur/internal/pool"
)

const (
	// minGap is the shortest wait for an event that tells the server's speed: events that wait for the reader come at once.
	minGap = time.Millisecond
	// maxReaderDelay is the longest time between an event and the reader's wait for the next one in which the gap is the server's, not
	// that of a caller who reads slowly.
	maxReaderDelay = 5 * time.Millisecond
)

// serverTiming tells the pool the gaps between the events that a backend server sends.
type serverTiming struct{ last time.Time }

// record records that an event arrived for which the reader has waited since a time.
func (t *serverTiming) record(l *pool.Lease, waitedSince, now time.Time) {
	if !t.last.IsZero() && waitedSince.Sub(t.last) <= maxReaderDelay && now.Sub(waitedSince) >= minGap {
		l.RecordGap(now.Sub(t.last), now)
	}
	t.last = now
}

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
