package front

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/pool"
	"github.com/tarragonspur/tarragonspur/internal/send"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

const (
	// unreachedInterval is the minimum time between two calls that end a run where the backend server is not reached, refusedInterval
	// where it refuses, and backgroundInterval where it refuses in the background.
	unreachedInterval  = 200 * time.Millisecond
	refusedInterval    = 50 * time.Millisecond
	backgroundInterval = time.Second
	// moveTimeout bounds one such call. Copying the memory of a run takes up to a second.
	moveTimeout = 1200 * time.Millisecond
	// maxEndWait bounds how long a stream waits for the end of its run. Callers leave after a gap of 2 s.
	maxEndWait = 1300 * time.Millisecond
	// gapReserve is the part of a caller's wait for the next event that is left for the next backend server to make it.
	gapReserve = 700 * time.Millisecond
	// maxStopTime bounds how long a run is stopped in the background if its backend server could not be reached, in case the path
	// comes back.
	maxStopTime = 10 * time.Second
)

// errAtWork says that a run can't go on elsewhere, because its backend server works on it.
var errAtWork = errors.New("the backend server still works on the run")

// ending says what is known of the end of a run.
type ending int

const (
	// endUnknown says that the backend server has not been reached.
	endUnknown ending = iota
	// endRefused says that the backend server was reached and may work on the run.
	endRefused
	// endMoved says that the backend server has ended the run and copied its memory.
	endMoved
	// endAbsent says that the backend server has no such run.
	endAbsent
	// endGone says that nothing listens at the backend server's address.
	endGone
)

// String returns the ending as logged.
func (e ending) String() string {
	return [...]string{"unknown", "refused", "moved", "absent", "gone"}[e]
}

// isProof reports whether the run is certain to have ended.
func (e ending) isProof() bool { return e >= endMoved }

// moved is the result of ending a run.
type moved struct {
	ending ending
	// copy is the copy that was made, at the backend server with the ID at; empty without one.
	copy Copy
	at   string
	// isUnanswered is set if the backend server was connected to and did not answer.
	isUnanswered bool
	// isByOther is set if another host ended the run, because this one does not reach the backend server.
	isByOther bool
	// claim is the claim at the copy's backend server if it was made for this copy.
	claim *pool.Lease
}

// unendedRun is a backend server that may still work on a request.
type unendedRun struct {
	pool.Server

	// control is an open connection to it, nil if there is none.
	control *send.Conn
}

// closeControl closes the connection if it has not been used.
func (u *unendedRun) closeControl() {
	if u.control != nil {
		u.control.Close()
		u.control = nil
	}
}

// endRun asks a backend server once to end the run and to copy it to another one, over a new connection if control is nil. One that takes
// no more requests now gets a connection attempt instead, which shows whether it is there.
func (q *request) endRun(ctx context.Context, server, to pool.Server, control *send.Conn) moved {
	if q.Pool.WaitToResume(server.ID) > 0 {
		if control != nil {
			control.Close()
		}
		return moved{ending: connectionEnding(ctx, server)}
	}
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	q.Pool.Sent(server.ID)
	began := time.Now()
	var made Copy
	var err error
	if control != nil {
		made, err = q.Copies.MoveOver(ctx, control, server.Address, q.ID, to.Address)
	} else {
		made, err = q.Copies.Move(ctx, server.Address, q.ID, to.Address)
	}
	m := moved{ending: endingOf(err), copy: made, at: to.ID, isUnanswered: errors.Is(err, ErrUnanswered)}
	q.log.Info("run asked to end", "server", server.ID, "to", to.ID, "ending", m.ending.String(), "took", time.Since(began), "error", err)
	return m
}

// copyTarget returns the backend server to which a run is copied as it ends: the next one, or another one of the run's region, because a
// copy between regions holds up all later ones. Without any, the run's own server then only says whether it works on the run.
func (q *request) copyTarget(server, next pool.Server) pool.Server {
	if next.Region == server.Region && next.Version == server.Version && next.ID != server.ID {
		return next
	}
	a := q.requirements()
	a.Exclude, a.Source = append(slices.Clone(q.unreached), server.ID), &server
	claim, err := q.Pool.ChooseCopy(a, pool.Migration, time.Now())
	if err != nil {
		return server
	}
	claim.Release()
	return claim.Server
}

// connectionEnding returns what a connection attempt says of the runs of a backend server.
func connectionEnding(ctx context.Context, server pool.Server) ending {
	ctx, cancel := context.WithTimeout(ctx, unreachedInterval)
	defer cancel()
	conn, err := send.Connect(ctx, server.Address)
	switch {
	case err == nil:
		conn.Close()
		return endRefused
	case errors.Is(err, syscall.ECONNREFUSED):
		return endGone
	case errors.Is(err, syscall.ECONNRESET):
		return endRefused
	default:
		return endUnknown
	}
}

// endingOf returns what the error of a call to end a run says.
func endingOf(err error) ending {
	switch {
	case err == nil:
		return endMoved
	case errors.Is(err, ErrNoRun):
		return endAbsent
	case errors.Is(err, syscall.ECONNREFUSED):
		return endGone
	case errors.Is(err, ErrRefused):
		return endRefused
	default:
		return endUnknown
	}
}

