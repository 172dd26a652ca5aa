package watch

import (
	"log/slog"
	"sync"
	"time"
)

const (
	// returnGrace is how long after the store's return entries that lapsed meanwhile may take to come back.
	returnGrace = 2 * time.Second
	// awayAfter is how long calls must fail until the store counts as away; a store that forgets its history breaks
	// its connections for a moment.
	awayAfter = 300 * time.Millisecond
)

// outage is a time without success; the zero value is none.
type outage struct {
	since time.Time
}

// note takes an outcome.
func (o *outage) note(ok bool, now time.Time) {
	switch {
	case ok:
		o.since = time.Time{}
	case o.since.IsZero():
		o.since = now
	}
}

// lasts reports whether there has been no success for so long that it is more than a broken connection.
func (o *outage) lasts(now time.Time) bool { return !o.since.IsZero() && now.Sub(o.since) >= awayAfter }

// Health is what this host has seen of the store. The zero value has seen nothing.
type Health struct {
	Log *slog.Logger

	mu       sync.Mutex
	failed   int
	outage   outage
	returned time.Time
}

// Note takes the outcome of a call. One failed call is no outage yet, since a single connection may break.
func (h *Health) Note(ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	switch {
	case ok && h.failed > 0:
		h.returned = now
		h.Log.Info("store regained", "failed_calls", h.failed, "away", now.Sub(h.outage.since))
		h.failed = 0
	case !ok:
		if h.failed == 0 {
			h.Log.Warn("store lost")
		}
		h.failed++
	}
	h.outage.note(ok, now)
}

// Sight is whether one sink is in step with the store. The zero value is in step; nil takes no notes.
type Sight struct {
	mu     sync.Mutex
	outage outage
}

func (s *Sight) note(inStep bool) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage.note(inStep, time.Now())
}

// IsLost reports whether the sink has been out of step for so long that notices may have been missed.
func (s *Sight) IsLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage.lasts(time.Now())
}

// IsAway reports whether the store has not answered for so long that notices may have been missed.
func (h *Health) IsAway() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.outage.lasts(time.Now())
}

// GoneAt returns the time at which an entry that vanished now is to be taken as gone: now, unless the store was away.
func (h *Health) GoneAt(now time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failed > 0 {
		return now.Add(returnGrace)
	}
	if until := h.returned.Add(returnGrace); until.After(now) {
		return until
	}
	return now
}
