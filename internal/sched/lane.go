package sched

import (
	"slices"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/admit"
	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/fair"
	"github.com/tarragonspur/tarragonspur/internal/route"
)

const (
	rateWindow    = 10 * time.Second
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
	// minStarts is the number of starts after which a request can be refused for its estimated wait.
	minStarts = 3
)

// lane is the bounded queue of one row at this host, oldest first. Its claims aren't bound to a request: a grant starts
// whichever request is first when it arrives, so that a start costs few messages.
type lane struct {
	key        board.RowKey
	account    *admit.Account
	queue      []*pendingRequest
	claims     []laneClaim
	claimed    []*route.Backend
	nextClaims time.Time
	// isActive is true when the lane is in Core.activeLanes.
	isActive bool
	// startRate is the decayed average of starts per second.
	startRate  fair.Rate
	startCount int
}

// laneClaim is a claim of a lane at the owner of a backend server.
type laneClaim struct {
	id      string
	owner   string
	renewed time.Time
}

// pendingRequest is a request that waits at its entry, the host where it arrived.
type pendingRequest struct {
	request Request
	lane    *lane
	arrived time.Time
}

// recordStart counts a start.
func (l *lane) recordStart(now time.Time) {
	l.startRate.Add(1, rateWindow, now)
	l.startCount++
}

// startInterval returns the expected time between two starts.
func (l *lane) startInterval(now time.Time) time.Duration {
	rate := l.startRate.At(rateWindow, now)
	if l.startCount < minStarts || rate <= 0 {
		return time.Second
	}
	return time.Duration(min(maxRetryAfter.Seconds(), 1/rate) * float64(time.Second))
}

// expectedWait returns the expected wait of a request at the end of the queue; zero before minStarts starts.
func (l *lane) expectedWait(now time.Time) time.Duration {
	if l.startCount < minStarts || len(l.queue) == 0 {
		return 0
	}
	return time.Duration(len(l.queue)) * l.startInterval(now)
}

// updateActiveLanes updates the lanes that have requests or claims.
func (c *Core) updateActiveLanes(now time.Time) {
	for _, l := range c.activeLanes {
		c.updateLane(l, now)
	}
	c.activeLanes = slices.DeleteFunc(c.activeLanes, func(l *lane) bool {
		l.isActive = len(l.queue)+len(l.claims) > 0
		return !l.isActive
	})
}

// firstAllowed returns the oldest request of the lane that does not exclude the backend server, or nil.
func (l *lane) firstAllowed(name string) *pendingRequest {
	for _, p := range l.queue {
		if !slices.Contains(p.request.Exclude, name) {
			return p
		}
	}
	return nil
}