// addUnended records that a backend server may work on the request although its connection is closed. An open connection to it is used to
// ask it to end the run; may be nil.
func (q *request) addUnended(server pool.Server, control *send.Conn) {
	q.unended = append(q.unended, unendedRun{server, control})
	if !slices.Contains(q.tried, server.ID) {
		q.tried = append(q.tried, server.ID)
	}
}

// awaitEnds waits until each backend server that may work on the request has ended it. It returns the copy at the next backend server
// that was made thereby, if any, or errAtWork: one that is reached is asked for as long as the caller waits for the next event. A backend
// server that can't be reached is left after maxEndWait; the run is ended in the background then.
func (q *request) awaitEnds(ctx context.Context, next pool.Server) (Copy, error) {
	unended := q.unended
	q.unended = nil
	if q.service.Engine == nil || !q.service.Engine.SupportsMigration {
		for i := range unended {
			unended[i].closeControl()
		}
		return Copy{}, nil
	}
	var made Copy
	for i := range unended {
		server, began := unended[i].Server, time.Now()
		m := q.endWithin(ctx, q.reachedWait(), &unended[i], q.copyTarget(server, next), q.Others != nil)
		q.log.Info("end of the run awaited", "server", server.ID, "ending", m.ending.String(), "waited", time.Since(began))
		if m.isByOther {
			// A host that was late with its answer may ask once more.
			q.unreached = append(q.unreached, server.ID)
		}
		switch {
		case m.ending == endRefused:
			q.unended = unended[i:]
			return Copy{}, errors.Wrapf(errAtWork, "backend server %s", server.ID)
		case m.ending == endUnknown:
			q.unreached = append(q.unreached, server.ID)
			q.endInBackground(server, next)
		case m.ending == endAbsent && m.isByOther:
			// The path may still deliver the request.
			q.endInBackground(server, next)
		case m.copy.Name != "" && m.at == next.ID:
			made = m.copy
		default:
			q.freeUnused(m)
		}
	}
	return made, nil
}

// endThroughOthers asks other hosts to end the run at a backend server that this one does not reach.
func (q *request) endThroughOthers(ctx context.Context, server, to pool.Server) moved {
	began := time.Now()
	made, err := q.Others.Move(ctx, server, q.ID, to)
	m := moved{ending: endingOf(err), copy: made, at: to.ID, isByOther: true}
	q.log.Info("other hosts asked to end run", "server", server.ID, "to", to.ID, "ending", m.ending.String(), "took", time.Since(began), "error", err)
	return m
}

// reachedWait returns how long a backend server that is reached is asked to end the run: its copies expire, and the caller leaves.
func (q *request) reachedWait() time.Duration {
	kept := q.service.Engine.CopyTTL
	if kept <= 0 {
		kept = defaultCopyTTL
	}
	return max(maxEndWait, min(kept, q.route.GapTolerance()-gapReserve))
}

// endWithin asks a backend server to end the run until it certainly has, or for a time; one that has not been reached for maxEndWait is
// left before. It returns the last answer, endUnknown for such a server. If the backend server isn't reached or does not answer, other
// hosts are asked once if asksOthers is set.
func (q *request) endWithin(ctx context.Context, limit time.Duration, at *unendedRun, to pool.Server, asksOthers bool) moved {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	server, reachedAt := at.Server, time.Now()
	var last moved
	for {
		began := time.Now()
		m := q.endRun(ctx, server, to, at.control)
		at.control = nil
		if (m.ending == endUnknown || m.isUnanswered) && asksOthers {
			asksOthers = false
			if other := q.endThroughOthers(ctx, server, to); other.ending.isProof() || m.ending == endUnknown {
				m = other
			}
		}
		if m.ending != endUnknown {
			last, reachedAt = m, time.Now()
		}
		switch {
		case m.ending.isProof():
			return last
		case time.Since(reachedAt) >= maxEndWait:
			return moved{}
		}
		interval := refusedInterval
		if m.ending == endUnknown || m.isUnanswered {
			interval = max(refusedInterval, unreachedInterval-time.Since(began))
		}
		if !ticks.Sleep(ctx, interval) {
			return last
		}
	}
}

// endInBackground ends a run whose backend server could not be reached, in case the path to it comes back, until the host stops. A copy
// that is made thereby is not needed.
func (q *request) endInBackground(server, next pool.Server) {
	to := q.copyTarget(server, next)
	if to.ID == server.ID {
		to = next
	}
	q.active.Add()
	go func() {
		defer q.active.Done()
		for began := time.Now(); time.Since(began) < maxStopTime && q.stop.Load() == nil; {
			m := q.endWithin(context.Background(), unreachedInterval+refusedInterval, &unendedRun{Server: server}, to, false)
			if m.ending.isProof() {
				q.freeUnused(m)
				return
			}
			if m.ending == endRefused {
				time.Sleep(backgroundInterval)
			}
		}
	}()
}

// freeUnused deletes a copy that was made as a run ended and is not used. One that this host can't delete expires.
func (q *request) freeUnused(m moved) {
	if m.claim != nil {
		m.claim.Release()
	}
	if m.copy.Name == "" || m.isByOther {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	if err := q.Copies.Free(ctx, m.copy.Address, m.copy.Name); err != nil {
		q.log.Info("copy not freed", "server", m.at, "copy", m.copy.Name, "error", err)
	}
}
