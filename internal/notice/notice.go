// Package notice keeps what backend servers state of themselves in their answers, by server and incarnation, and shares a stated
// limit among all hosts.
package notice

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

const (
	// endDelay is the time between the last answer with a limit and one without, after which the limit has ended: answers of
	// the same moment may arrive in any order, and a server may state it in some of them only.
	endDelay = 2 * time.Second
	// forgetAfter is how long a state without news is kept: the server has ended or gets no requests. forgetLeavingAfter is the
	// same for one that leaves, which gets none; it counts from the last time that a caller asked about it.
	forgetAfter        = time.Minute
	forgetLeavingAfter = 10 * time.Minute
	// maxAge is the age up to which other hosts' statements count, however short a time this machine has been up.
	maxAge = 24 * time.Hour
	// minLimit is the lowest limit in requests a second that is kept to: at none, no answer could end it.
	minLimit = 0.05
	// maxLimit is what a higher limit counts as; no deployment sends as much.
	maxLimit = 1e6
	// maxServers bounds the backend servers with a state.
	maxServers = 1024
)

// Statement is what one answer states of the backend server that gave it.
type Statement struct {
	// Limit is the number of requests a second that the server takes from all hosts together; 0 if it states none.
	Limit float64
	// IsLeaving reports that the server will end; new requests should go to others.
	IsLeaving bool
	// Pause is the time for which the server wants nothing from the host that it answers; 0 if it states none.
	Pause time.Duration
}

// Server identifies a backend server and its incarnation.
type Server struct {
	ID      string
	Service string
	// StartedMS is the start time of the incarnation in Unix milliseconds; 0 if unknown.
	StartedMS int64
}

// Table holds what backend servers have stated. It is safe for concurrent use; it calls Share with the lock held.
type Table struct {
	// Share returns the part of a backend server's limit, from 0 to 1, that this host may use; nil means all of it.
	Share func(server, service string, limit float64) float64
	// OnChange is called after a change that is to be broadcast without delay; may be nil.
	OnChange func()
	// Now returns the time of a monotonic clock; nil means that of package ticks.
	Now func() time.Duration
	// Phase returns a number from 0 to 1 that keeps hosts from sending at the same moment; nil means random.
	Phase func() float64
	Log   *slog.Logger

	// count is the number of servers with a state, for callers that have no need to wait for the lock.
	count atomic.Int32

	mu      sync.Mutex
	servers map[string]*state
	version uint64
}

// state is what is known of one backend server.
type state struct {
	Server

	// limit was last stated at limitedAt; an answer without one last came at unlimitedAt. Zero times mean never.
	limit       float64
	limitedAt   time.Duration
	unlimitedAt time.Duration
	// leavingAt is when the server first stated that it leaves; that lasts for the incarnation.
	leavingAt time.Duration
	// askedAt is when a caller last asked whether the server leaves.
	askedAt time.Duration
	// pausedUntil is until when the server wants nothing from this host; hasSentInPause is set once it got a request that could
	// not wait.
	pausedUntil    time.Duration
	hasSentInPause bool
	// tokens are the sends that this host may make, as of accruedAt.
	tokens    float64
	accruedAt time.Duration
	// share is this host's part of the limit as of sharedAt.
	share    float64
	sharedAt time.Duration
}

// isLimited reports whether the server's limit is in force.
func (s *state) isLimited() bool { return s.limitedAt > 0 && s.unlimitedAt-s.limitedAt < endDelay }

// newsAt returns the time of the latest answer that counts.
func (s *state) newsAt() time.Duration {
	return max(s.limitedAt, s.unlimitedAt, s.leavingAt, s.pausedUntil)
}

// isOutdated reports whether nothing has been heard of the server for so long that it can be forgotten.
func (s *state) isOutdated(now time.Duration) bool {
	if s.leavingAt > 0 {
		return now-max(s.newsAt(), s.askedAt) > forgetLeavingAfter
	}
	return now-s.newsAt() > forgetAfter
}

