package watch

import (
	"log/slog"
	"sync"
	"time"
)

const (
	// returnGrace is how long after an outage of the store backend servers may take to register entries that expired.
	returnGrace = 2 * time.Second
	// outageThreshold is how long calls must fail before the store counts as unreachable. A store that drops its history
	// breaks its connections for a moment.
	outageThreshold = 300 * time.Millisecond
)

// outage is a period without success; the zero value is none.
type outage struct {
	since time.Time
}

// record records the outcome of a call: a success ends the outage, a failure begins one.
func (o *outage) record(ok bool, now time.Time) {
	switch {
	case ok:
		o.since = time.Time{}
	case o.since.IsZero():
		o.since = now
	}
}

// exceedsThreshold reports whether the period is too long for a single broken connection.
func (o *outage) exceedsThreshold(now time.Time) bool {
	return !o.since.IsZero() && now.Sub(o.since) >= outageThreshold
}

// Health tracks whether this host's calls reach the store. Only Log must be set.
type Health struct {
	Log *slog.Logger

	mu          sync.Mutex
	failedCalls int
	outage      outage
	recoveredAt time.Time
}

// Record records the outcome of a call and logs when the store is lost or regained.
func (h *Health) Record(ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	switch {
	case ok && h.failedCalls > 0:
		h.recoveredAt = now
		h.Log.Info("store regained", "failed_calls", h.failedCalls, "away", now.Sub(h.outage.since))
		h.failedCalls = 0
	case !ok:
		if h.failedCalls == 0 {
			h.Log.Warn("store lost")
		}
		h.failedCalls++
	}
	h.outage.record(ok, now)
}

// SyncStatus tracks whether one sink is in sync with the store. The zero value is in sync; nil records nothing.
type SyncStatus struct {
	mu     sync.Mutex
	outage outage
}

func (s *SyncStatus) record(inSync bool) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage.record(inSync, time.Now())
}

// IsOutOfSync reports whether the sink has been out of sync for so long that it may have missed changes.
func (s *SyncStatus) IsOutOfSync() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage.exceedsThreshold(time.Now())
}

// IsUnreachable reports whether the store has not answered for so long that changes may have been missed. A single
// failed call is no outage, since a connection may break.
func (h *Health) IsUnreachable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.outage.exceedsThreshold(time.Now())
}

// RemovalTime returns the time from which an entry that disappears now counts as removed: now, or returnGrace later
// while calls to the store fail, or returnGrace after they last succeeded again.
func (h *Health) RemovalTime(now time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failedCalls > 0 {
		return now.Add(returnGrace)
	}
	if until := h.recoveredAt.Add(returnGrace); until.After(now) {
		return until
	}
	return now
}
