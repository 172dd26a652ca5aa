package gossip

import (
	"sync"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/notice"
)

const (
	// noticedPause is the time without a tick after which this process counts as paused.
	noticedPause = 500 * time.Millisecond
	// queueReadTime bounds the time in which a process that runs again reads the datagrams that have waited for it.
	queueReadTime = 300 * time.Millisecond
)

// pauses notices that this process was paused. Datagrams wait for it meanwhile, and the ages in them are wrong by that time.
type pauses struct {
	mu       sync.Mutex
	tickedAt time.Time
	// oldUntil is until when datagrams may have waited for a paused process.
	oldUntil time.Time
}

// tick is called every relayPeriod.
func (p *pauses) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isLate(now) {
		p.oldUntil = now.Add(queueReadTime)
	}
	p.tickedAt = now
}

// isLate reports whether the next tick is overdue; the caller holds the lock.
func (p *pauses) isLate(now time.Time) bool {
	return !p.tickedAt.IsZero() && now.Sub(p.tickedAt) > noticedPause
}

// mayHaveWaited reports whether a datagram that is read now may have waited for a paused process.
func (p *pauses) mayHaveWaited(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isLate(now) || now.Before(p.oldUntil)
}

// mergeNotices applies what another host reports of servers, unless the report may be older than it says; each is repeated.
func (g *Gossip) mergeNotices(host string, reports []notice.Report, now time.Time) {
	if len(reports) == 0 {
		return
	}
	if g.pauses.mayHaveWaited(now) {
		g.Log.Debug("statements of servers not applied: they may have waited for this host", "host", host)
		return
	}
	g.Notices.Merge(host, reports)
}