// Heard records what an answer of a backend server states.
func (t *Table) Heard(server Server, st Statement) {
	if st == (Statement{}) && t.count.Load() == 0 {
		return
	}
	t.mu.Lock()
	now := t.now()
	s := t.state(server, st != Statement{}, now)
	if s == nil {
		t.mu.Unlock()
		return
	}
	before := s.isLimited()
	limit := s.limit
	if st.Limit > 0 {
		s.limit, s.limitedAt = min(max(minLimit, st.Limit), maxLimit), now
	} else {
		s.unlimitedAt = now
	}
	version := t.version
	t.logLimit(s, before, limit, "")
	if st.IsLeaving {
		t.leaves(s, now, "")
	}
	t.pause(s, st.Pause, now)
	isChanged := t.version != version
	t.mu.Unlock()
	if isChanged && t.OnChange != nil {
		t.OnChange()
	}
}

// logLimit logs a limit that has changed and starts a new one; the caller holds the lock.
func (t *Table) logLimit(s *state, wasLimited bool, before float64, host string) {
	switch {
	case s.isLimited() && !wasLimited:
		s.tokens, s.accruedAt, s.sharedAt = t.phase(), t.now(), 0
		fallthrough
	case s.isLimited() && s.limit != before:
		t.version++
		t.Log.Info("backend server states a limit", "server", s.ID, "service", s.Service, "per_s", s.limit, "host", host)
	case wasLimited && !s.isLimited():
		t.version++
		t.Log.Info("backend server's limit ended", "server", s.ID, "service", s.Service, "host", host)
	}
}

// leaves records and logs that a server leaves; the caller holds the lock.
func (t *Table) leaves(s *state, at time.Duration, host string) {
	if s.leavingAt > 0 {
		return
	}
	s.leavingAt = at
	t.version++
	t.Log.Info("backend server states that it leaves", "server", s.ID, "service", s.Service, "host", host)
}

// IsLeaving reports whether a backend server's incarnation has stated that it leaves.
func (t *Table) IsLeaving(server string, startedMS int64) bool {
	if t.count.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[server]
	if s == nil {
		return false
	}
	s.askedAt = t.now()
	return s.leavingAt > 0 && s.StartedMS >= startedMS
}

// state returns the state of a server's incarnation, nil if a later one is known, or if there is none and it is not to be made; the
// caller holds the lock.
func (t *Table) state(server Server, mustExist bool, now time.Duration) *state {
	s := t.servers[server.ID]
	switch {
	case s == nil || server.StartedMS == 0:
	case server.StartedMS < s.StartedMS:
		return nil
	case server.StartedMS > s.StartedMS:
		t.drop(s.ID)
		s = nil
	}
	if s != nil || !mustExist {
		return s
	}
	t.expire(now)
	if len(t.servers) >= maxServers {
		t.Log.Warn("statement of a backend server not kept", "server", server.ID, "servers", len(t.servers))
		return nil
	}
	if t.servers == nil {
		t.servers = make(map[string]*state)
	}
	s = &state{Server: server}
	t.servers[server.ID] = s
	t.count.Add(1)
	return s
}

func (t *Table) drop(id string) {
	delete(t.servers, id)
	t.count.Add(-1)
}

// expire drops states without news; the caller holds the lock.
func (t *Table) expire(now time.Duration) {
	for id, s := range t.servers {
		if s.isOutdated(now) {
			t.drop(id)
		}
	}
}

// now returns the time as of the table's clock, at least maxAge: it is compared with ages that other hosts report.
func (t *Table) now() time.Duration {
	if t.Now != nil {
		return maxAge + t.Now()
	}
	return maxAge + ticks.Now()
}

func (t *Table) phase() float64 {
	if t.Phase != nil {
		return t.Phase()
	}
	return rand.Float64()
}
