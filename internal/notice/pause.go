package notice

import "time"

// pause records that a server wants nothing from this host for a time; the caller holds the lock. A shorter pause than one that has
// begun changes nothing, because the server counts on both.
func (t *Table) pause(s *state, pause, now time.Duration) {
	if pause <= 0 || now+pause <= s.pausedUntil {
		return
	}
	if s.pausedUntil <= now {
		s.hasSentInPause = false
	}
	s.pausedUntil = now + pause
	t.Log.Info("backend server wants no requests", "server", s.ID, "service", s.Service, "for", pause)
}

// waitForPause returns how long a server wants nothing from this host; the caller holds the lock. One run may be resumed in a pause:
// it can't wait, and servers bear two requests.
func (s *state) waitForPause(isResumed bool, now time.Duration) time.Duration {
	if isResumed && !s.hasSentInPause {
		return 0
	}
	return max(0, s.pausedUntil-now)
}
