package notice

import "time"

const (
	// A host may save the sends of tokenTime, and up to maxTokens where all hosts together save no more than savedPerLimit times the
	// limit and moreSaved: it has no request at the moment at which it may send one.
	tokenTime     = 500 * time.Millisecond
	maxTokens     = 2.0
	savedPerLimit = 2
	moreSaved     = 4
	// shareAge is how long a share is used before it is read again.
	shareAge = 200 * time.Millisecond
	// maxWait bounds the waits that are returned.
	maxWait = 10 * time.Second
	// otherHostWait is the wait where only other hosts may send: callers that return may reach one of them.
	otherHostWait = time.Second
	// idleTokens bounds what a host that has no part of a limit keeps for when it has one.
	idleTokens = 0.5
	// makeUpShare is the part of a limit at which a host that has none makes up for what it has sent in advance.
	makeUpShare = 0.02
)

// Wait returns how long until this host may send one more request to a backend server, by its limit and the pause that it wants; 0
// if it may send one now. A run that is resumed there may take the next send in advance, and one may be within a pause.
func (t *Table) Wait(server string, isResumed bool) time.Duration {
	if t.count.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[server]
	if s == nil {
		return 0
	}
	return max(s.waitForPause(isResumed, t.now()), t.waitForLimit(s, isResumed))
}

// waitForLimit returns how long until the server's limit allows one more request from this host; the caller holds the lock.
func (t *Table) waitForLimit(s *state, isResumed bool) time.Duration {
	if !s.isLimited() {
		return 0
	}
	rate := t.accrue(s)
	missing := 1 - s.tokens
	if isResumed {
		missing--
	}
	if missing <= 0 {
		return 0
	}
	if rate == 0 {
		return otherHostWait
	}
	return min(maxWait, max(time.Millisecond, time.Duration(missing/rate*float64(time.Second))))
}

// IsLimited reports whether a backend server has stated a limit that is in force.
func (t *Table) IsLimited(server string) bool {
	if t.count.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[server]
	return s != nil && s.isLimited()
}

// Limited returns the number of backend servers that state a limit or want no requests from this host.
func (t *Table) Limited() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.servers {
		if s.isLimited() || t.now() < s.pausedUntil {
			n++
		}
	}
	return n
}

// Sent records a request that this host sends to a backend server. Those that can't wait are recorded too, so that later ones wait
// for longer.
func (t *Table) Sent(server string) {
	if t.count.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[server]
	if s == nil {
		return
	}
	if s.isLimited() {
		t.accrue(s)
		s.tokens--
	}
	if t.now() < s.pausedUntil {
		s.hasSentInPause = true
	}
}

// accrue adds the sends that have become due since the last call and returns their rate a second; the caller holds the lock.
func (t *Table) accrue(s *state) float64 {
	now := t.now()
	if s.sharedAt == 0 || now-s.sharedAt >= shareAge {
		s.share, s.sharedAt = 1, now
		if t.Share != nil {
			s.share = t.Share(s.ID, s.Service, s.limit)
		}
	}
	rate := s.limit * s.share
	most := max(1, min(maxTokens, (savedPerLimit*s.limit+moreSaved)*s.share), rate*tokenTime.Seconds())
	if s.share == 0 {
		// What was sent in advance is made up for all the same.
		rate, most = s.limit*makeUpShare, min(max(0, s.tokens), idleTokens)
	}
	s.tokens = min(s.tokens+rate*(now-s.accruedAt).Seconds(), most)
	s.accruedAt = now
	return s.limit * s.share
}
