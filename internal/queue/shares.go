package queue

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/fair"
)

const (
	// maxSharedUses bounds the workspaces of a service that a host tells the others about.
	maxSharedUses = 16
	// shareTime is how long uses are told after a request has last waited for the service. A surge pauses for less.
	shareTime = 2 * time.Second
	// minToldPart is the part of the use at this host from which a workspace without waiting requests is told. Smaller ones hardly change
	// the order, and digests are to grow little.
	minToldPart = 0.05
	// minSharedUse is the lowest use that is told, in tokens a second.
	minSharedUse = 1
)

// shares is what one host knows of the workspaces of a service, under fair shares.
type shares struct {
	rates map[fair.Key]*fair.Rate
	// running counts the requests that have started and not ended, by workspace.
	running map[fair.Key]int
	// contendedUntil is until when the other hosts are told what workspaces use.
	contendedUntil time.Time
	// remote is the backlog of the other hosts as of remoteAt.
	remote   Backlog
	remoteAt time.Time
	// othersWaitedAt is when requests were last known to wait at other hosts.
	othersWaitedAt time.Time
	// refusedAt is when a backend server last refused a plain request of this host for lack of a slot.
	refusedAt time.Time
	// reserved is since when there has been room, by group, that is left to more urgent requests at other hosts.
	reserved map[string]time.Time
}

// start records the start of a request; one that is sent again is not charged a second time.
func (s *shares) start(r Request, now time.Time) {
	if s.rates == nil {
		s.rates, s.running = make(map[fair.Key]*fair.Rate), make(map[fair.Key]int)
	}
	s.running[r.Workspace]++
	if r.IsRetry {
		return
	}
	rate := s.rates[r.Workspace]
	if rate == nil {
		rate = &fair.Rate{}
		s.rates[r.Workspace] = rate
	}
	rate.Add(r.Cost, fair.Window, now)
}

// Ended records the end of a request that Place has started; it is called under fair shares only.
func (q *Queue) Ended(service string, workspace fair.Key) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.line(service)
	l.running[workspace]--
	if l.running[workspace] <= 0 {
		delete(l.running, workspace)
	}
}

// Starved returns the number of workspaces, by service, with requests that wait at this host, of which none runs here or has started at
// another host lately.
func (q *Queue) Starved() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	starved := 0
	for _, l := range q.services {
		seen := make(map[fair.Key]bool)
		for _, e := range l.entries {
			if key := e.Workspace; q.IsFair && !seen[key] && l.running[key] == 0 && l.remote.Uses[key].Rate == 0 {
				starved++
				seen[key] = true
			}
		}
	}
	return starved
}

// localUses returns what workspaces use at this host, and forgets those that use nothing.
func (l *line) localUses(now time.Time) fair.Uses {
	uses := make(fair.Uses, len(l.rates))
	for key, rate := range l.rates {
		if perSecond := rate.At(fair.Window, now); perSecond >= minSharedUse {
			uses[key] = fair.Use{Rate: perSecond}
		} else {
			delete(l.rates, key)
		}
	}
	for _, e := range l.entries {
		use := uses[e.Workspace]
		use.Waiting++
		uses[e.Workspace] = use
	}
	return uses
}

// remoteBacklog returns the backlog of the other hosts, which is summed anew at most twice in a poll interval.
func (q *Queue) remoteBacklog(service string, l *line, now time.Time) Backlog {
	if q.Remote != nil && (l.remoteAt.IsZero() || now.Sub(l.remoteAt) >= pollInterval/2) {
		l.remote, l.remoteAt = q.Remote.Backlog(service), now
	}
	return l.remote
}

