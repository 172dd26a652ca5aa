// Package queue holds requests until a backend server can serve them, and refuses those that none can serve in time.
//
// decide.go makes the decisions, without clock, goroutines or network; Queue applies them.
package queue

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrBusy is returned by an Attempt if every eligible backend server is above the limits.
	ErrBusy = errors.New("backend servers are busy")
	// ErrReserved is returned by an Attempt if backend servers have room, but no more than the limits reserve.
	ErrReserved = errors.New("the room of backend servers is reserved")
	// ErrOverloaded is returned for a request that can't be served before its caller stops waiting. It is a *Refusal.
	ErrOverloaded = errors.New("no backend server can serve the request in time")
)

const (
	// pollInterval is how often waiting requests are reconsidered.
	pollInterval = 25 * time.Millisecond
	// maxWaiting bounds the requests that wait at one host; a request holds its body and a connection.
	maxWaiting = 512
)

// Refusal is the error of a request that is turned away.
type Refusal struct {
	// RetryAfter is when the caller should return.
	RetryAfter time.Duration
	// Backlog is the state that decided.
	Backlog Backlog
}

// Error returns the text of ErrOverloaded.
func (*Refusal) Error() string { return ErrOverloaded.Error() }

// Is reports whether the target is ErrOverloaded.
func (*Refusal) Is(target error) bool { return target == ErrOverloaded }

// Attempt starts a request on a backend server within the limits; ErrBusy and ErrReserved keep it waiting, every other result ends the wait.
type Attempt func(Limits) error

// Remote returns the backlog of a service at the other hosts.
type Remote interface {
	Backlog(service string) Backlog
}

// Queue holds the waiting requests of one host. It is safe for concurrent use. Attempts are called with the lock held and
// must not call the queue.
type Queue struct {
	// Remote is the backlog of the other hosts; nil for a single host.
	Remote Remote
	// Now returns the time.
	Now func() time.Time
	// Spread returns a number from 0 to 1 that spreads the times at which refused callers return; nil means random.
	Spread func() float64
	// IsFair orders the requests by urgency and by the shares of workspaces over all hosts; otherwise by lateness, priority and arrival.
	IsFair bool

	mu       sync.Mutex
	services map[string]*line
	waiting  int
}

// line holds the waiting requests of one service.
type line struct {
	entries []*entry
	// polledAt is when the entries were last reconsidered.
	polledAt time.Time
	arrivals counter
	starts   counter
	shares
}

// entry is one waiting request.
type entry struct {
	Request

	attempt Attempt
	// rank is the place in the order under fair shares.
	rank rank
	// yields reports whether more urgent requests waited when the request was last considered.
	yields bool
	// group identifies requests with the same eligible backend servers.
	group string
	// result is set, and done closed, when the wait has ended.
	result error
	done   chan struct{}
}

// Place starts the request as soon as a backend server has room, and returns the error of the attempt that ended the wait, a
// *Refusal, or the context's error. Requests of a group have the same eligible backend servers.
func (q *Queue) Place(ctx context.Context, service, group string, r Request, attempt Attempt) error {
	e, err := q.enter(service, group, r, attempt)
	if e == nil {
		return err
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.done:
			return e.result
		case <-ticker.C:
			q.poll(service)
		case <-ctx.Done():
			return q.leave(service, e, ctx.Err())
		}
	}
}

// enter adds the request to the line and reconsiders the line; it returns no entry if the wait has already ended.
func (q *Queue) enter(service, group string, r Request, attempt Attempt) (*entry, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Now()
	l := q.line(service)
	if !r.IsRetry {
		l.arrivals.add(now)
	}
	e := &entry{Request: r, attempt: attempt, group: group, done: make(chan struct{})}
	l.entries = append(l.entries, e)
	q.waiting++
	q.reconsider(service, l, now)
	select {
	case <-e.done:
		return nil, e.result
	default:
	}
	if q.waiting > maxWaiting {
		q.end(l, e, q.refusal(e, q.backlog(service, l, now)))
		return nil, e.result
	}
	return e, nil
}

