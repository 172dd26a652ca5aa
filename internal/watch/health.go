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

// Health is what this host has seen of the store. The zero value has seen nothing.
type Health struct {
	Log *slog.Logger

	mu       sync.Mutex
	failed   int
	since    time.Time
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
		h.Log.Info("store regained", "failed_calls", h.failed, "away", now.Sub(h.since))
		h.failed = 0
	case !ok:
		if h.failed == 0 {
			h.since = now
			h.Log.Warn("store lost")
		}
		h.failed++
	}
}

// Sight is whether one sink is in step with the store. The zero value is in step; nil takes no notes.
type Sight struct {
	mu   sync.Mutex
	lost time.Time
}

func (s *Sight) note(inStep bool) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case inStep:
		s.lost = time.Time{}
	case s.lost.IsZero():
		s.lost = time.Now()
	}
}

// IsLost reports whether the sink has been out of step for so long that notices may have been missed.
func (s *Sight) IsLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lost.IsZero() && time.Since(s.lost) >= awayAfter
}

// IsAway reports whether the store has not answered for so long that notices may have been missed.
func (h *Health) IsAway() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failed > 0 && time.Since(h.since) >= awayAfter
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