// limits returns the limits of a request; kept are the requests that are before it at this host and have not started.
func (q *Queue) limits(l *line, e *entry, kept Classes, now time.Time) Limits {
	if !q.IsFair {
		return e.Limits(now)
	}
	var unused time.Duration
	if since, found := l.reserved[e.group]; found {
		unused = now.Sub(since)
	}
	others := kept.Plus(l.remote.Classes)
	e.yields = others.Before(e.rank.class) > 0
	limits := e.rank.limits(others, unused, now)
	if l.remote.Waiting > 0 {
		l.othersWaitedAt = now
	}
	if !l.othersWaitedAt.IsZero() && now.Sub(l.othersWaitedAt) < slotShareTime {
		limits.SlotShare = slotShare(l.arrivals.rate(now), l.remote.Arrivals)
	}
	limits.FreeSlot = limits.SlotShare > 0 || !l.refusedAt.IsZero() && now.Sub(l.refusedAt) < refusedTime
	return limits
}

// refusedTime is how long plain requests wait for free slots after a backend server has refused one for lack of a slot. Without a refusal
// they are sent at once: a plain request ends before its claim is reported as gone, so that reported loads show slots in use that are
// free.
const refusedTime = time.Second

// Refused records that a backend server has refused a plain request of the service for lack of a slot.
func (q *Queue) Refused(service string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.line(service).refusedAt = q.Now()
}

// attempted records the result of an attempt under fair shares.
func (q *Queue) attempted(l *line, e *entry, err error, now time.Time) {
	if !q.IsFair {
		return
	}
	switch {
	case errors.Is(err, ErrReserved):
		if l.reserved == nil {
			l.reserved = make(map[string]time.Time)
		}
		if _, found := l.reserved[e.group]; !found {
			l.reserved[e.group] = now
		}
		return
	case err == nil:
		l.start(e.Request, now)
	case !e.yields:
		// A more urgent request without room, which may allow less, says nothing of the room that is reserved for it.
		return
	}
	delete(l.reserved, e.group)
}

// forgetGroups drops what is known of groups without waiting requests.
func (l *line) forgetGroups() {
	maps.DeleteFunc(l.reserved, func(group string, _ time.Time) bool {
		return !slices.ContainsFunc(l.entries, func(e *entry) bool { return e.group == group })
	})
}

// sort orders the waiting requests of a service.
func (q *Queue) sort(service string, l *line, now time.Time) {
	if !q.IsFair {
		slices.SortStableFunc(l.entries, func(a, b *entry) int { return compare(a.Request, b.Request, now) })
		return
	}
	remote := q.remoteBacklog(service, l, now)
	if len(l.entries) == 1 && remote.Waiting <= 0 {
		// Without others that wait there is no order.
		e := l.entries[0]
		e.rank = rank{Request: e.Request, class: e.class(false, now)}
		return
	}
	requests := make([]Request, len(l.entries))
	for i, e := range l.entries {
		requests[i] = e.Request
	}
	for i, r := range ranks(requests, l.localUses(now).Plus(remote.Uses), now) {
		l.entries[i].rank = r
	}
	slices.SortStableFunc(l.entries, func(a, b *entry) int { return compareRanks(a.rank, b.rank) })
}

// shared returns the backlog of a service at this host as the other hosts are told it. Uses are told while requests wait anywhere.
func (q *Queue) shared(service string, l *line, now time.Time) Backlog {
	b := l.backlog(now)
	if len(l.entries) > 0 || q.remoteBacklog(service, l, now).Waiting > 0 {
		l.contendedUntil = now.Add(shareTime)
	}
	if now.After(l.contendedUntil) {
		return b
	}
	for _, e := range l.entries {
		b.Classes[e.rank.class]++
	}
	b.Uses = l.localUses(now).Without(minToldPart).Busiest(maxSharedUses)
	return b
}

// backlogAhead returns the backlog that must drain before a request can start: all of it in the old order, and under fair shares the
// requests that are ahead of it at this host and at least as urgent at the others.
func (q *Queue) backlogAhead(b Backlog, l *line, e *entry, ahead int) Backlog {
	if q.IsFair {
		b.Waiting = min(b.Waiting, 1+ahead+l.remote.Classes.Before(e.rank.class)+l.remote.Classes[e.rank.class]/2)
	}
	return b
}