// Started records that a backend server has begun to answer a request of the service.
func (q *Queue) Started(service string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.line(service).starts.add(q.Now())
}

// Freed reconsiders a service's waiting requests once a backend server has answered a plain one, whose time is short compared with a
// poll interval.
func (q *Queue) Freed(service string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if l := q.line(service); q.IsFair && len(l.entries) > 0 {
		q.reconsider(service, l, q.Now())
	}
}

// poll reconsiders a service's waiting requests, at most once in a poll interval, whichever of them asks.
func (q *Queue) poll(service string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Now()
	if l := q.line(service); now.Sub(l.polledAt) >= pollInterval/2 {
		q.reconsider(service, l, now)
	}
}

// reconsider starts the waiting requests that fit, in order, and refuses those that can't be served any more.
func (q *Queue) reconsider(service string, l *line, now time.Time) {
	l.polledAt = now
	q.sort(service, l, now)
	busy := make(map[string]Limits)
	ahead := 0
	var kept Classes
	for _, e := range slices.Clone(l.entries) {
		limits := q.limits(l, e, kept, now)
		if b, found := busy[e.group]; !found || !limits.isWithin(b) {
			err := e.attempt(limits)
			q.attempted(l, e, err, now)
			e.setReason(limits, err, now)
			switch {
			case errors.Is(err, ErrReserved):
				busy[e.group] = limits
			case errors.Is(err, ErrBusy):
				// Without room there is none for those that reserve less.
				busy[e.group] = Limits{Delay: limits.Delay, MemoryUse: limits.MemoryUse}
			default:
				q.end(l, e, err)
				continue
			}
		} else {
			e.setReason(limits, ErrBusy, now)
		}
		if b := q.backlog(service, l, now); e.MustRefuse(q.backlogAhead(b, l, e, ahead), now) {
			q.end(l, e, q.refusal(e, b))
			continue
		}
		ahead++
		kept[e.rank.class]++
	}
}

func (q *Queue) refusal(e *entry, b Backlog) *Refusal {
	spread := rand.Float64
	if q.Spread != nil {
		spread = q.Spread
	}
	after := b.RetryAfter(spread())
	if q.IsFair {
		after = e.rank.retryAfter(b, spread())
	}
	return &Refusal{RetryAfter: after, Backlog: b}
}

// end ends a wait.
func (q *Queue) end(l *line, e *entry, result error) {
	i := slices.Index(l.entries, e)
	if i < 0 {
		return
	}
	l.entries = slices.Delete(l.entries, i, i+1)
	if len(l.reserved) > 0 {
		l.forgetGroups()
	}
	q.waiting--
	e.result = result
	close(e.done)
}

// leave removes a request whose caller has left, unless its wait has just ended.
func (q *Queue) leave(service string, e *entry, cause error) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.end(q.line(service), e, cause)
	return e.result
}

// Locals returns the backlogs of all services at this host.
func (q *Queue) Locals() map[string]Backlog {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Now()
	all := make(map[string]Backlog, len(q.services))
	for service, l := range q.services {
		all[service] = l.backlog(now)
		if q.IsFair {
			all[service] = q.shared(service, l, now)
		}
	}
	return all
}

// backlog returns the backlog of a service at all hosts.
func (q *Queue) backlog(service string, l *line, now time.Time) Backlog {
	b := l.backlog(now)
	switch {
	case q.IsFair:
		// The sum over all hosts is not made anew for each request.
		others := q.remoteBacklog(service, l, now)
		others.Uses = nil
		b = b.Combine(others, 1)
	case q.Remote != nil:
		b = b.Combine(q.Remote.Backlog(service), 1)
	}
	return b
}

func (l *line) backlog(now time.Time) Backlog {
	return Backlog{Waiting: len(l.entries), Arrivals: l.arrivals.rate(now), Starts: l.starts.rate(now)}
}

func (q *Queue) line(service string) *line {
	if q.services == nil {
		q.services = make(map[string]*line)
	}
	l := q.services[service]
	if l == nil {
		l = &line{}
		q.services[service] = l
	}
	return l
}
