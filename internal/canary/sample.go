package canary

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonspur/tarragonspur/internal/pool"
)

// earlyEvents is the number of events of a stream after which its speed is judged, since the end of a long stream comes too late.
const earlyEvents = 24

// testTail is how long a server stays busier than others after the load test.
const testTail = 2 * time.Second

// Sample is one request at one backend server, whose outcome is evidence. A nil Sample records nothing.
type Sample struct {
	table   *Table
	entry   *entry
	stratum Stratum
	server  uint64
	isCold  bool
	// isTest says that the server was loaded on purpose: answers are slow there whatever the version.
	isTest bool
	sentAt time.Time
	// firstAt is when the first event came, events counts those since.
	firstAt time.Time
	events  int
	isTimed bool
	isEnded bool
}

// Sent records a request that is sent to a backend server with a number of requests in progress; nil if no order concerns it.
func (t *Table) Sent(service, route string, s pool.Server, runs int) *Sample {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.orderOf(service)
	if !e.isInForce() {
		return nil
	}
	now := t.now()
	until, isKnown := t.coldUntil[s.ID]
	sample := &Sample{
		table: t, entry: e, server: xxhash.Sum64String(s.ID), sentAt: now, isCold: now.Before(until) || !isKnown && s.ColdRemaining > 0,
		stratum: Stratum{Route: RouteHash(route), IsNew: s.Version == e.order.Target, IsLoaded: 2*(runs+1) > s.Slots},
	}
	sample.isTest = sample.stratum.IsNew && (e.isLoadTest(now) || e.isLoadTest(now.Add(-testTail)))
	e.Count(sample.stratum, Counts{Sent: 1}, sample.server)
	return sample
}

// Event records an event of a stream. A server sends events of one run only at a time, so the gaps show its speed.
func (s *Sample) Event() {
	if s == nil || s.isTimed {
		return
	}
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	now := s.table.now()
	if s.firstAt.IsZero() {
		s.firstAt = now
		return
	}
	if s.events++; s.events >= earlyEvents {
		s.time(now)
	}
}

// Answered records a complete answer and whether it reports a failure.
func (s *Sample) Answered(isFailure bool) {
	if s == nil {
		return
	}
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	if s.isEnded {
		return
	}
	s.isEnded = true
	c := Counts{Answers: 1}
	if isFailure {
		c.Failures = 1
	} else {
		s.time(s.table.now())
	}
	s.entry.Count(s.stratum, c, s.server)
}

// Broke records that the answer broke off, or came in a form that can't be one.
func (s *Sample) Broke() {
	if s == nil {
		return
	}
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	if s.isEnded {
		return
	}
	s.isEnded = true
	s.entry.Count(s.stratum, Counts{Breaks: 1}, s.server)
}

// time judges the speed of the answer; the caller holds the lock. Cold servers are slow whatever their version.
func (s *Sample) time(now time.Time) {
	if s.isTimed {
		return
	}
	s.isTimed = true
	if s.isCold || s.isTest {
		return
	}
	v := Speed{First: now.Sub(s.sentAt)}
	if !s.firstAt.IsZero() {
		v.First = s.firstAt.Sub(s.sentAt)
		if s.events > 0 {
			v.Gap = now.Sub(s.firstAt) / time.Duration(s.events)
		}
	}
	isSlow, isKnown := s.entry.speeds.judge(s.stratum, v)
	c := Counts{}
	if isKnown {
		c.Timed = 1
	}
	if isSlow {
		c.Slow = 1
	}
	s.entry.Count(s.stratum, c, s.server)
}
